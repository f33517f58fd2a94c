package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// durableSettings returns testSettings with a storage limit and with final answers that must be acknowledged, as a
// forwarder with real clients has them.
func durableSettings() Settings {
	settings := testSettings
	settings.MaxStoredBytes, settings.AwaitAcknowledgement = 1000, true
	return settings
}

// admits returns whether Admit accepts a message, and records the Retry-After of a rejection.
func admits(h *harness, size int, timeLeft float64) bool {
	accepted, retryAfter := h.Admit(size, timeLeft)
	if !accepted {
		h.retryAfters[nil] = retryAfter
	}
	return accepted
}

func TestAdmitsWhileThereIsCapacityAndTime(t *testing.T) {
	h := newHarness(durableSettings())
	d := h.addDestination(0, 0)
	require.True(t, admits(h, 1000, 8))
	require.False(t, admits(h, 1001, 8), "no storage is left")
	require.Equal(t, 2.0, h.retryAfters[nil])
	require.False(t, admits(h, 10, 0.01), "no time is left")
	message := &Message{Dest: d, Size: 600}
	h.Accept(message, status, 8)
	require.False(t, admits(h, 600, 8))
	h.reconcile()
	h.endAttempt(message, Delivered, 0)
	require.True(t, admits(h, 600, 8))
	h.flood(d, status, h.settings.QueueCapacity)
	require.False(t, admits(h, 10, 8), "the queue is full")
}

func TestStoredBytesAreReleasedOnAcknowledgement(t *testing.T) {
	h := newHarness(durableSettings())
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
	h := newHarness(durableSettings())
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
	h := newHarness(durableSettings())
	d := h.addDestination(0, 0, 0)
	recoverMessage := func(messageType int, left float64, recovered RecoveredState) *Message {
		message := &Message{Dest: d, Key: 5}
		h.Recover(message, messageType, left, recovered)
		return message
	}
	atMostOnce := recoverMessage(payment, 10, RecoveredState{Attempts: 1, FirstRanAt: h.now - 2})
	notRun := recoverMessage(payment, 10, RecoveredState{Attempts: 1})
	withKey := recoverMessage(ticket, 20, RecoveredState{Attempts: 1, FirstRanAt: h.now - 2})
	nextOfKey := recoverMessage(ticket, 20, RecoveredState{})
	forgotten := recoverMessage(ticket, 20, RecoveredState{Attempts: 1, FirstRanAt: h.now - 16})
	exhausted := recoverMessage(status, 10, RecoveredState{Attempts: 6})
	late := recoverMessage(status, -1, RecoveredState{})
	h.reconcile()
	require.Equal(t, map[*Message]string{
		atMostOnce: "abandoned", forgotten: "abandoned", exhausted: "rejected", late: "rejected",
	}, h.answers)
	h.advance(0.1)
	var sent []*Message
	for _, s := range h.sent {
		sent = append(sent, s.message)
	}
	require.ElementsMatch(t, []*Message{notRun, withKey}, sent)
	require.Equal(t, 2, withKey.attempts)
	h.endAttempt(withKey, Delivered, 0)
	h.advance(0.1)
	require.Equal(t, nextOfKey, h.sent[len(h.sent)-1].message)
}

func TestRecoveredAnswerAwaitsAcknowledgement(t *testing.T) {
	h := newHarness(durableSettings())
	d := h.addDestination(0, 0)
	message := &Message{Dest: d, Key: 5, Size: 10}
	h.Recover(message, ticket, 20, RecoveredState{Attempts: 1, Answered: true})
	nextOfKey := &Message{Dest: d, Key: 5}
	h.Recover(nextOfKey, ticket, 20, RecoveredState{})
	h.advance(1)
	require.Empty(t, h.sent)
	require.Empty(t, h.answers)
	h.NoticeAcknowledged(message)
	h.advance(0.1)
	require.Equal(t, nextOfKey, h.sent[0].message)
}

func TestStopBeginsNoCallThatWouldBeCutOff(t *testing.T) {
	h := newHarness(durableSettings())
	d := h.addDestination(0, 0)
	first := h.accept(d, status, 0)
	h.reconcile()
	h.Stop(3)
	require.False(t, h.Done())
	h.endAttempt(first, Delivered, 0)
	require.True(t, h.Done())
	h.accept(d, status, 0)
	h.advance(0.5)
	require.Len(t, h.sent, 2, "enough time is left for a call")
	h.endAttempts(d, Delivered)
	h.advance(2.2)
	h.accept(d, status, 0)
	h.advance(0.2)
	require.Len(t, h.sent, 2)
	require.Empty(t, h.answers, "the message is left to the next process")
}

func TestCancelsUnsentCallsOnRetryAfterAndDrain(t *testing.T) {
	h := newHarness(durableSettings())
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

func TestHonorsRetryAfterOfDelivery(t *testing.T) {
	h := newHarness(durableSettings())
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
	h := newHarness(durableSettings())
	d := h.addDestination(0, 0)
	for key := range 500 {
		message := h.accept(d, ticket, uint64(key+1))
		h.reconcile()
		h.AttemptEnded(message, AttemptResult{Outcome: Cancelled, Final: true}) // the cooldown of its key begins
		h.advance(0.2)
	}
	require.Less(t, len(h.keyQueues), 70)
	unlisted := h.NewDestination(99)
	message := h.accept(unlisted, status, 0)
	h.reconcile()
	require.False(t, h.Forget(unlisted))
	h.Withdraw(message)
	h.advance(0.1)
	require.True(t, h.Forget(unlisted))
	require.False(t, h.Forget(d))
}

// Guards against a leak: endpoints are replaced all day, and each removed one must be released once no call to it is in
// flight.
func TestReleasesRemovedEndpoints(t *testing.T) {
	h := newHarness(durableSettings())
	d := h.addDestination(0, 0)
	inFlight := h.accept(d, status, 0)
	h.reconcile()
	first := d.endpoints[0]
	for range 1000 {
		next := &Endpoint{ID: d.endpoints[len(d.endpoints)-1].ID + 1}
		h.UpdateEndpoints(true, []EndpointUpdate{{Endpoint: next, Destination: d, State: Ready}})
		h.reconcile()
		require.Contains(t, d.endpoints, first, "a call to the endpoint is in flight")
		require.LessOrEqual(t, len(d.endpoints), 2)
	}
	require.Len(t, h.released, 999)
	h.endAttempt(inFlight, Delivered, 0)
	h.reconcile()
	require.NotContains(t, d.endpoints, first)
}

// A message whose caller waited for the answer of an earlier process is not sent. If it may still run, its key pauses.
func TestDoesNotSendMessageOfDisconnectedCaller(t *testing.T) {
	for _, attempts := range []int{0, 1} {
		h := newHarness(testSettings)
		d := h.addDestination(0, 0)
		orphan := &Message{Key: 5, Dest: d, Tenant: 9}
		h.Recover(orphan, ticket, 20, RecoveredState{Attempts: attempts, FirstRanAt: h.now - 1, CallerGone: true})
		require.True(t, orphan.Finished())
		nextOfKey := h.accept(d, ticket, 5)
		h.reconcile()
		require.Equal(t, attempts == 0, len(h.sent) == 1, "a key without an earlier attempt does not pause")
		h.advance(0.2)
		require.Len(t, h.sent, 1)
		require.Same(t, nextOfKey, h.sent[0].message)
		require.Empty(t, h.answers[orphan])
	}
}
