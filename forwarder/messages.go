package forwarder

import (
	"container/list"
	"time"

	"spanflow/internal/backlog"
	"spanflow/internal/wal"
	"spanflow/scheduler"
	"spanflow/transport"
)

// messageTable holds the messages in memory, the ids of those removed most recently, and the message types.
type messageTable struct {
	byNumber       map[uint64]*trackedMessage // by their numbers in the write-ahead log
	byID           map[string]*trackedMessage // the same, by the clients' ids
	recentIDs      recentIDs                  // ids of messages that were removed
	types          map[string]int             // numbers of the message types, by name
	unknownOptions map[string]bool            // names that came with messages and were logged
	untried        int                        // recovered messages for which no call has begun yet
}

func newMessageTable(types []string) messageTable {
	table := messageTable{
		byNumber:       map[uint64]*trackedMessage{},
		byID:           map[string]*trackedMessage{},
		recentIDs:      newRecentIDs(),
		types:          map[string]int{},
		unknownOptions: map[string]bool{},
	}
	for i, name := range types {
		table.types[name] = i
	}
	return table
}

// trackedMessage is a message in memory: one without a final answer, or with an attempt or notice outstanding.
type trackedMessage struct {
	transport.Message
	scheduled     *scheduler.Message
	typ           int // number of its type
	lane          backlog.Lane
	laneElement   *list.Element           // in the list of its lane; nil without a backlog store
	waitingCaller transport.WaitingCaller // gets the final answer; nil: the notifier does
	receivedAt    time.Time
	traced        bool
	untried       bool // an earlier process accepted it, and no call has begun yet
	withdrawn     bool // its waiting caller has gone: it gets no final answer, though an attempt may be outstanding
}

// add enters a message.
func (table *messageTable) add(m *trackedMessage) {
	table.byNumber[m.MessageID], table.byID[m.ID] = m, m
}

// remove removes a message. It reports whether the message's id was still its own.
func (table *messageTable) remove(m *trackedMessage) bool {
	delete(table.byNumber, m.MessageID)
	if table.byID[m.ID] != m {
		return false
	}
	delete(table.byID, m.ID)
	return true
}

// unfinished counts the messages that have no final answer yet.
func (table *messageTable) unfinished() (open int) {
	for _, m := range table.byNumber {
		if !m.scheduled.Finished() {
			open++
		}
	}
	return open
}

// track makes and enters the message of an entry of the write-ahead log.
func (loop *eventLoop) track(e *wal.Entry, typ int) *trackedMessage {
	m := &trackedMessage{
		Message:    transport.Message{MessageID: e.Seq, ID: e.ID, IdempotencyKey: e.IdempotencyKey, Body: e.Body},
		typ:        typ,
		lane:       laneOf(e),
		receivedAt: time.Now(),
		traced:     loop.telemetry.trace.picks(e.ID, e.Key),
	}
	m.scheduled = &scheduler.Message{
		ID:               e.Seq,
		Tenant:           e.Tenant,
		Key:              e.Key,
		Dest:             loop.destination(e.Destination),
		Size:             e.Size(),
		AnsweredByNotice: loop.notices.notifier != nil,
	}
	loop.messages.add(m)
	return m
}

// withdraw ends a message whose waiting caller has disconnected.
func (loop *eventLoop) withdraw(id string) {
	m := loop.messages.byID[id]
	if m == nil || m.waitingCaller == nil || m.withdrawn {
		return
	}
	loop.telemetry.counts.withdrawn++
	m.withdrawn = true
	loop.scheduler.Withdraw(m.scheduled)
	loop.removeIfFinished(m)
}

// recordDone records that a message is done.
func (loop *eventLoop) recordDone(m *trackedMessage) {
	if err := loop.wal.RecordDone(m.MessageID); err != nil {
		loop.logWALError(err)
	}
}

// retryDone records the ends of messages that could not be recorded before, as on a full disk.
func (loop *eventLoop) retryDone() {
	if err := loop.wal.RetryDone(); err != nil {
		loop.logWALError(err)
	}
}

// removeIfFinished removes a message if it has its final answer and no attempt or notice is outstanding.
func (loop *eventLoop) removeIfFinished(m *trackedMessage) {
	if !m.scheduled.Finished() {
		return
	}
	loop.noteTried(m, false)
	if m.withdrawn {
		loop.recordDone(m)
	}
	loop.noteLeftMemory(m)
	if loop.messages.remove(m) {
		loop.messages.recentIDs.add(m.ID)
	}
}
