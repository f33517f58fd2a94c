package policy

import (
	"math"
)

const (
	memoryFraction  = 0.88 // of the scheduler's capacity; below the load shedding threshold even with the reserve
	reservedPerLane = 4    // messages that a lane may have in memory by using the reserve
	reserveDivisor  = 12   // the reserve is Bounds.Memory/reserveDivisor, on top of Bounds.Memory
)

// freeMemory returns how many more messages may be kept in memory, not counting the reserve.
func (p *Policy) freeMemory() int {
	if p.bounds.Memory == 0 {
		return math.MaxInt
	}
	return max(0, p.bounds.Memory-p.inMemory)
}

// freeMemoryFor returns how many more messages of a lane may be kept in memory. Over all lanes, inMemory messages are
// in memory and free more may be added. A lane with few messages in memory may use a reserve, unless its destination is
// unavailable, so that lanes with many messages do not crowd it out.
func (p *Policy) freeMemoryFor(lane Lane, free, inMemory int) int {
	if d := p.destinations[lane.Destination]; p.bounds.Memory == 0 || d != nil && d.unavailable {
		return free
	}
	reserved := reservedPerLane
	if l := p.lanes[lane]; l != nil {
		reserved -= l.inMemory
	}
	return max(free, min(reserved, p.bounds.Memory+p.bounds.Memory/reserveDivisor-inMemory))
}
