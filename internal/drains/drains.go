// Package drains keeps the set of endpoints that operators have drained and derives the endpoint states for the
// scheduler. It does no I/O; the event loop writes the set to the folder and updates the scheduler.
//
// An endpoint stays drained until it is restored, even if the endpoint list changes, and across restarts and upgrades.
// An endpoint that is drained twice needs only one restore. An id that is neither listed nor drained is rejected.
package drains

import (
	"slices"
	"strings"

	"spanflow/scheduler"
)

// MaxDrained is the maximum number of drained endpoints. Without a limit, a caller that drains one id after another
// would let the set and its file grow indefinitely. Requests beyond the limit are rejected.
const MaxDrained = 1024

const maxIDLength = 256 // bytes

// Result tells whether Drain or Restore accepted a request.
type Result uint8

// The results of Drain and Restore.
const (
	Accepted  Result = iota // done, or nothing to do
	Unknown                 // no endpoint with that id is listed or drained
	TooMany                 // the set is full
	InvalidID               // the id cannot be stored in the file
)

var resultTexts = [...]string{
	Accepted:  "yes",
	Unknown:   "no target of that id is listed or out",
	TooMany:   "too many targets are out by hand",
	InvalidID: "the id holds bytes it may not",
}

// String returns the text of the answer to the operator.
func (r Result) String() string { return resultTexts[r] }

// Change tells the event loop which change it has to apply after Drain or Restore.
type Change uint8

// The changes made by Drain and Restore.
const (
	Unchanged Change = iota // no change
	Drained                 // the endpoint gets no more new calls
	Restored                // the endpoint gets calls again, with a slow start, as operators may have restarted it
)

// Set is the set of drained endpoints. It is not safe for concurrent use.
type Set struct {
	ids []string // sorted
}

// New returns a set of the ids that were drained before, in any order. Invalid and repeated ids, and those beyond
// MaxDrained, are left out.
func New(stored []string) *Set {
	ids := slices.DeleteFunc(slices.Clone(stored), func(id string) bool { return !validID(id) })
	slices.Sort(ids) // binary search and Compact need sorted ids
	ids = slices.Compact(ids)
	return &Set{ids: ids[:min(len(ids), MaxDrained)]}
}

// validID reports whether an id can be stored in a file with one id per line.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDLength && !strings.ContainsAny(id, "\r\n\x00")
}

// Drained reports whether the endpoint with the given id is drained.
func (s *Set) Drained(id string) bool {
	_, found := slices.BinarySearch(s.ids, id)
	return found
}

// Drain drains an endpoint. The caller sets listed if the endpoint is in the current endpoint list.
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

// Restore ends the drain of an endpoint. The caller sets listed if the endpoint is in the current endpoint list.
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

// State returns the state that the scheduler has to use for an endpoint with the given state in the endpoint list. A
// drained endpoint that is listed as Ready is Draining; otherwise the listed state applies.
func (s *Set) State(id string, listed scheduler.EndpointState) scheduler.EndpointState {
	if listed == scheduler.Ready && s.Drained(id) {
		return scheduler.Draining
	}
	return listed
}

// IDs returns the sorted ids of the drained endpoints. The slice belongs to the caller.
func (s *Set) IDs() []string { return slices.Clone(s.ids) }

// Len returns the number of drained endpoints.
func (s *Set) Len() int { return len(s.ids) }
