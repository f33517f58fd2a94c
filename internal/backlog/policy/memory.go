package policy

import (
	"math"
	"time"
)

const (
	memoryFraction  = 0.88 // of what the scheduler holds at once: with the reserve below where it sheds load
	batch           = 256  // messages that come back in one turn of the event loop
	expiryBatch     = 512  // messages that are answered at the end of their time in one turn of the event loop
	expiryLead      = 3 * time.Second
	reservedPerLane = 4   // messages of a lane that find room in the reserve
	reserveDivisor  = 12  // the reserve is this part of Bounds.Memory, beyond it
	maxLanesPerTurn = 256 // lanes that are looked at for moves in one turn of the event loop
)

// WithDefaults fills in what is not for operators to set; room is how many messages the scheduler holds at once.
func (b Bounds) WithDefaults(room int) Bounds {
	b.Memory = max(1, int(memoryFraction*float64(room)))
	b.Batch = batch
	b.ExpiryLead = expiryLead
	return b
}

// freeMemory is how many messages more may be in memory.
func (p *Policy) freeMemory() int {
	if p.bounds.Memory == 0 {
		return math.MaxInt
	}
	return max(0, p.bounds.Memory-p.held)
}

// freeMemoryFor is how many messages more of a lane may be in memory, where so many of all lanes may and so many are. A
// lane with few there, whose destination is not out, finds room in a reserve: lanes that hold much do not keep it out.
func (p *Policy) freeMemoryFor(lane Lane, left, held int) int {
	if d := p.destinations[lane.Destination]; p.bounds.Memory == 0 || d != nil && d.out {
		return left
	}
	few := reservedPerLane
	if l := p.lanes[lane]; l != nil {
		few -= l.held
	}
	return max(left, min(few, p.bounds.Memory+p.bounds.Memory/reserveDivisor-held))
}

// DecideWithin is Decide for a message with so much time left, which memory and the log have room for or not (fits).
// One that would have to be answered at once after it is stored is refused.
func (p *Policy) DecideWithin(lane Lane, bytes int64, left time.Duration, fits bool, now time.Time) Decision {
	d := p.Decide(lane, bytes, now)
	if d.Place == Memory && !fits {
		d = p.storeOrRefuse(lane, bytes, now)
	}
	if d.Place == Store && left <= p.bounds.ExpiryLead {
		return p.Refuse(NoBound, bytes, now)
	}
	return d
}

// Discarded says that a stored message of a lane is gone without having come back.
func (p *Policy) Discarded(lane Lane, bytes int64) {
	l := p.lane(lane)
	p.addStored(l, -1, -bytes)
	p.forget(l)
}

// MoreDue tells if there are lanes for which a move may be due.
func (p *Policy) MoreDue() bool { return len(p.queue) > 0 }

// ExpiryBatch is how many messages are answered at the end of their time in one turn of the event loop.
func (p *Policy) ExpiryBatch() int { return expiryBatch }
