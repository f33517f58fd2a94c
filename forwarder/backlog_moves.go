package forwarder

import (
	"container/list"
	"errors"
	"slices"
	"time"

	"spanflow/internal/backlog"
	"spanflow/internal/backlog/policy"
	"spanflow/internal/wal"
	"spanflow/scheduler"
)

const (
	moveSoon  = time.Millisecond      // until the next batch of moves while more are due
	moveAgain = 50 * time.Millisecond // until a move is tried again that could not be made
)

// moveBacklog carries out the moves between memory and the store that are due, a batch a turn, so that fresh messages
// are served meanwhile.
func (o *owner) moveBacklog(now time.Time) {
	s := o.stored
	if s == nil {
		return
	}
	s.wakeAt = time.Time{}
	if o.stopping { // what is stored stays for the next process
		return
	}
	o.answerExpired(now)
	moves := s.policy.Due()
	for _, move := range moves {
		lane := backlog.Lane{Destination: move.Lane.Destination, Tenant: move.Lane.Tenant}
		moved := 0
		if move.Kind == policy.SpillTail {
			moved = o.spill(lane, move.Count)
		} else {
			moved = o.bringBack(lane, move.Count, now)
		}
		if moved < move.Count {
			s.policy.Unmoved(move.Lane)
			o.moveWithin(now, moveAgain)
		}
	}
	if s.policy.MoreDue() {
		if len(moves) > 0 {
			o.moveWithin(now, moveSoon)
		} else { // memory is full
			o.moveWithin(now, moveAgain)
		}
	}
	if expiry, ok := s.store.NextExpiry(); ok {
		o.moveWithin(now, max(moveSoon, time.UnixMicro(expiry).Sub(s.policy.ExpiryDue(now))))
	}
	o.setBacklogLevels()
}

// moveWithin has the event loop look for moves again within a time.
func (o *owner) moveWithin(now time.Time, wait time.Duration) {
	if at := now.Add(wait); o.stored.wakeAt.IsZero() || at.Before(o.stored.wakeAt) {
		o.stored.wakeAt = at
	}
}

// spill moves the newest messages of a lane that wait in memory out to the store, and tells how many.
func (o *owner) spill(lane backlog.Lane, most int) (moved int) {
	papers := o.spillable(lane, most)
	if len(papers) == 0 {
		return 0
	}
	messages := make([]*backlog.Message, len(papers))
	for i, p := range papers {
		messages[i] = o.messageOf(o.ledger.Entry(p.MessageID), p.came)
	}
	moved, err := o.stored.mover.Spill(messages)
	if err != nil && !errors.Is(err, backlog.ErrFull) {
		o.logBacklogError(err)
	}
	for i := len(papers) - moved; i < len(papers); i++ {
		o.forgetSpilled(papers[i], int64(messages[i].Size()))
	}
	return moved
}

// spillable are the newest messages of a lane, in the order of taking, as far as they wait for a call.
func (o *owner) spillable(lane backlog.Lane, most int) []*paper {
	inMemory := o.stored.lanes[lane]
	if inMemory == nil {
		return nil
	}
	var papers []*paper
	for e := inMemory.Back(); e != nil && len(papers) < most; e = e.Prev() {
		p := e.Value.(*paper)
		entry := o.ledger.Entry(p.MessageID)
		if !p.doc.Waiting() || p.holder != nil || entry == nil || overtakenIfStored(p) || o.keyElsewhere(entry) {
			break
		}
		papers = append(papers, p)
	}
	slices.Reverse(papers)
	return papers
}

// overtakenIfStored tells if a later message of its key, in memory, is of another lane and would go first. To look at
// the next one of the key that waits is enough: if it is of the same lane it was asked the same before, as the newest
// go first. Those of the same lane that do not wait are answered (their notices may stay unheard for long) and were not
// asked.
func overtakenIfStored(p *paper) bool {
	next := p.doc.NextOfKey()
	for next != nil && !next.Waiting() && laneOfDoc(next) == p.lane {
		next = next.NextOfKey()
	}
	return next != nil && laneOfDoc(next) != p.lane
}

// forgetSpilled lets go of a message that the store has now.
func (o *owner) forgetSpilled(p *paper, size int64) {
	o.stored.counts.spilled++
	o.stored.policy.Spilled(policyLane(p.lane), size)
	o.removeFromLane(p)
	o.noLongerUntried(p, false)
	o.f.Withdraw(p.doc)
	delete(o.docs, p.MessageID)
	if o.byID[p.ID] == p {
		delete(o.byID, p.ID)
	}
}

// bringBack moves the oldest stored messages of a lane back to memory, and tells how many.
func (o *owner) bringBack(lane backlog.Lane, most int, now time.Time) (moved int) {
	batch, err := o.stored.mover.BringBack(lane, most)
	o.logMoveError(err)
	o.takeBack(batch, now)
	return len(batch.Messages)
}

// answerExpired moves stored messages whose time is nearly over back to memory, a batch a turn, and answers them.
func (o *owner) answerExpired(now time.Time) {
	expiry, ok := o.stored.store.NextExpiry()
	due := o.stored.policy.ExpiryDue(now)
	if !ok || time.UnixMicro(expiry).After(due) {
		return
	}
	batch, err := o.stored.mover.BringBackExpired(due.UnixMicro(), o.stored.policy.ExpiryBatch())
	if o.logMoveError(err); err != nil {
		o.moveWithin(now, moveAgain)
	}
	o.takeBack(batch, now)
}

// logMoveError logs why messages could not be brought back, unless it is that the write-ahead log has no room for them
// now.
func (o *owner) logMoveError(err error) {
	if err != nil && !errors.Is(err, wal.ErrFull) {
		o.logBacklogError(err)
	}
}

// takeBack gives the scheduler what has come back.
func (o *owner) takeBack(batch backlog.Batch, now time.Time) {
	for _, m := range batch.Messages {
		o.stored.policy.Back(policyLane(m.Lane), int64(m.Size()), now)
		e := o.ledger.Entry(m.Seq)
		typ, known := o.types[e.Type]
		if !known {
			o.log.Error().Str("id", e.ID).Str("type", e.Type).Msg("stored document of an unknown type")
		}
		p := o.paper(e, typ)
		p.came = time.UnixMicro(m.Taken)
		left := float64(e.Expiry)/1e6 - o.clock(now)
		past := scheduler.RecoveredState{Attempts: e.Attempts, FirstRanAt: float64(e.FirstRanAt) / 1e6, Zone: e.FirstRanZone}
		o.enterLane(p)
		if batch.Expired {
			o.stored.counts.expired++
			o.f.GiveUp(p.doc, typ, left, past)
			o.leftMemory(p) // its notice may stay unheard for long
		} else {
			o.stored.counts.broughtBack++
			o.f.TakeBack(p.doc, typ, left, past)
			if m.Seq >= o.stored.firstSeq || !o.f.Answered(p.doc.Dest) {
				o.f.Uncount(p.doc.Dest) // counted as it was stored, or a backlog of hours that is not asked for now
			}
		}
		o.noteOutage(p.doc.Dest)
	}
}

// enterLane enters a message in its lane, in the order of taking: one that is to be answered may be newer than what
// is brought back later.
func (o *owner) enterLane(p *paper) {
	lane := o.stored.lanes[p.lane]
	if lane == nil {
		lane = list.New()
		o.stored.lanes[p.lane] = lane
	}
	e := lane.Back()
	for e != nil && e.Value.(*paper).MessageID > p.MessageID {
		e = e.Prev()
	}
	if e == nil {
		p.inLane = lane.PushFront(p)
	} else {
		p.inLane = lane.InsertAfter(p, e)
	}
}
