package backlog

import (
	"errors"
)

// Log has the operations of the write-ahead log that a Mover uses.
type Log interface {
	// Restore records a whole message with its history, keeping its number. If the message is recorded already, the new
	// record replaces the earlier one.
	Restore(m *Message) error
	// Forget records that the message with the given number is no longer pending in the log. It is not an error if it was
	// not pending.
	Forget(seq uint64) error
}

// Mover moves messages between the write-ahead log and the store. Whenever the process is killed, each message is in
// one of them, or in both with the same number. It is not safe for concurrent use.
//
//   - Spill appends a message to the store before the log forgets it.
//   - Load records a message in the log before the store releases it. Only then may the scheduler get it.
//
// If both have a message, the log's copy is used. It is at least as new, because messages do not change while they are
// in the store. Messages are spilled newest first and loaded oldest first, so that at any moment all messages of a lane
// in the log are older than those in the store.
type Mover struct {
	log   Log
	store *Store
	// toForget has the numbers of spilled messages for which Log.Forget has failed so far.
	toForget map[uint64]struct{}
	// toRelease has loaded messages that are in the log but that the store has not released yet.
	toRelease Batch
}

// Batch is a group of messages that were loaded together.
type Batch struct {
	Messages []*Message
	// Expired means that the messages have expired and must be answered without an attempt. Otherwise the scheduler has
	// to queue them, in this order, before newer messages of their lane.
	Expired bool
}

// NewMover returns a mover. After a restart, Resolve must be called before any other method.
func NewMover(log Log, store *Store) *Mover {
	return &Mover{log: log, store: store, toForget: map[uint64]struct{}{}}
}

// Resolve completes the moves that were interrupted when the previous process was killed. It must be called at startup
// with the messages that are pending in the log. It releases those that are also in the store. It returns those whose
// lane has older messages in the store: they had been loaded because they expired, and they must be answered without an
// attempt, which would overtake the older messages.
func (m *Mover) Resolve(pending []Ref) (overtaking []Ref, err error) {
	var duplicates []Ref
	for _, ref := range pending {
		if m.store.Contains(ref.Lane, ref.Seq) {
			duplicates = append(duplicates, ref)
		}
	}
	if err := m.store.Release(duplicates); err != nil {
		return nil, err
	}
	for _, ref := range pending {
		if l := m.store.lanes[ref.Lane]; l != nil && ref.Seq > l.first().seq {
			overtaking = append(overtaking, ref)
		}
	}
	return overtaking, nil
}

// Spill moves messages of one lane to the store, the newest first. The messages must be ordered by number and must not
// be in flight. It returns how many of them, counted from the end, are in the store now, and an error if not all are.
// If the log fails to forget a message, the message counts as moved, and RetryForget repeats the call.
func (m *Mover) Spill(messages []*Message) (moved int, err error) {
	if err := m.RetryForget(); err != nil {
		return 0, err
	}
	for i := len(messages) - 1; i >= 0; i-- {
		if err := m.store.Append(messages[i]); err != nil && !errors.Is(err, ErrStored) {
			return moved, err
		}
		moved++
		if err := m.forget(messages[i].Seq); err != nil {
			return moved, err
		}
	}
	return moved, nil
}

func (m *Mover) forget(seq uint64) error {
	m.toForget[seq] = struct{}{}
	if err := m.log.Forget(seq); err != nil {
		return err
	}
	delete(m.toForget, seq)
	return nil
}

// RetryForget repeats the calls of Log.Forget that failed for spilled messages.
func (m *Mover) RetryForget() error {
	for seq := range m.toForget {
		if err := m.forget(seq); err != nil {
			return err
		}
	}
	return nil
}

// Load moves the first n messages of a lane to the log and returns those that the scheduler has to queue, ordered by
// number. If an earlier call of Load or LoadExpired was interrupted by an error, it returns the rest of that batch
// instead, even if it was for another lane. If it returns an error, the batch may be shorter or empty.
func (m *Mover) Load(lane Lane, n int) (Batch, error) {
	if len(m.toRelease.Messages) > 0 {
		return m.release()
	}
	messages, err := m.store.Head(lane, n)
	return m.writeToLog(Batch{Messages: messages}, err)
}

// LoadExpired moves up to n messages that expire at or before now to the log, in the order of expiry. Like Load, it
// returns the rest of an interrupted batch instead, and its batch may be shorter or empty if it returns an error.
func (m *Mover) LoadExpired(now int64, n int) (Batch, error) {
	if len(m.toRelease.Messages) > 0 {
		return m.release()
	}
	messages, err := m.store.Expired(now, n)
	return m.writeToLog(Batch{Messages: messages, Expired: true}, err)
}

func (m *Mover) writeToLog(batch Batch, err error) (Batch, error) {
	m.toRelease = Batch{Expired: batch.Expired}
	for _, message := range batch.Messages {
		if logErr := m.log.Restore(message); logErr != nil {
			err = errors.Join(err, logErr)
			break
		}
		delete(m.toForget, message.Seq)
		m.toRelease.Messages = append(m.toRelease.Messages, message)
	}
	released, releaseErr := m.release()
	return released, errors.Join(err, releaseErr)
}

// release releases the messages in toRelease from the store and returns them.
func (m *Mover) release() (Batch, error) {
	refs := make([]Ref, len(m.toRelease.Messages))
	for i, message := range m.toRelease.Messages {
		refs[i] = message.Ref()
	}
	if err := m.store.Release(refs); err != nil {
		return Batch{}, err
	}
	released := m.toRelease
	m.toRelease = Batch{}
	return released, nil
}
