package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// States of a notice.
const (
	noticeFailed   = "failed"   // the message may have run and is not attempted again
	noticeReturned = "returned" // the client may submit the message again
)

const logNotDelivered = `"message":"not delivered"`

const (
	answerMargin        = time.Second // longest time from a run at an endpoint to the receipt of its answer
	numbersPerForwarder = 1_000_000   // size of the range of message numbers that each of several forwarders uses
)

// messageHistory holds the observations of one message.
type messageHistory struct {
	submission
	accepted  bool // answered +OK
	runs      int  // calls that the endpoint ran, including repeats, as it does not deduplicate
	firstRun  time.Time
	lastRun   time.Time
	delivered []time.Time // runs answered 200
	notices   []string    // states, in order of arrival
	noticedAt time.Time
	decidedAt time.Time // when its forwarder decided on the notice, according to the log; zero if unknown
	deadline  time.Time // latest possible deadline, by the client's clock when it read +OK
	cutOff    bool      // see isCutOff; the forwarder may have received no answer
}

func (m *messageHistory) ended() bool { return len(m.delivered) > 0 || len(m.notices) > 0 }

// history records what clients, endpoints and the receiver of notices observe. It is safe for concurrent use.
type history struct {
	mu          sync.Mutex
	messages    map[string]*messageHistory
	keys        map[int][]*messageHistory // accepted messages, in the order of submission
	endedInKey  map[int]int               // length of the prefix of keys that has ended
	calls       int
	ended       int // messages with a final answer
	outOfOrder  []string
	processEnds map[int][]time.Time // when processes ended, by number of the forwarder, if recorded
	unanswered  []string            // ids of submissions without an answer although the connection stayed open

	keyCooldown    time.Duration         // from the configuration; 0 disables the check
	brokenAttempts map[int]brokenAttempt // by key
}

// brokenAttempt is the latest call with a message of a key whose connection ended without an answer.
type brokenAttempt struct {
	number int
	at     time.Time
}

// observationSlack is the longest delay with which the history, under load, may observe a call or the end of a
// connection.
const observationSlack = 50 * time.Millisecond

func newHistory() *history {
	return &history{
		messages:       map[string]*messageHistory{},
		keys:           map[int][]*messageHistory{},
		endedInKey:     map[int]int{},
		processEnds:    map[int][]time.Time{},
		brokenAttempts: map[int]brokenAttempt{},
	}
}

// message returns the history of a message and adds it if needed. The caller holds the lock.
func (h *history) message(id string) *messageHistory {
	m := h.messages[id]
	if m == nil {
		m = &messageHistory{}
		h.messages[id] = m
	}
	return m
}

// recordAccepted records that a client has read +OK.
func (h *history) recordAccepted(s submission) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.message(s.id())
	m.submission, m.accepted, m.deadline = s, true, time.Now().Add(s.timeToLive)
	if s.key != 0 && s.typ != "payment" {
		h.keys[s.key] = append(h.keys[s.key], m)
	}
}

// recordUnanswered records that a client timed out waiting for an answer on a connection that stayed open.
func (h *history) recordUnanswered(s submission) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unanswered = append(h.unanswered, s.id())
}

// recordProcessEnd records that a process of a forwarder has ended, by itself or by a kill.
func (h *history) recordProcessEnd(forwarder int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.processEnds[forwarder] = append(h.processEnds[forwarder], time.Now())
}

// isCutOff reports whether a process of the message's forwarder ended within answerMargin after each delivered run. The
// caller holds the lock.
func (h *history) isCutOff(m *messageHistory) bool {
	heard := func(run time.Time) bool {
		return !slices.ContainsFunc(h.processEnds[m.number/numbersPerForwarder], func(end time.Time) bool {
			return end.After(run) && end.Before(run.Add(answerMargin))
		})
	}
	return len(m.delivered) > 0 && !slices.ContainsFunc(m.delivered, heard)
}

// readDecisions reads from the log of a process when it decided on the notices of messages.
func (h *history) readDecisions(log string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for line := range strings.Lines(log) {
		var decision struct {
			Message, ID string
			Time        time.Time
		}
		if !strings.Contains(line, logNotDelivered) || json.Unmarshal([]byte(line), &decision) != nil {
			continue
		}
		if m := h.message(decision.ID); m.decidedAt.IsZero() {
			m.decidedAt = decision.Time
		}
	}
}

// recordRun records that an endpoint runs a call, and checks that those earlier messages of its key for which the
// client has read +OK have ended. The caller holds the lock.
func (h *history) recordRun(c emulator.Call, delivered bool) {
	h.calls++
	h.checkOrder(c.ID)
	now := time.Now()
	m := h.message(c.ID)
	if m.runs++; m.runs == 1 {
		m.firstRun = now
	}
	m.lastRun = now
	if delivered {
		if !m.ended() {
			h.ended++
		}
		m.delivered = append(m.delivered, now)
	}
}

// checkOrder records a violation if a message runs before an earlier message of its key has ended, or before the key's
// cooldown after a call without an answer is over. The caller holds the lock.
func (h *history) checkOrder(id string) {
	key, number := keyAndNumber(id)
	ofKey := h.keys[key]
	for h.endedInKey[key] < len(ofKey) && ofKey[h.endedInKey[key]].ended() {
		h.endedInKey[key]++
	}
	last := h.brokenAttempts[key]
	if elapsed := time.Since(last.at); key != 0 && number > last.number && elapsed < h.keyCooldown-observationSlack {
		h.outOfOrder = append(h.outOfOrder,
			fmt.Sprintf("%s runs %v after a call of number %d ended without an answer", id, elapsed, last.number))
	}
	if first := h.endedInKey[key]; key != 0 && first < len(ofKey) && ofKey[first].number < number {
		h.outOfOrder = append(h.outOfOrder, fmt.Sprintf("%s runs before %s has ended", id, ofKey[first].id()))
	}
}

// keyAndNumber returns the key and the number in an id. Key 0 means that the message is not ordered.
func keyAndNumber(id string) (key, number int) {
	parts := strings.Split(id, "-")
	if len(parts) != 5 || parts[0] == "payment" {
		return 0, 0
	}
	_, _ = fmt.Sscan(parts[3], &key)
	_, _ = fmt.Sscan(parts[4], &number)
	return key, number
}

// deliver records a run of a call and answers 200.
func (h *history) deliver(c emulator.Call) emulator.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordRun(c, true)
	return emulator.Reply{}
}

// fail records a run of a call and gives a reply that does not report the run as a success.
func (h *history) fail(c emulator.Call, reply emulator.Reply) emulator.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordRun(c, false)
	if reply.Break {
		key, number := keyAndNumber(c.ID)
		h.brokenAttempts[key] = brokenAttempt{number, time.Now()}
	}
	return reply
}

// recordNotice records the arrival of a notice.
func (h *history) recordNotice(n emulator.Notice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.message(n.ID)
	if !m.ended() {
		h.ended++
	}
	if m.noticedAt.IsZero() {
		m.noticedAt = time.Now()
	}
	m.notices = append(m.notices, n.State)
}

// answered returns the number of messages with a final answer.
func (h *history) answered() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// delivered reports whether a message was delivered.
func (h *history) delivered(s submission) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.message(s.id()).delivered) > 0
}

// pending returns the ids of accepted messages that have no final answer.
func (h *history) pending() (ids []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, m := range h.messages {
		if m.accepted && !m.ended() {
			ids = append(ids, id)
		}
	}
	return ids
}

// count returns the numbers of accepted messages, runs and notices.
func (h *history) count() (accepted, runs, notices int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.messages {
		if m.accepted {
			accepted++
		}
		runs += m.runs
		notices += len(m.notices)
	}
	return accepted, runs, notices
}

// messagesWithNotice returns the number of messages for which a notice arrived.
func (h *history) messagesWithNotice() (messages int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.messages {
		if len(m.notices) > 0 {
			messages++
		}
	}
	return messages
}

// requireNoNotices requires that no message of a type has a notice.
func (h *history) requireNoNotices(t *testing.T, typ string) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, m := range h.messages {
		if strings.HasPrefix(id, typ+"-") {
			require.Empty(t, m.notices, id)
		}
	}
}

// requireInTime requires that each notice arrived before the deadline of its message.
func (h *history) requireInTime(t *testing.T) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, m := range h.messages {
		late := len(m.notices) > 0 && m.noticedAt.After(m.deadline)
		require.False(t, late, "%s: notice arrived %v after the deadline", id, m.noticedAt.Sub(m.deadline))
	}
}
