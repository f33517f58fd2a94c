package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Admission, restarts, stops and answers that must be acknowledged, as real frontends need them.

func socketSettings() Settings {
	t := testSettings
	t.MaxStoredBytes, t.AwaitAcknowledgement = 1000, true
	return t
}

func admits(h *harness, size int, left float64) bool {
	taken, back := h.Admit(size, left)
	if !taken {
		h.retryAfters[nil] = back
	}
	return taken
}

func TestAdmitsWhileThereIsCapacityAndTime(t *testing.T) {
	h := newHarness(socketSettings())
	d := h.addDestination(0, 0)
	require.True(t, admits(h, 1000, 8))
	require.False(t, admits(h, 1001, 8), "no storage left")
	require.Equal(t, 2.0, h.retryAfters[nil])
	require.False(t, admits(h, 10, 0.01), "no time")
	message := &Message{Dest: d, Size: 600}
	h.Accept(message, status, 8)
	require.False(t, admits(h, 600, 8))
	h.reconcile()
	h.endAttempt(message, Delivered, 0)
	require.True(t, admits(h, 600, 8))
	h.flood(d, status, h.settings.QueueCapacity)
	require.False(t, admits(h, 10, 8), "queue full")
}

func TestStoredBytesAreReleasedOnAcknowledgement(t *testing.T) {
	h := newHarness(socketSettings())
	message := &Message{Dest: h.NewDestination(1), Size: 600}
	h.Accept(message, status, 1)
	h.advance(1.1)
	require.Equal(t, "rejected", h.answers[message])
	require.False(t, admits(h, 600, 8))
	h.NoticeAcknowledged(message)
	require.True(t, message.Finished())
	require.True(t, admits(h, 600, 8))
}

func TestNextOfKeyWaitsForAcknowledgement(t *testing.T) {
	h := newHarness(socketSettings())
	d := h.addDestination(0, 0)
	first := &Message{Dest: d, Key: 5}
	h.Accept(first, ticket, 0.5)
	h.updateState(d.endpoints[0], Draining)
	second := &Message{Dest: d, Key: 5}
	h.Accept(second, ticket, 20)
	h.advance(0.6)
	require.Equal(t, "rejected", h.answers[first])
	h.updateState(d.endpoints[0], Ready)
	h.advance(1)
	require.Empty(t, h.sent)
	h.NoticeAcknowledged(first)
	h.advance(0.1)
	require.Equal(t, second, h.sent[0].message)
}

func TestRecoveredAttemptCountsAsPossiblyRun(t *testing.T) {
	h := newHarness(socketSettings())
	d := h.addDestination(0, 0, 0)
	recover := func(messageType int, left float64, past RecoveredState) *Message {
		message := &Message{Dest: d, Key: 5}
		h.Recover(message, messageType, left, past)
		return message
	}
	binding := recover(payment, 10, RecoveredState{Attempts: 1, FirstRanAt: h.now - 2})
	unsent := recover(payment, 10, RecoveredState{Attempts: 1})
	numbered := recover(ticket, 20, RecoveredState{Attempts: 1, FirstRanAt: h.now - 2})
	behind := recover(ticket, 20, RecoveredState{})
	forgotten := recover(ticket, 20, RecoveredState{Attempts: 1, FirstRanAt: h.now - 16})
	spent := recover(status, 10, RecoveredState{Attempts: 6})
	late := recover(status, -1, RecoveredState{})
	h.reconcile()
	require.Equal(t, map[*Message]string{
		binding: "abandoned", forgotten: "abandoned", spent: "rejected", late: "rejected",
	}, h.answers)
	h.advance(0.1)
	var sent []*Message
	for _, s := range h.sent {
		sent = append(sent, s.message)
	}
	require.ElementsMatch(t, []*Message{unsent, numbered}, sent)
	require.Equal(t, 2, numbered.attempts)
	h.endAttempt(numbered, Delivered, 0)
	h.advance(0.1)
	require.Equal(t, behind, h.sent[len(h.sent)-1].message)
}

func TestRecoveredAnswerIsOnlyAwaited(t *testing.T) {
	h := newHarness(socketSettings())
	d := h.addDestination(0, 0)
	message := &Message{Dest: d, Key: 5, Size: 10}
	h.Recover(message, ticket, 20, RecoveredState{Attempts: 1, Answered: true})
	behind := &Message{Dest: d, Key: 5}
	h.Recover(behind, ticket, 20, RecoveredState{})
	h.advance(1)
	require.Empty(t, h.sent)
	require.Empty(t, h.answers)
	h.NoticeAcknowledged(message)
	h.advance(0.1)
	require.Equal(t, behind, h.sent[0].message)
}

func TestStopBeginsNoCallThatWouldBeCutOff(t *testing.T) {
	h := newHarness(socketSettings())
	d := h.addDestination(0, 0)
	soon := h.accept(d, status, 0)
	h.reconcile()
	h.Stop(3)
	require.False(t, h.Done())
	h.endAttempt(soon, Delivered, 0)
	require.True(t, h.Done())
	h.accept(d, status, 0)
	h.advance(0.5)
	require.Len(t, h.sent, 2, "there is time for a call")
	h.endAttempts(d, Delivered)
	h.advance(2.2)
	h.accept(d, status, 0)
	h.advance(0.2)
	require.Len(t, h.sent, 2)
	require.Empty(t, h.answers, "it is left to the next process")
}

func TestCancelsUnsentCallsOnRetryAfterAndDrain(t *testing.T) {
	h := newHarness(socketSettings())
	d := h.addDestination(0, 0, 0)
	first, other := h.accept(d, status, 0), h.accept(d, status, 0)
	h.reconcile()
	h.endAttempt(first, Overloaded, 1)
	h.reconcile()
	require.Equal(t, []*Endpoint{other.call.endpoint}, h.cancelled)
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: other.call.endpoint, Destination: d, State: Draining}})
	h.reconcile()
	require.Len(t, h.cancelled, 2)
}

func TestHeedsRetryAfterOfDelivery(t *testing.T) {
	h := newHarness(socketSettings())
	d := h.addDestination(1, 0)
	message := h.accept(d, status, 0)
	h.reconcile()
	h.endAttempt(message, Delivered, 1)
	h.accept(d, status, 0)
	h.advance(0.9)
	require.Len(t, h.sent, 1)
	h.advance(0.3)
	require.Len(t, h.sent, 2)
}

func TestForgetsIdleKeysAndDestinations(t *testing.T) {
	h := newHarness(socketSettings())
	d := h.addDestination(0, 0)
	for key := range 500 {
		message := h.accept(d, ticket, uint64(key+1))
		h.reconcile()
		h.AttemptEnded(message, AttemptResult{Outcome: Cancelled, Final: true}) // its key pauses on
		h.advance(0.2)
	}
	require.Less(t, len(h.keyQueues), 70)
	unheard := h.NewDestination(99)
	message := h.accept(unheard, status, 0)
	h.reconcile()
	require.False(t, h.Forget(unheard))
	h.Withdraw(message)
	h.advance(0.1)
	require.True(t, h.Forget(unheard))
	require.False(t, h.Forget(d))
}

// Endpoints are replaced all day: removed ones are released once no call to them is in flight, however they went.
func TestReleasesRemovedEndpoints(t *testing.T) {
	h := newHarness(socketSettings())
	d := h.addDestination(0, 0)
	out := h.accept(d, status, 0)
	h.reconcile()
	first := d.endpoints[0]
	for range 1000 {
		next := &Endpoint{ID: d.endpoints[len(d.endpoints)-1].ID + 1}
		h.UpdateEndpoints(true, []EndpointUpdate{{Endpoint: next, Destination: d, State: Ready}})
		h.reconcile()
		require.Contains(t, d.endpoints, first, "a call to it is in flight")
		require.LessOrEqual(t, len(d.endpoints), 2)
	}
	require.Len(t, h.released, 999)
	h.endAttempt(out, Delivered, 0)
	h.reconcile()
	require.NotContains(t, d.endpoints, first)
}

// A message that a caller of an earlier process waited for is not sent. Where it may still run, its key pauses.
func TestDoesNotSendMessageWhoseCallerIsGone(t *testing.T) {
	for _, sent := range []int{0, 1} {
		h := newHarness(testSettings)
		d := h.addDestination(0, 0)
		left := &Message{Key: 5, Dest: d, Tenant: 9}
		h.Recover(left, ticket, 20, RecoveredState{Attempts: sent, FirstRanAt: h.now - 1, CallerGone: true})
		require.True(t, left.Finished())
		after := h.accept(d, ticket, 5)
		h.reconcile()
		require.Equal(t, sent == 0, len(h.sent) == 1, "a key of which nothing was sent does not pause")
		h.advance(0.2)
		require.Len(t, h.sent, 1)
		require.Same(t, after, h.sent[0].message)
		require.Empty(t, h.answers[left])
	}
}
