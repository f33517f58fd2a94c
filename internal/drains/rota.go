// Package drains keeps the endpoints that operators took out by hand, and says what the scheduler is to be told of each.
// It does no I/O: the event loop keeps the set in the folder and tells the scheduler.
//
// An endpoint taken out stays out until it is put back, whatever the list says, over restarts and upgrades. Two calls
// out need one call back. An id that nobody has is owed a no: neither listed now nor out by hand.
package drains

import (
	"slices"
	"strings"

	"spanflow/scheduler"
)

// ReportedLimit is the number of endpoints that may be out by hand at once. Guards against a caller that names ids
// without end, which would grow the set and its file; hurts a fleet with more endpoints out than this, which then hears
// no.
const MaxDrained = 1024

// Result is the answer to a call.
type Result uint8

const (
	Accepted Result = iota // done, or it was so already
	Unknown                // nobody has that id
	TooMany                // the set is full
	BadName                // the id cannot be kept
)

func (v Result) String() string {
	return [...]string{"yes", "no target of that id is listed or out", "too many targets are out by hand", "the id holds bytes it may not"}[v]
}

// ReloadBehavior is what the event loop has to carry out after a call.
type Change uint8

const (
	Unchanged Change = iota // nothing changed
	Drained                 // the endpoint is to get nothing new from now on
	Restored                // the endpoint is back, and cold: operators restarted it meanwhile
)

// Set is the set of endpoints out by hand.
type Set struct {
	out []string // sorted
}

// New starts with the ids that were out before, as kept; ids that cannot be kept are passed over.
func New(kept []string) *Set {
	r := &Set{}
	for _, id := range kept {
		if len(r.out) < MaxDrained && fit(id) && !r.Drained(id) {
			r.out = append(r.out, id)
		}
	}
	slices.Sort(r.out)
	return r
}

// fit tells that an id can be kept, one a line.
func fit(id string) bool {
	return id != "" && len(id) <= 256 && !strings.ContainsAny(id, "\r\n\x00")
}

// Drained tells if an endpoint is out by hand.
func (r *Set) Drained(id string) bool {
	_, found := slices.BinarySearch(r.out, id)
	return found
}

// Drain takes an endpoint out; listed says that the list has it now.
func (r *Set) Drain(id string, listed bool) (Result, Change) {
	switch i, found := slices.BinarySearch(r.out, id); {
	case !fit(id):
		return BadName, Unchanged
	case found:
		return Accepted, Unchanged
	case !listed:
		return Unknown, Unchanged
	case len(r.out) >= MaxDrained:
		return TooMany, Unchanged
	default:
		r.out = slices.Insert(r.out, i, id)
		return Accepted, Drained
	}
}

// Restore puts an endpoint back.
func (r *Set) Restore(id string, listed bool) (Result, Change) {
	i, found := slices.BinarySearch(r.out, id)
	switch {
	case found:
		r.out = slices.Delete(r.out, i, i+1)
		return Accepted, Restored
	case listed:
		return Accepted, Unchanged
	case !fit(id):
		return BadName, Unchanged
	default:
		return Unknown, Unchanged
	}
}

// State is what the scheduler is told of a listed endpoint: an endpoint out by hand drains, whatever the list says.
func (r *Set) State(id string, listed scheduler.EndpointState) scheduler.EndpointState {
	if listed == scheduler.Ready && r.Drained(id) {
		return scheduler.Draining
	}
	return listed
}

// IDs is the set as it is to be kept, one id a line.
func (r *Set) IDs() []string { return slices.Clone(r.out) }

// Len is the number of endpoints out by hand.
func (r *Set) Len() int { return len(r.out) }
