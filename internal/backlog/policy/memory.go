package policy

import (
	"math"
)

const (
	memoryFraction  = 0.88 // of what the scheduler holds at once: with the reserve below where it sheds load
	reservedPerLane = 4    // messages of a lane that find room in the reserve
	reserveDivisor  = 12   // the reserve is this part of Bounds.Memory, beyond it
)

// freeMemory returns how many more messages may be in memory.
func (p *Policy) freeMemory() int {
	if p.bounds.Memory == 0 {
		return math.MaxInt
	}
	return max(0, p.bounds.Memory-p.held)
}

// freeMemoryFor returns how many more messages of a lane may be in memory, where left more of all lanes may be and held
// are. A lane with few messages there, whose destination is not out, may use a reserve, so that lanes with many do not
// keep it out.
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
