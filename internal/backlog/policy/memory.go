package policy

import (
	"math"
)

const (
	memoryFraction  = 0.88 // of what the scheduler holds at once: with the reserve below where it sheds load
	reservedPerLane = 4    // messages of a lane that find room in the reserve
	reserveDivisor  = 12   // the reserve is this part of Bounds.Memory, beyond it
)

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
