// Package drains holds the endpoints that operators have drained, and the state that the scheduler sees of each. It
// does no I/O: the event loop writes the set to the folder and updates the scheduler.
//
// An endpoint stays drained until it is restored, whatever the endpoint list says, over restarts and upgrades. Draining
// it twice needs one restore. An id that is neither listed nor drained is refused.
package drains

import (
	"slices"
	"strings"

	"spanflow/scheduler"
)

// MaxDrained is the number of endpoints that may be drained at once. It guards against a caller that drains one id
// after another, which would grow the set and its file without bound. A fleet that needs more has its requests refused.
const MaxDrained = 1024

const maxIDLength = 256 // bytes

// Result is the result of Drain or Restore.
type Result uint8

// The results of Drain and Restore.
const (
	Accepted  Result = iota // done, or it was so already
	Unknown                 // no endpoint of that id is listed or drained
	TooMany                 // the set is full
	InvalidID               // the id cannot be kept
)

var resultTexts = [...]string{
	Accepted:  "yes",
	Unknown:   "no target of that id is listed or out",
	TooMany:   "too many targets are out by hand",
	InvalidID: "the id holds bytes it may not",
}

// String is the result as operators are answered.
func (r Result) String() string { return resultTexts[r] }

// Change is what the event loop has to carry out after Drain or Restore.
type Change uint8

// The changes by Drain and Restore.
const (
	Unchanged Change = iota // nothing changed
	Drained                 // the endpoint gets no new calls from now on
	Restored                // the endpoint is back, and warming up: operators restarted it meanwhile
)

// Set is the set of drained endpoints. It is not safe for concurrent use.
type Set struct {
	ids []string // sorted
}

// New makes a set of the ids that were drained before, as kept; ids that cannot be kept are left out.
func New(kept []string) *Set {
	ids := slices.DeleteFunc(slices.Clone(kept), func(id string) bool { return !validID(id) })
	slices.Sort(ids) // first: an id is looked for by binary search, and twice the same lie side by side
	ids = slices.Compact(ids)
	return &Set{ids: ids[:min(len(ids), MaxDrained)]}
}

// validID reports whether an id can be kept, one a line.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDLength && !strings.ContainsAny(id, "\r\n\x00")
}

// Drained reports whether an endpoint is drained.
func (s *Set) Drained(id string) bool {
	_, found := slices.BinarySearch(s.ids, id)
	return found
}

// Drain drains an endpoint; listed says that the endpoint list has it now.
func (s *Set) Drain(id string, listed bool) (Result, Change) {
	switch i, found := slices.BinarySearch(s.ids, id); {
	case !validID(id):
		return InvalidID, Unchanged
	case found:
		return Accepted, Unchanged
	case !listed:
		return Unknown, Unchanged
	case len(s.ids) >= MaxDrained:
		return TooMany, Unchanged
	default:
		s.ids = slices.Insert(s.ids, i, id)
		return Accepted, Drained
	}
}

// Restore ends the drain of an endpoint; listed says that the endpoint list has it now.
func (s *Set) Restore(id string, listed bool) (Result, Change) {
	i, found := slices.BinarySearch(s.ids, id)
	switch {
	case found:
		s.ids = slices.Delete(s.ids, i, i+1)
		return Accepted, Restored
	case listed:
		return Accepted, Unchanged
	case !validID(id):
		return InvalidID, Unchanged
	default:
		return Unknown, Unchanged
	}
}

// State is the state for the scheduler of an endpoint that the list has as listed: Draining for a drained endpoint that
// is listed as ready, else the listed one.
func (s *Set) State(id string, listed scheduler.EndpointState) scheduler.EndpointState {
	if listed == scheduler.Ready && s.Drained(id) {
		return scheduler.Draining
	}
	return listed
}

// IDs are the ids of the drained endpoints in order, for New. The slice belongs to the caller.
func (s *Set) IDs() []string { return slices.Clone(s.ids) }

// Len is the number of drained endpoints.
func (s *Set) Len() int { return len(s.ids) }
