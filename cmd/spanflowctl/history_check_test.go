package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	repeatMargin        = time.Second  // for the time from the forwarder's decision to the arrival of its call
	noticeMargin        = repeatMargin // likewise, from the forwarder's decision to the arrival of its notice
	maxOutOfOrderShown  = 5
	violationNotice     = "has a notice that is not allowed after a run"
	violationTwoAnswers = "two different final answers"
	violationRanTwice   = "ran twice but must run at most once"
	violationRanLate    = "ran again after its deduplication window"
)

// requireNoViolations requires that the recorded history breaks no rule.
func (h *history) requireNoViolations(t *testing.T) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	require.Empty(t, h.outOfOrder[:min(maxOutOfOrderShown, len(h.outOfOrder))], "%d of %d calls", len(h.outOfOrder), h.calls)
	require.Empty(t, h.unanswered, "submissions without an answer")
	for id, m := range h.messages {
		m.cutOff = h.isCutOff(m)
		require.Empty(t, m.violations(id), "%s: %s", id, m)
	}
}

// violations returns the rules that the history of a message breaks. A message has one final answer, whose notice may
// be repeated after a restart with the same state. If the message ran, its type must allow the notice, and it must not
// run more often than its type allows.
func (m *messageHistory) violations(id string) (found []string) {
	typ, _, _ := strings.Cut(id, "-")
	for _, state := range m.notices {
		if state != m.notices[0] {
			found = append(found, violationTwoAnswers)
			break
		}
	}
	if len(m.notices) > 0 && m.runs > 0 && !m.noticeAllowedAfterRun(typ) {
		found = append(found, violationNotice)
	}
	switch {
	case typ == "payment" && m.runs > 1:
		found = append(found, violationRanTwice)
	case typ == "ticket" && m.lastRun.Sub(m.firstRun) > deduplicationWindow+repeatMargin:
		found = append(found, violationRanLate)
	}
	return found
}

// noticeAllowedAfterRun reports whether the first notice is allowed after a run:
//
//   - An idempotent message may end with any notice, unless it was delivered and its forwarder received that answer. A
//     call that was in progress when the process ended may have run, but running the message again has no further
//     effect, and a notice for a message that was delivered does no harm.
//   - A message with an idempotency key may be returned after its last run as long as its destination knows the key.
//     Its client may submit it again, and the destination drops the repeat.
//   - All other messages have to be reported as failed.
//
// The test observes when the notice arrived, not when the forwarder decided on it. The scheduler may decide up to
// 0.05 s before the key is forgotten, and the notice takes time to arrive, as a repeat does. If the forwarder's log
// contains the decision, its time counts instead: every later process sends a recorded final answer unchanged, as it
// cannot know whether an earlier process has sent it.
func (m *messageHistory) noticeAllowedAfterRun(typ string) bool {
	switch {
	case typ == "status":
		return len(m.delivered) == 0 || m.cutOff
	case typ == "ticket" && m.notices[0] == noticeReturned:
		decidedAt := m.noticedAt
		if !m.decidedAt.IsZero() {
			decidedAt = m.decidedAt
		}
		return !m.noticedAt.Before(m.lastRun) && !decidedAt.After(m.firstRun.Add(deduplicationWindow+noticeMargin))
	default:
		return m.notices[0] == noticeFailed
	}
}

// String describes the history, with times relative to the first run.
func (m *messageHistory) String() string {
	return fmt.Sprintf("%d runs within %v, %d of them delivered, notices %q, first notice %v after the first run",
		m.runs, m.lastRun.Sub(m.firstRun), len(m.delivered), m.notices, m.noticedAt.Sub(m.firstRun))
}

func TestHistoryViolationsAreDetected(t *testing.T) {
	const (
		badNotice = violationNotice
	)
	start := time.Now()
	at := func(after time.Duration) time.Time { return start.Add(after) }
	seen := func(delivered int, lastRun, notice time.Duration, notices ...string) *messageHistory {
		m := &messageHistory{runs: 1, firstRun: start, lastRun: at(lastRun), noticedAt: at(notice), notices: notices}
		if delivered > 0 {
			m.delivered = []time.Time{m.lastRun}
		}
		return m
	}
	decided := func(m *messageHistory, after time.Duration) *messageHistory {
		m.decidedAt = at(after)
		return m
	}
	cutOff := func(m *messageHistory) *messageHistory {
		m.cutOff = true
		return m
	}
	repeated := func(m *messageHistory) *messageHistory {
		m.runs++
		return m
	}
	neverRan := func(notices ...string) *messageHistory { return &messageHistory{notices: notices, noticedAt: start} }
	const window = deduplicationWindow
	const known = deduplicationWindow + noticeMargin
	for _, c := range []struct {
		name    string
		id      string
		history *messageHistory
		breaks  []string
	}{
		{"delivered", "ticket-1", seen(1, 0, 0), nil},
		{"never run, returned", "ticket-1", neverRan("returned"), nil},
		{"never run, failed", "payment-1", neverRan("failed"), nil},
		{"repeated with the same state", "ticket-1", neverRan("failed", "failed"), nil},
		{"two states", "ticket-1", neverRan("failed", "returned"), []string{violationTwoAnswers}},
		{"two states after a run", "ticket-1", seen(1, 0, window/2, "returned", "failed"), []string{violationTwoAnswers}},

		{"key known, delivered, answer cut off, returned", "ticket-1", seen(1, 0, window*2/3, "returned"), nil},
		{"key known, ran with an error, returned", "ticket-1", seen(0, 0, window*2/3, "returned"), nil},
		{"key known until the last moment, returned", "ticket-1", seen(1, 0, known, "returned"), nil},
		{"key forgotten, delivered, returned", "ticket-1", seen(1, 0, known+1, "returned"), []string{badNotice}},
		{"key forgotten, ran with an error, returned", "ticket-1", seen(0, 0, known+1, "returned"), []string{badNotice}},
		{"key known from the first run, not from a repeat", "ticket-1",
			repeated(seen(1, window/2, known+1, "returned")), []string{badNotice}},
		{"returned, then run", "ticket-1", seen(1, window/2, window/4, "returned"), []string{badNotice}},
		{"return recorded while the key was known, notice sent by a later process", "ticket-1",
			decided(seen(0, 0, known+time.Hour, "returned"), window), nil},
		{"return recorded after the key was forgotten", "ticket-1",
			decided(seen(0, 0, known+2*time.Second, "returned"), known+time.Second), []string{badNotice}},
		{"key forgotten, failed", "ticket-1", seen(1, 0, time.Hour, "failed"), nil},
		{"key known, failed", "ticket-1", seen(1, 0, window/2, "failed"), nil},
		{"unknown state", "ticket-1", seen(1, 0, window/2, "delivered"), []string{badNotice}},

		{"must not run twice, delivered, failed", "payment-1", seen(1, 0, window/2, "failed"), nil},
		{"must not run twice, delivered, returned", "payment-1", seen(1, 0, window/2, "returned"), []string{badNotice}},
		{"must not run twice, ran with an error, returned", "payment-1", seen(0, 0, window/2, "returned"), []string{badNotice}},
		{"must not run twice, ran twice", "payment-1", repeated(seen(1, window/2, 0)), []string{violationRanTwice}},

		{"may run again, ran with an error, returned", "status-1", seen(0, 0, time.Hour, "returned"), nil},
		{"may run again, ran again", "status-1", repeated(seen(1, time.Hour, 0)), nil},
		{"may run again, delivered, returned", "status-1", seen(1, 0, window/2, "returned"), []string{badNotice}},
		{"may run again, delivered, failed", "status-1", seen(1, 0, window/2, "failed"), []string{badNotice}},
		{"may run again, delivered, answer cut off, returned", "status-1", cutOff(seen(1, 0, window/2, "returned")), nil},
		{"must not run twice, delivered, answer cut off, returned", "payment-1",
			cutOff(seen(1, 0, window/2, "returned")), []string{badNotice}},
		{"may run again, answer cut off, two states", "status-1",
			cutOff(seen(1, 0, window/2, "returned", "failed")), []string{violationTwoAnswers}},

		{"repeated while its key is known", "ticket-1", repeated(seen(1, window, 0)), nil},
		{"repeated when its key is forgotten", "ticket-1", repeated(seen(1, window+2*time.Second, 0)),
			[]string{violationRanLate}},
	} {
		require.Equal(t, c.breaks, c.history.violations(c.id), c.name)
	}
}

// A delivery is cut off if its forwarder's process ended right after it and may not have received the answer. A message
// counts as cut off only if all of its deliveries are, no matter when it ran last.
func TestDeliveryIsCutOffByEndOfProcess(t *testing.T) {
	start := time.Now()
	h := newHistory()
	h.processEnds[0] = []time.Time{start.Add(answerMargin / 2)}
	first, later := start, start.Add(2*answerMargin)
	for _, c := range []struct {
		delivered []time.Time
		cutOff    bool
	}{
		{[]time.Time{first}, true},
		{[]time.Time{later}, false},
		{[]time.Time{first, later}, false},
		{nil, false},
	} {
		require.Equal(t, c.cutOff, h.isCutOff(&messageHistory{delivered: c.delivered, lastRun: later}), "%v", c.delivered)
	}
}
