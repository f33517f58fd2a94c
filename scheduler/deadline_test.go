package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestUndeliverableMessageIsRejectedBeforeDeadline(t *testing.T) {
	h := newHarness(testSettings)
	unlisted := h.NewDestination(1)
	message := h.accept(unlisted, ticket, 5)
	h.advance(22)
	require.Empty(t, h.answers)
	h.advance(4)
	require.Equal(t, map[*Message]string{message: "rejected"}, h.answers)
	require.Positive(t, h.retryAfters[message])
	require.Empty(t, h.sent)
}

func TestAnswersAtDeadlineIfCallNeverEnds(t *testing.T) {
	h := newHarness(testSettings)
	message := h.accept(h.addDestination(0, 0), payment, 0)
	h.advance(20.5)
	require.Equal(t, "abandoned", h.answers[message])
	h.endAttempt(message, TimedOut, 0)
	require.True(t, message.Finished())
}

// If each message of a long queue were sent just too late, a healthy endpoint would look unhealthy.
func TestRejectsMessageWithLessTimeThanCallsTake(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	for range 50 {
		h.AttemptEnded(h.sendOne(d), AttemptResult{Outcome: Delivered, Final: true, Latency: 1})
	}
	d.endpoints[0].state = Draining
	late := h.accept(d, status, 0)
	h.advance(19.2) // the time to live is 20 s
	d.endpoints[0].state = Ready
	sent := len(h.sent)
	h.advance(0.1)
	require.Len(t, h.sent, sent)
	require.Equal(t, "rejected", h.answers[late])
	fresh := &Message{Dest: d}
	h.Accept(fresh, status, 0.5)
	h.reconcile()
	require.Equal(t, fresh, h.sent[sent].message, "a message that is accepted with little time left is sent at once")
}

func TestRejectsMessageBlockedBeyondItsDeadline(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	first, long := h.accept(d, status, 0), h.accept(d, status, 0)
	short := &Message{Dest: d, Tenant: 9}
	h.Accept(short, status, 4)
	h.reconcile()
	h.endAttempt(first, Overloaded, 9)
	h.reconcile()
	h.endAttempt(long, Overloaded, 0)
	h.endAttempt(short, Overloaded, 0)
	h.reconcile()
	require.Equal(t, "rejected", h.answers[short], "all endpoints are blocked beyond its deadline")
	require.Empty(t, h.answers[long])
}
