package policy

import (
	"time"
)

// Place is where a new message goes.
type Place uint8

// The places of a new message.
const (
	Memory  Place = iota // to the write-ahead log and the scheduler
	Store                // to the backlog store, behind all of its lane
	Refused              // it is not accepted
)

// Bound is the bound that prevents a message from being stored.
type Bound uint8

// The bounds that may prevent a message from being stored.
const (
	NoBound Bound = iota
	TotalBound
	DestinationBound
	TenantBound
	DiskBound // the store or the disk under it has no room
	KeyBound  // an earlier message of its ordering key is stored for another lane
)

// String returns the name of the bound in log lines.
func (b Bound) String() string {
	return [...]string{"none", "bytes in all", "bytes of the destination", "bytes of the tenant", "disk",
		"an earlier message of its key is stored"}[b]
}

// Decision is the decision on a new message.
type Decision struct {
	Place      Place
	Bound      Bound         // with Refused: the bound that was reached
	RetryAfter time.Duration // with Refused: when there may be room
}

// Decide decides where a new message goes. The event loop then calls Held or Stored, as decided; a refused message is
// not counted.
func (p *Policy) Decide(lane Lane, bytes int64, now time.Time) Decision {
	l := p.lanes[lane]
	fits := l == nil || l.stored.messages == 0 && l.held < p.maxHeld(lane)
	if fits && p.freeMemoryFor(lane, p.freeMemory(), p.held) > 0 {
		return Decision{Place: Memory}
	}
	return p.storeOrRefuse(lane, bytes, now)
}

// DecideWithDeadline is Decide for a message with left time to its deadline; fits says whether the scheduler and the
// write-ahead log have room for it. A message that would have to be answered as soon as it is stored is refused.
func (p *Policy) DecideWithDeadline(lane Lane, bytes int64, left time.Duration, fits bool, now time.Time) Decision {
	d := p.Decide(lane, bytes, now)
	if d.Place == Memory && !fits {
		d = p.storeOrRefuse(lane, bytes, now)
	}
	if d.Place == Store && left <= p.bounds.ExpiryLead {
		return p.Refuse(NoBound, bytes, now)
	}
	return d
}

// storeOrRefuse decides on a message that memory has no room for.
func (p *Policy) storeOrRefuse(lane Lane, bytes int64, now time.Time) Decision {
	if bound := p.bound(lane, bytes); bound != NoBound {
		return p.Refuse(bound, bytes, now)
	}
	return Decision{Place: Store}
}

// Refuse returns the decision on a message that a bound keeps out, also one that the store itself has no room for
// (DiskBound) or that must be sent after a stored one of another lane (KeyBound).
func (p *Policy) Refuse(bound Bound, bytes int64, now time.Time) Decision {
	return Decision{Place: Refused, Bound: bound, RetryAfter: p.drain.retryAfter(bytes, now)}
}

// maxHeld returns how many messages of a lane without stored ones may be in memory.
func (p *Policy) maxHeld(lane Lane) int {
	if d := p.destinations[lane.Destination]; d != nil && d.out {
		return p.bounds.Window
	}
	return p.bounds.Behind
}

// bound returns the bound that storing so many more bytes would exceed, NoBound if there is none.
func (p *Policy) bound(lane Lane, bytes int64) Bound {
	destination := int64(0)
	if d := p.destinations[lane.Destination]; d != nil {
		destination = d.bytes
	}
	switch {
	case p.tenants[lane.Tenant]+bytes > p.bounds.tenant(lane.Tenant):
		return TenantBound
	case destination+bytes > p.bounds.DestinationBytes:
		return DestinationBound
	case p.stored.bytes+bytes > p.bounds.Bytes:
		return TotalBound
	}
	return NoBound
}
