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
	nextMoveDelay  = time.Millisecond      // pause between batches of moves while more are due
	moveRetryDelay = 50 * time.Millisecond // pause before a failed move is retried
)

// moveBacklog carries out the due moves between memory and the store, one batch per turn so that new messages are
// served in between.
func (loop *eventLoop) moveBacklog(now time.Time) {
	b := loop.backlog
	if b == nil {
		return
	}
	b.wakeAt = time.Time{}
	if loop.shutdown.begun { // stored messages stay for the next process
		return
	}
	loop.answerExpired(now)
	moves := b.policy.Due()
	for _, move := range moves {
		if moved := loop.moveLane(move, now); moved < move.Count {
			b.policy.MoveIncomplete(move.Lane)
			b.wakeWithin(now, moveRetryDelay)
		}
	}
	if b.policy.MoreDue() {
		if len(moves) > 0 {
			b.wakeWithin(now, nextMoveDelay)
		} else { // memory is full
			b.wakeWithin(now, moveRetryDelay)
		}
	}
	if expiry, ok := b.store.NextExpiry(); ok {
		b.wakeWithin(now, max(nextMoveDelay, time.UnixMicro(expiry).Sub(b.policy.ExpiryDue(now))))
	}
	loop.setBacklogGauges()
}

// wakeWithin makes the event loop check for moves again after wait at the latest.
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
	return loop.loadStored(storeLane(move.Lane), move.Count, now)
}

// spill moves up to limit of the newest queued messages of a lane from memory to the store, and returns how many were
// moved.
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

// spillable returns up to limit of the newest messages of a lane, in the order of admission. Only messages newer than
// all that may not be moved to the store are included.
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

// maySpill reports whether a message in memory may be moved to the store.
func (loop *eventLoop) maySpill(m *trackedMessage) bool {
	if !m.scheduled.Queued() || m.waitingCaller != nil {
		return false
	}
	entry := loop.wal.Entry(m.MessageID)
	return entry != nil && !overtakenIfStored(m) && !loop.keyInOtherLane(entry)
}

// overtakenIfStored reports whether a later message of the same key but another lane is in memory and would be sent
// before m if m were stored. Checking the next queued message of the key is enough: if it is in the same lane it was
// checked before, because the newest messages are checked first. Messages of the same lane that are not queued have
// been answered (their notices may stay unacknowledged for long) and were not checked, so they are skipped.
func overtakenIfStored(m *trackedMessage) bool {
	next := m.scheduled.NextOfKey()
	for next != nil && !next.Queued() && scheduledLane(next) == m.lane {
		next = next.NextOfKey()
	}
	return next != nil && scheduledLane(next) != m.lane
}

// releaseSpilled removes a message from memory after it was stored.
func (loop *eventLoop) releaseSpilled(m *trackedMessage, size int64) {
	loop.backlog.counts.spilled++
	loop.backlog.policy.Spilled(policyLane(m.lane), size)
	loop.backlog.remove(m)
	loop.clearUntried(m, false)
	loop.scheduler.Withdraw(m.scheduled)
	loop.messages.remove(m)
}

// loadStored loads up to limit of the oldest stored messages of a lane into memory, and returns how many were loaded.
func (loop *eventLoop) loadStored(lane backlog.Lane, limit int, now time.Time) (moved int) {
	batch, err := loop.backlog.mover.Load(lane, limit)
	loop.logMoveError(err)
	loop.acceptBatch(batch, now)
	return len(batch.Messages)
}

// answerExpired loads the stored messages that are about to expire, one batch per turn, and answers them.
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
		b.wakeWithin(now, moveRetryDelay)
	}
	loop.acceptBatch(batch, now)
}

// logMoveError logs why messages could not be loaded, unless the write-ahead log only has no space for them at present.
func (loop *eventLoop) logMoveError(err error) {
	if err != nil && !errors.Is(err, wal.ErrFull) {
		loop.logBacklogError(err)
	}
}

// acceptBatch passes the loaded messages to the scheduler.
func (loop *eventLoop) acceptBatch(batch backlog.Batch, now time.Time) {
	for _, stored := range batch.Messages {
		loop.backlog.policy.Loaded(policyLane(stored.Lane), int64(stored.Size()), now)
		loop.acceptStored(stored, batch.Expired, now)
	}
}

// acceptStored passes a loaded message to the scheduler. An expired one is answered without a call.
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
	loop.backlog.insert(m)
	if expired {
		loop.backlog.counts.expired++
		loop.scheduler.AnswerWithoutCall(m.scheduled, typ, secondsLeft, recovered)
		loop.removeFromLane(m) // its notice may stay unacknowledged for long
	} else {
		loop.backlog.counts.loaded++
		loop.scheduler.LoadStored(m.scheduled, typ, secondsLeft, recovered)
		if stored.Seq >= loop.backlog.firstSeq || !loop.scheduler.HasDelivered(m.scheduled.Dest) {
			// Its demand was already counted when it was stored, or dates from hours ago.
			loop.scheduler.UncountDemand(m.scheduled.Dest)
		}
	}
	loop.updateReachability(m.scheduled.Dest)
}
