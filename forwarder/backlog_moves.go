package forwarder

import (
	"errors"
	"slices"
	"time"

	"spanflow/internal/backlog"
	"spanflow/internal/backlog/policy"
	"spanflow/internal/wal"
	"spanflow/scheduler"
)

const (
	nextMoves  = time.Millisecond      // until the next batch of moves while more are due
	retryMoves = 50 * time.Millisecond // until a move is tried again that could not be made
)

// moveBacklog carries out the moves between memory and the store that are due, a batch a turn, so that fresh messages
// are served meanwhile.
func (loop *eventLoop) moveBacklog(now time.Time) {
	b := loop.backlog
	if b == nil {
		return
	}
	b.wakeAt = time.Time{}
	if loop.shutdown.begun { // what is stored stays for the next process
		return
	}
	loop.answerExpired(now)
	moves := b.policy.Due()
	for _, move := range moves {
		if moved := loop.moveLane(move, now); moved < move.Count {
			b.policy.MoveIncomplete(move.Lane)
			b.wakeWithin(now, retryMoves)
		}
	}
	if b.policy.MoreDue() {
		if len(moves) > 0 {
			b.wakeWithin(now, nextMoves)
		} else { // memory is full
			b.wakeWithin(now, retryMoves)
		}
	}
	if expiry, ok := b.store.NextExpiry(); ok {
		b.wakeWithin(now, max(nextMoves, time.UnixMicro(expiry).Sub(b.policy.ExpiryDue(now))))
	}
	loop.setBacklogGauges()
}

// wakeWithin has the event loop look for moves again within a time.
func (b *backlogState) wakeWithin(now time.Time, wait time.Duration) {
	if at := now.Add(wait); b.wakeAt.IsZero() || at.Before(b.wakeAt) {
		b.wakeAt = at
	}
}

// moveLane carries out a move, and returns how many messages were moved.
func (loop *eventLoop) moveLane(move policy.Move, now time.Time) (moved int) {
	if move.Kind == policy.SpillTail {
		return loop.spill(storeLane(move.Lane), move.Count)
	}
	return loop.bringBack(storeLane(move.Lane), move.Count, now)
}

// spill moves up to limit of the newest messages of a lane that wait in memory to the store, and returns how many.
func (loop *eventLoop) spill(lane backlog.Lane, limit int) (moved int) {
	newest := loop.spillable(lane, limit)
	if len(newest) == 0 {
		return 0
	}
	messages := make([]*backlog.Message, len(newest))
	for i, m := range newest {
		messages[i] = loop.storedMessage(loop.wal.Entry(m.MessageID), m.receivedAt)
	}
	moved, err := loop.backlog.mover.Spill(messages)
	if err != nil && !errors.Is(err, backlog.ErrFull) {
		loop.logBacklogError(err)
	}
	for i := len(newest) - moved; i < len(newest); i++ {
		loop.releaseSpilled(newest[i], int64(messages[i].Size()))
	}
	return moved
}

// spillable are up to limit of the newest messages of a lane, in the order of admission, as far as they wait for a
// call.
func (loop *eventLoop) spillable(lane backlog.Lane, limit int) []*trackedMessage {
	inMemory := loop.backlog.lanes[lane]
	if inMemory == nil {
		return nil
	}
	var newest []*trackedMessage
	for element := inMemory.Back(); element != nil && len(newest) < limit; element = element.Prev() {
		m := element.Value.(*trackedMessage)
		if !loop.maySpill(m) {
			break
		}
		newest = append(newest, m)
	}
	slices.Reverse(newest)
	return newest
}

// maySpill reports whether a message in memory may go to the store.
func (loop *eventLoop) maySpill(m *trackedMessage) bool {
	if !m.scheduled.Queued() || m.waitingCaller != nil {
		return false
	}
	entry := loop.wal.Entry(m.MessageID)
	return entry != nil && !overtakenIfStored(m) && !loop.keyElsewhere(entry)
}

// overtakenIfStored reports whether a later message of its key, in memory, is of another lane and would go first. To
// look at the next one of the key that waits is enough: if it is of the same lane it was checked before, as the
// newest go first. Those of the same lane that do not wait are answered (their notices may stay unacknowledged
// for long) and were not checked.
func overtakenIfStored(m *trackedMessage) bool {
	next := m.scheduled.NextOfKey()
	for next != nil && !next.Queued() && scheduledLane(next) == m.lane {
		next = next.NextOfKey()
	}
	return next != nil && scheduledLane(next) != m.lane
}

// releaseSpilled removes a message from memory that the store has now.
func (loop *eventLoop) releaseSpilled(m *trackedMessage, size int64) {
	loop.backlog.counts.spilled++
	loop.backlog.policy.Spilled(policyLane(m.lane), size)
	loop.backlog.remove(m)
	loop.noteTried(m, false)
	loop.scheduler.Withdraw(m.scheduled)
	loop.messages.remove(m)
}

// bringBack moves up to limit of the oldest stored messages of a lane back to memory, and returns how many.
func (loop *eventLoop) bringBack(lane backlog.Lane, limit int, now time.Time) (moved int) {
	batch, err := loop.backlog.mover.Load(lane, limit)
	loop.logMoveError(err)
	loop.acceptBatch(batch, now)
	return len(batch.Messages)
}

// answerExpired moves stored messages whose time is nearly over back to memory, a batch a turn, and answers them.
func (loop *eventLoop) answerExpired(now time.Time) {
	b := loop.backlog
	expiry, ok := b.store.NextExpiry()
	due := b.policy.ExpiryDue(now)
	if !ok || time.UnixMicro(expiry).After(due) {
		return
	}
	batch, err := b.mover.LoadExpired(due.UnixMicro(), b.policy.ExpiryBatch())
	loop.logMoveError(err)
	if err != nil {
		b.wakeWithin(now, retryMoves)
	}
	loop.acceptBatch(batch, now)
}

// logMoveError logs why messages could not be brought back, unless it is that the write-ahead log has no space for them
// now.
func (loop *eventLoop) logMoveError(err error) {
	if err != nil && !errors.Is(err, wal.ErrFull) {
		loop.logBacklogError(err)
	}
}

// acceptBatch gives the scheduler the messages that have come back.
func (loop *eventLoop) acceptBatch(batch backlog.Batch, now time.Time) {
	for _, stored := range batch.Messages {
		loop.backlog.policy.Loaded(policyLane(stored.Lane), int64(stored.Size()), now)
		loop.acceptStored(stored, batch.Expired, now)
	}
}

// acceptStored gives the scheduler a message that has come back. One that is expired is answered without a call.
func (loop *eventLoop) acceptStored(stored *backlog.Message, expired bool, now time.Time) {
	e := loop.wal.Entry(stored.Seq)
	typ, known := loop.messages.types[e.Type]
	if !known {
		loop.telemetry.log.Error().Str("id", e.ID).Str("type", e.Type).Msg("stored message of an unknown type")
	}
	m := loop.track(e, typ)
	m.receivedAt = time.UnixMicro(stored.AcceptedAt)
	secondsLeft := float64(e.Expiry)/1e6 - loop.schedulerTime(now)
	recovered := scheduler.RecoveredState{
		Attempts:   e.Attempts,
		FirstRanAt: float64(e.FirstRanAt) / 1e6,
		Zone:       e.FirstRanZone,
	}
	loop.backlog.enter(m)
	if expired {
		loop.backlog.counts.expired++
		loop.scheduler.AnswerWithoutCall(m.scheduled, typ, secondsLeft, recovered)
		loop.noteLeftMemory(m) // its notice may stay unacknowledged for long
	} else {
		loop.backlog.counts.broughtBack++
		loop.scheduler.LoadStored(m.scheduled, typ, secondsLeft, recovered)
		if stored.Seq >= loop.backlog.firstSeq || !loop.scheduler.HasDelivered(m.scheduled.Dest) {
			// Its demand was counted when it was stored, or hours ago.
			loop.scheduler.UncountDemand(m.scheduled.Dest)
		}
	}
	loop.noteReachability(m.scheduled.Dest)
}
