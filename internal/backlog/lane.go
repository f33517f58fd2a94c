package backlog

import "sort"

// lane holds the entries of one lane in blocks, ordered by message number, and a heap of their expiries. The first and
// the last entry are live; entries between them may have been released. Entries are addressed by ordinals, which may
// wrap around.
type lane struct {
	id        Lane
	number    uint32 // identifies the lane in Store.keys
	blocks    []*[blockSize]entry
	base      uint32   // ordinal of the first slot of the first block
	begin     uint32   // ordinal of the first entry
	end       uint32   // ordinal of the last entry, plus 1
	heap      []uint32 // ordinals of the live entries as a heap, the earliest expiry first
	bytes     int64    // of live records
	states    [stateCount]int
	heapIndex int // index in the store's heap of lanes
	// outOfOrder has the entries, by number, that replay found after those of newer messages. They were copied by
	// compaction from segments that were removed since. It is nil after the replay.
	outOfOrder map[uint64]entry
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

// trim removes released entries at both ends. It also removes those between live entries once they clearly outnumber
// the live ones.
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

// rebuild copies the live entries to new blocks and merges extra entries, which are ordered by number, into them.
func (l *lane) rebuild(extra []entry) {
	old := *l
	l.blocks, l.base, l.begin, l.end, l.heap = nil, 0, 0, 0, nil
	for ordinal := old.begin; ordinal != old.end; ordinal++ {
		e := old.at(ordinal)
		if !e.live() {
			continue
		}
		for len(extra) > 0 && extra[0].seq < e.seq {
			l.pushBack(extra[0])
			extra = extra[1:]
		}
		l.pushBack(*e)
	}
	for _, e := range extra {
		l.pushBack(e)
	}
	l.buildHeap()
}

// buildHeap rebuilds the heap. All entries must be live.
func (l *lane) buildHeap() {
	l.heap = make([]uint32, 0, l.end-l.begin)
	for ordinal := l.begin; ordinal != l.end; ordinal++ {
		l.heap = append(l.heap, ordinal)
		l.at(ordinal).heapPos = uint32(len(l.heap))
	}
	for i := len(l.heap)/2 - 1; i >= 0; i-- {
		l.siftDown(i)
	}
}

// find returns the live entry with the given number, or nil if there is none.
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

func (l *lane) less(i, j int) bool { return expiresBefore(l.at(l.heap[i]), l.at(l.heap[j])) }

func (l *lane) swap(i, j int) {
	l.heap[i], l.heap[j] = l.heap[j], l.heap[i]
	l.at(l.heap[i]).heapPos = uint32(i + 1)
	l.at(l.heap[j]).heapPos = uint32(j + 1)
}

func (l *lane) siftUp(i int) {
	for i > 0 && l.less(i, (i-1)/2) {
		l.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
}

func (l *lane) siftDown(i int) {
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
	l.at(ordinal).heapPos = uint32(len(l.heap))
	l.siftUp(len(l.heap) - 1)
}

func (l *lane) heapRemove(e *entry) {
	i, last := int(e.heapPos-1), len(l.heap)-1
	if i != last {
		l.swap(i, last)
	}
	l.heap = l.heap[:last]
	e.heapPos = 0
	if cap(l.heap) > 4*blockSize && cap(l.heap) > 4*last {
		l.heap = append(make([]uint32, 0, 2*last), l.heap...)
	}
	if i != last {
		l.siftDown(i)
		l.siftUp(i)
	}
}

// earliest returns the entry that expires first.
func (l *lane) earliest() *entry { return l.at(l.heap[0]) }

// laneHeap is a heap of all lanes, ordered by the earliest expiry of their messages. It implements heap.Interface.
type laneHeap []*lane

// Len returns the number of lanes.
func (h laneHeap) Len() int { return len(h) }

// Less orders lanes by the expiry of the message that expires first.
func (h laneHeap) Less(i, j int) bool { return expiresBefore(h[i].earliest(), h[j].earliest()) }

// Swap is called by package heap. It keeps lane.heapIndex up to date.
func (h laneHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push is called by package heap; x is a *lane.
func (h *laneHeap) Push(x any) {
	l := x.(*lane)
	l.heapIndex = len(*h)
	*h = append(*h, l)
}

// Pop is called by package heap.
func (h *laneHeap) Pop() any {
	old := *h
	l := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return l
}
