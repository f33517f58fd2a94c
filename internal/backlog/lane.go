package backlog

import "sort"

// lane holds the entries of one lane in the order of their numbers, in blocks, and a heap of their expiries. The first
// and the last entry are live. Positions are ordinals that wrap around.
type lane struct {
	id     Lane
	number uint32 // in the table of keys
	blocks []*[blockSize]entry
	base   uint32   // ordinal of the first block's first place
	begin  uint32   // ordinal of the first entry
	end    uint32   // ordinal behind the last entry
	heap   []uint32 // ordinals, the earliest expiry first
	bytes  int64    // of live records
	states [stateCount]int
	heapAt int // its place in the store's heap of lanes
	// late has entries that a replay found out of order: copies whose originals are gone.
	late map[uint64]entry
}

func (l *lane) liveCount() int { return len(l.heap) }

func (l *lane) at(ordinal uint32) *entry {
	i := ordinal - l.base
	return &l.blocks[i/blockSize][i%blockSize]
}

func (l *lane) empty() bool { return l.begin == l.end }

func (l *lane) first() *entry { return l.at(l.begin) }

func (l *lane) last() *entry { return l.at(l.end - 1) }

func (l *lane) pushBack(e entry) (ordinal uint32) {
	if l.end-l.base == uint32(len(l.blocks)*blockSize) {
		l.blocks = append(l.blocks, new([blockSize]entry))
	}
	l.end++
	*l.at(l.end - 1) = e
	return l.end - 1
}

func (l *lane) pushFront(e entry) (ordinal uint32) {
	if l.begin == l.base {
		l.blocks = append([]*[blockSize]entry{new([blockSize]entry)}, l.blocks...)
		l.base -= blockSize
	}
	l.begin--
	*l.at(l.begin) = e
	return l.begin
}

// trim removes released entries at both ends, and all that lie between once they clearly outnumber the live ones.
func (l *lane) trim() {
	l.trimEnds()
	if int(l.end-l.begin) > 2*l.liveCount()+4*blockSize {
		l.rebuild(nil)
	}
}

func (l *lane) trimEnds() {
	for !l.empty() && !l.first().live() {
		l.begin++
		if l.begin-l.base == blockSize {
			l.blocks[0] = nil
			l.blocks = l.blocks[1:]
			l.base += blockSize
		}
	}
	for !l.empty() && !l.last().live() {
		l.end--
		if used := int(l.end-l.base+blockSize-1) / blockSize; used < len(l.blocks)-1 {
			l.blocks[len(l.blocks)-1] = nil
			l.blocks = l.blocks[:len(l.blocks)-1]
		}
	}
}

// rebuild lays out the live entries afresh, with late ones where they belong.
func (l *lane) rebuild(late []entry) {
	old := *l
	l.blocks, l.base, l.begin, l.end, l.heap = nil, 0, 0, 0, nil
	for ordinal := old.begin; ordinal != old.end; ordinal++ {
		e := old.at(ordinal)
		if !e.live() {
			continue
		}
		for len(late) > 0 && late[0].seq < e.seq {
			l.pushBack(late[0])
			late = late[1:]
		}
		l.pushBack(*e)
	}
	for _, e := range late {
		l.pushBack(e)
	}
	l.buildHeap()
}

// buildHeap makes the heap of all entries.
func (l *lane) buildHeap() {
	l.heap = make([]uint32, 0, l.end-l.begin)
	for ordinal := l.begin; ordinal != l.end; ordinal++ {
		l.heap = append(l.heap, ordinal)
		l.at(ordinal).heapAt = uint32(len(l.heap))
	}
	for i := len(l.heap)/2 - 1; i >= 0; i-- {
		l.down(i)
	}
}

// find returns the live entry with a number, nil if there is none.
func (l *lane) find(seq uint64) *entry {
	n := int(l.end - l.begin)
	i := sort.Search(n, func(i int) bool { return l.at(l.begin+uint32(i)).seq >= seq })
	if i == n {
		return nil
	}
	if e := l.at(l.begin + uint32(i)); e.seq == seq && e.live() {
		return e
	}
	return nil
}

func (l *lane) less(i, j int) bool { return earlier(l.at(l.heap[i]), l.at(l.heap[j])) }

func (l *lane) swap(i, j int) {
	l.heap[i], l.heap[j] = l.heap[j], l.heap[i]
	l.at(l.heap[i]).heapAt = uint32(i + 1)
	l.at(l.heap[j]).heapAt = uint32(j + 1)
}

func (l *lane) up(i int) {
	for i > 0 && l.less(i, (i-1)/2) {
		l.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (l *lane) down(i int) {
	for {
		least := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < len(l.heap) && l.less(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		l.swap(i, least)
		i = least
	}
}

func (l *lane) heapPush(ordinal uint32) {
	l.heap = append(l.heap, ordinal)
	l.at(ordinal).heapAt = uint32(len(l.heap))
	l.up(len(l.heap) - 1)
}

func (l *lane) heapRemove(e *entry) {
	i, last := int(e.heapAt-1), len(l.heap)-1
	if i != last {
		l.swap(i, last)
	}
	l.heap = l.heap[:last]
	e.heapAt = 0
	if cap(l.heap) > 4*blockSize && cap(l.heap) > 4*last {
		l.heap = append(make([]uint32, 0, 2*last), l.heap...)
	}
	if i != last {
		l.down(i)
		l.up(i)
	}
}

// next returns the entry that expires first.
func (l *lane) next() *entry { return l.at(l.heap[0]) }

// laneHeap is all lanes, that with the earliest expiry first. It implements heap.Interface.
type laneHeap []*lane

// Len is part of heap.Interface.
func (h laneHeap) Len() int { return len(h) }

// Less is part of heap.Interface: the lane whose first message expires earlier comes first.
func (h laneHeap) Less(i, j int) bool { return earlier(h[i].next(), h[j].next()) }

// Swap is part of heap.Interface. It keeps lane.heapAt up to date.
func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapAt, h[j].heapAt = i, j
}

// Push is part of heap.Interface; x is a *lane.
func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.heapAt = len(*h)
	*h = append(*h, l)
}

// Pop is part of heap.Interface.
func (h *laneHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return l
}
