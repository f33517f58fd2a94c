package forwarder

import (
	"container/list"
	"time"

	"spanflow/internal/backlog"
	"spanflow/internal/upstream"
	"spanflow/internal/wal"
	"spanflow/scheduler"
	"spanflow/transport"
)

// messageTable holds the messages in memory, the ids of those removed most recently, and the message types.
type messageTable struct {
	byNumber       map[uint64]*trackedMessage // by their numbers in the write-ahead log
	byID           map[string]*trackedMessage // the same, by the clients' ids
	recentIDs      recentIDs                  // ids of removed messages
	types          map[string]int             // numbers of the message types, by name
	unknownOptions map[string]bool            // names of unknown submission options that were logged already
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
	laneElement   *list.Element           // element in the list of its lane; nil without a backlog store
	waitingCaller transport.WaitingCaller // gets the final answer; if nil, the notifier gets it
	connection    connectionReset         // names the client's connection
	receivedAt    time.Time
	repliedAt     time.Time
	attemptAt     time.Time // when the latest attempt was recorded
	traced        bool
	untried       bool // accepted by an earlier process, and no call has begun yet
	withdrawn     bool // its waiting caller has disconnected: it gets no final answer, even if an attempt is outstanding
}

func (table *messageTable) add(m *trackedMessage) {
	table.byNumber[m.MessageID], table.byID[m.ID] = m, m
}

// remove removes a message. It reports whether the message's id still referred to it.
func (table *messageTable) remove(m *trackedMessage) bool {
	delete(table.byNumber, m.MessageID)
	if table.byID[m.ID] != m {
		return false
	}
	delete(table.byID, m.ID)
	return true
}

// unfinished counts the messages that have no final answer yet.
func (table *messageTable) unfinished() (count int) {
	for _, m := range table.byNumber {
		if !m.scheduled.Finished() {
			count++
		}
	}
	return count
}

// track creates the message for an entry of the write-ahead log and adds it to the table.
func (loop *eventLoop) track(e *wal.Entry, typ int) *trackedMessage {
	m := &trackedMessage{
		Message:    transport.Message{MessageID: e.Seq, ID: e.ID, IdempotencyKey: e.IdempotencyKey, Body: e.Body},
		typ:        typ,
		lane:       laneOf(e),
		receivedAt: time.Now(),
		traced:     loop.telemetry.trace.matches(e.ID, e.Key),
	}
	m.BatchBytes = upstream.BatchBytes(&m.Message)
	m.scheduled = &scheduler.Message{
		ID:               e.Seq,
		Tenant:           e.Tenant,
		Key:              e.Key,
		Dest:             loop.destination(e.Destination),
		Size:             e.Size(),
		CallBytes:        m.BatchBytes,
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

// handleConnectionReset passes the messages whose replies the client of a connection may not have received to the
// scheduler.
func (loop *eventLoop) handleConnectionReset(reset connectionReset) {
	now := time.Now()
	for _, m := range loop.messages.byNumber {
		if m.connection == reset {
			loop.scheduler.ClientReset(m.scheduled, now.Sub(m.repliedAt).Seconds())
		}
	}
}

// recordDone records in the write-ahead log that a message is done.
func (loop *eventLoop) recordDone(m *trackedMessage) {
	if err := loop.wal.RecordDone(m.MessageID); err != nil {
		loop.logWALError(err)
	}
}

// retryDone tries again to record the ends of messages that could not be recorded before, for example on a full disk.
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
	loop.clearUntried(m, false)
	if m.withdrawn {
		loop.recordDone(m)
	}
	loop.removeFromLane(m)
	if loop.messages.remove(m) {
		loop.messages.recentIDs.add(m.ID)
	}
}
