package policy

// MoveKind is the kind of a move.
type MoveKind uint8

// The kinds of moves.
const (
	SpillTail  MoveKind = iota // move the newest messages in memory to the store
	LoadOldest                 // move the oldest stored messages back
)

// Move is a move of a lane's messages that is due.
type Move struct {
	Kind  MoveKind
	Lane  Lane
	Count int // messages at most
}

// maxLanesPerTurn is how many lanes are checked for moves in one turn of the event loop.
const maxLanesPerTurn = 256

// Due returns the moves that are due now, lanes in turn, of at most Bounds.Batch messages in all. The moves must be
// tried before it is called again; a lane whose move was not carried out becomes due again by Unmoved.
func (p *Policy) Due() []Move {
	var moves []Move
	left, memory, held := p.bounds.Batch, p.freeMemory(), p.held
	for range min(len(p.queue), maxLanesPerTurn) {
		if left == 0 {
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
		limit := left
		if m.Kind == LoadOldest {
			limit = min(left, p.freeMemoryFor(l.id, memory, held))
		}
		if m.Count > limit {
			m.Count = limit
			p.enqueue(l)
		}
		if m.Count == 0 { // memory is full: it waits for its turn
			continue
		}
		left -= m.Count
		if m.Kind == LoadOldest {
			memory = max(0, memory-m.Count)
			held += m.Count
		}
		moves = append(moves, m)
	}
	return moves
}

// MoveIncomplete records that a move of a lane was not carried out completely: it is due again.
func (p *Policy) MoveIncomplete(lane Lane) {
	if l := p.lanes[lane]; l != nil {
		p.queueIfDue(l)
	}
}

// MoreDue reports whether there are lanes for which a move may be due.
func (p *Policy) MoreDue() bool { return len(p.queue) > 0 }

// due returns the move that a lane needs, with a Count of 0 if none.
func (p *Policy) due(l *laneState) Move {
	switch {
	case l.stored.messages > 0 && l.held <= p.bounds.Window/2:
		return Move{Kind: LoadOldest, Lane: l.id, Count: min(p.bounds.Window-l.held, l.stored.messages)}
	case l.stored.messages == 0 && l.held > p.maxHeld(l.id) && p.bound(l.id, 1) == NoBound:
		return Move{Kind: SpillTail, Lane: l.id, Count: l.held - p.bounds.Window}
	}
	return Move{}
}

// queueIfDue queues a lane if a move is due.
func (p *Policy) queueIfDue(l *laneState) {
	if !l.queued && p.due(l).Count > 0 {
		p.enqueue(l)
	}
}

// enqueue queues a lane behind the others.
func (p *Policy) enqueue(l *laneState) {
	l.queued = true
	p.queue = append(p.queue, l)
}
