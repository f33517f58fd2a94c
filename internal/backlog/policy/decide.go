package policy

import (
	"time"
)

// Place says where a new message is kept, if it is accepted.
type Place uint8

// The places of a new message.
const (
	Memory  Place = iota // in the write-ahead log and the scheduler
	Store                // in the backlog store, after all other messages of its lane
	Refused              // nowhere: the message is not accepted
)

// Bound is the reason why a message cannot be stored: the limit that it would exceed, or the order of its key.
type Bound uint8

// The reasons why a message cannot be stored.
const (
	NoBound Bound = iota
	TotalBound
	DestinationBound
	TenantBound
	DiskBound // the store or its disk is full
	KeyBound  // an earlier message with the same ordering key is stored in another lane
)

// String returns the text that log lines use.
func (b Bound) String() string {
	return [...]string{"none", "bytes in all", "bytes of the destination", "bytes of the tenant", "disk",
		"an earlier message of its key is stored"}[b]
}

// Decision is what Policy.Decide returns for a new message.
type Decision struct {
	Place      Place
	Bound      Bound         // why the message cannot be stored, if Place is Refused
	RetryAfter time.Duration // when there may be room for it, if Place is Refused
}

// Decide decides where a new message is kept. After carrying out the decision, the event loop calls Held or Stored, so
// that the message is counted. Refused messages are not counted.
func (p *Policy) Decide(lane Lane, bytes int64, now time.Time) Decision {
	l := p.lanes[lane]
	fits := l == nil || l.stored.messages == 0 && l.inMemory < p.maxInMemory(lane)
	if fits && p.freeMemoryFor(lane, p.freeMemory(), p.inMemory) > 0 {
		return Decision{Place: Memory}
	}
	return p.storeOrRefuse(lane, bytes, now)
}

// DecideWithDeadline is Decide for a message whose deadline is timeLeft from now; fits reports whether the scheduler
// and the write-ahead log have room for it. A message that would be stored with no more than Bounds.ExpiryLead left is
// refused, since it would have to be loaded and answered at once.
func (p *Policy) DecideWithDeadline(lane Lane, bytes int64, timeLeft time.Duration, fits bool, now time.Time) Decision {
	d := p.Decide(lane, bytes, now)
	if d.Place == Memory && !fits {
		d = p.storeOrRefuse(lane, bytes, now)
	}
	if d.Place == Store && timeLeft <= p.bounds.ExpiryLead {
		return p.Refuse(NoBound, bytes, now)
	}
	return d
}

// storeOrRefuse decides on a message that cannot be kept in memory.
func (p *Policy) storeOrRefuse(lane Lane, bytes int64, now time.Time) Decision {
	if bound := p.exceededBound(lane, bytes); bound != NoBound {
		return p.Refuse(bound, bytes, now)
	}
	return Decision{Place: Store}
}

// Refuse returns the decision to refuse a message for the given reason. The event loop calls it for reasons that Decide
// cannot detect, such as DiskBound and KeyBound.
func (p *Policy) Refuse(bound Bound, bytes int64, now time.Time) Decision {
	return Decision{Place: Refused, Bound: bound, RetryAfter: p.drain.retryAfter(bytes, now)}
}

// maxInMemory returns how many messages a lane with no stored messages may have in memory.
func (p *Policy) maxInMemory(lane Lane) int {
	if d := p.destinations[lane.Destination]; d != nil && d.unavailable {
		return p.bounds.Window
	}
	return p.bounds.Behind
}

// exceededBound returns the limit that storing the given number of bytes would exceed, or NoBound.
func (p *Policy) exceededBound(lane Lane, bytes int64) Bound {
	destination := int64(0)
	if d := p.destinations[lane.Destination]; d != nil {
		destination = d.bytes
	}
	switch {
	case p.tenants[lane.Tenant]+bytes > p.bounds.tenantLimit(lane.Tenant):
		return TenantBound
	case destination+bytes > p.bounds.DestinationBytes:
		return DestinationBound
	case p.stored.bytes+bytes > p.bounds.Bytes:
		return TotalBound
	}
	return NoBound
}
