package backlog

import (
	"errors"
)

// Log is the write-ahead log as a Mover uses it.
type Log interface {
	// Restore records a whole message, with its history, under the number that it has. It may be recorded already: the
	// latest record counts.
	Restore(m *Message) error
	// Forget records that nothing is pending in the log for a number. It is no error if nothing was pending.
	Forget(seq uint64) error
}

// Mover moves messages between the write-ahead log and the store, so that a kill at any moment leaves a message in one
// of them, or in both under the same number. It is not safe for concurrent use.
//
//   - Spill: 1. the store has the message; 2. the log forgets it.
//   - BringBack: 1. the log has the message; 2. the store releases it; only then does the scheduler take it.
//
// Where both have a message, the log's copy counts: nothing happens to a message while the store has it, so the log's
// is as new or newer. Messages leave for the store newest first and come back oldest first: at each moment all of a
// lane that the log has are older than all that the store has.
type Mover struct {
	log   Log
	store *Store
	// unforgotten are numbers of messages that the store has and that the log could not forget yet.
	unforgotten map[uint64]struct{}
	// unreleased are messages that the log has again and that the store could not release yet.
	unreleased Batch
}

// Batch is a group of messages that were brought back together.
type Batch struct {
	Messages []*Message
	// Expired says that the messages must be answered without an attempt, as their time is over. Otherwise the
	// scheduler takes them, in this order, before anything newer of their lane.
	Expired bool
}

// NewMover returns a mover between a write-ahead log and a store.
func NewMover(log Log, store *Store) *Mover {
	return &Mover{log: log, store: store, unforgotten: map[uint64]struct{}{}}
}

// Resolve completes the moves that a kill has cut short. It must be called after a start, before anything else is done.
// Messages pending in the log that the store has too are released from the store. It returns those that the log has
// though their lane has older ones stored: they had been brought back to be answered at the end of their time, and must
// be answered without an attempt, since an attempt would overtake the older ones.
func (m *Mover) Resolve(pending []Ref) (overtaking []Ref, err error) {
	var both []Ref
	for _, ref := range pending {
		if m.store.Contains(ref.Lane, ref.Seq) {
			both = append(both, ref)
		}
	}
	if err := m.store.Release(both); err != nil {
		return nil, err
	}
	for _, ref := range pending {
		if l := m.store.lanes[ref.Lane]; l != nil && ref.Seq > l.first().seq {
			overtaking = append(overtaking, ref)
		}
	}
	return overtaking, nil
}

// Spill moves messages of one lane, given in the order of their numbers, to the store, the newest first. None of them
// may be in flight. It returns how many of them, from the end, are in the store now; an error says why not all. If only
// the log returns an error, these are moved all the same, and Retry has the log forget them later.
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
	m.unforgotten[seq] = struct{}{}
	if err := m.log.Forget(seq); err != nil {
		return err
	}
	delete(m.unforgotten, seq)
	return nil
}

// RetryForget repeats the calls of Log.Forget that failed, for messages that the store has.
func (m *Mover) RetryForget() error {
	for seq := range m.unforgotten {
		if err := m.forget(seq); err != nil {
			return err
		}
	}
	return nil
}

// Load moves the first n messages of a lane back to the log and returns those that the scheduler now has to take,
// in the order of their numbers. If an error interrupted an earlier call, it returns the rest of that batch instead,
// whatever it was for. With an error the batch may be shorter or empty.
func (m *Mover) Load(lane Lane, n int) (Batch, error) {
	if len(m.unreleased.Messages) > 0 {
		return m.release()
	}
	messages, err := m.store.Head(lane, n)
	return m.restore(Batch{Messages: messages}, err)
}

// LoadExpired moves up to n messages whose time is over at a moment back to the log, in the order of expiry. It
// returns the rest of an interrupted batch, and errors, as BringBack does.
func (m *Mover) LoadExpired(now int64, n int) (Batch, error) {
	if len(m.unreleased.Messages) > 0 {
		return m.release()
	}
	messages, err := m.store.Expired(now, n)
	return m.restore(Batch{Messages: messages, Expired: true}, err)
}

func (m *Mover) restore(wanted Batch, err error) (Batch, error) {
	m.unreleased = Batch{Expired: wanted.Expired}
	for _, message := range wanted.Messages {
		if logErr := m.log.Restore(message); logErr != nil {
			err = errors.Join(err, logErr)
			break
		}
		delete(m.unforgotten, message.Seq)
		m.unreleased.Messages = append(m.unreleased.Messages, message)
	}
	done, releaseErr := m.release()
	return done, errors.Join(err, releaseErr)
}

// release carries out the second step for the messages that are being brought back, and returns them.
func (m *Mover) release() (Batch, error) {
	refs := make([]Ref, len(m.unreleased.Messages))
	for i, message := range m.unreleased.Messages {
		refs[i] = message.Ref()
	}
	if err := m.store.Release(refs); err != nil {
		return Batch{}, err
	}
	done := m.unreleased
	m.unreleased = Batch{}
	return done, nil
}
