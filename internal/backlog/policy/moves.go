package policy

// MoveKind says in which direction messages are moved.
type MoveKind uint8

// The kinds of moves.
const (
	SpillTail  MoveKind = iota // move the newest messages in memory to the store
	LoadOldest                 // move the oldest stored messages to memory
)

// Move is a group of messages of one lane to move between memory and the store.
type Move struct {
	Kind  MoveKind
	Lane  Lane
	Count int // maximum number of messages to move
}

// maxLanesPerTurn is how many lanes are checked for moves in one turn of the event loop.
const maxLanesPerTurn = 256

// Due returns the moves that are due now, at most Bounds.Batch messages in total. Lanes take turns. The caller must try
// to carry out the moves before it calls Due again, and call MoveIncomplete for each lane whose move failed.
func (p *Policy) Due() []Move {
	var moves []Move
	remaining, free, inMemory := p.bounds.Batch, p.freeMemory(), p.inMemory
	for range min(len(p.queue), maxLanesPerTurn) {
		if remaining == 0 {
			break
		}
		l := p.queue[0]
		p.queue[0] = nil
		p.queue = p.queue[1:]
		l.queued = false
		m := p.due(l)
		if m.Count == 0 {
			p.forget(l)
			continue
		}
		limit := remaining
		if m.Kind == LoadOldest {
			limit = min(remaining, p.freeMemoryFor(l.id, free, inMemory))
		}
		if m.Count > limit {
			m.Count = limit
			p.enqueue(l)
		}
		if m.Count == 0 { // memory is full; the lane stays queued
			continue
		}
		remaining -= m.Count
		if m.Kind == LoadOldest {
			free = max(0, free-m.Count)
			inMemory += m.Count
		}
		moves = append(moves, m)
	}
	return moves
}

// MoveIncomplete records that a move of a lane was not carried out completely, so that it becomes due again.
func (p *Policy) MoveIncomplete(lane Lane) {
	if l := p.lanes[lane]; l != nil {
		p.queueIfDue(l)
	}
}

// MoreDue reports whether lanes are left for which a move may be due.
func (p *Policy) MoreDue() bool { return len(p.queue) > 0 }

// due returns the move that a lane needs. Its Count is 0 if no move is needed.
func (p *Policy) due(l *laneState) Move {
	switch {
	case l.stored.messages > 0 && l.inMemory <= p.bounds.Window/2:
		return Move{Kind: LoadOldest, Lane: l.id, Count: min(p.bounds.Window-l.inMemory, l.stored.messages)}
	case l.stored.messages == 0 && l.inMemory > p.maxInMemory(l.id) && p.exceededBound(l.id, 1) == NoBound:
		return Move{Kind: SpillTail, Lane: l.id, Count: l.inMemory - p.bounds.Window}
	}
	return Move{}
}

// queueIfDue queues a lane that needs a move, unless it is queued already.
func (p *Policy) queueIfDue(l *laneState) {
	if !l.queued && p.due(l).Count > 0 {
		p.enqueue(l)
	}
}

func (p *Policy) enqueue(l *laneState) {
	l.queued = true
	p.queue = append(p.queue, l)
}
