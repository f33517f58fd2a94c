package scheduler

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKeepsOrderAndCooldownOfKeys(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0, 0)
	first, second := h.accept(d, ticket, 5), h.accept(d, ticket, 5)
	h.advance(0.1)
	require.Len(t, h.sent, 1)
	h.Withdraw(first) // the call is still in flight
	h.advance(0.1)
	require.Len(t, h.sent, 1)
	h.endAttempt(first, TimedOut, 0)
	h.advance(0.06)
	require.Len(t, h.sent, 1)
	h.advance(0.1)
	require.Equal(t, second, h.sent[1].message)
	require.True(t, first.Finished())
}

func TestFreshMessagesGoBeforeRetries(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	old := h.accept(d, status, 0)
	h.reconcile()
	h.endAttempt(old, Reset, 0)
	fresh := h.accept(d, status, 0)
	h.reconcile()
	require.Equal(t, fresh, h.sent[1].message)
	h.endAttempts(d, Delivered)
	h.reconcile()
	require.Equal(t, old, h.sent[2].message)
}

func TestTenantsTakeTurns(t *testing.T) {
	settings := testSettings
	settings.TenantRate = []float64{9, 9}
	h := newHarness(settings)
	d := h.addDestination(0, 0)
	for i := range 6 {
		message := &Message{Dest: d, Tenant: i / 5}
		h.Accept(message, status, 20)
	}
	h.reconcile()
	require.Equal(t, []int{0, 1}, []int{h.sent[0].message.Tenant, h.sent[1].message.Tenant})
}

func TestShedsLongestBacklogBeforeQueueIsFull(t *testing.T) {
	h := newHarness(testSettings)
	flooded, other := h.addDestination(0), h.addDestination(0)
	h.flood(other, status, 5)
	h.flood(flooded, status, 34)
	h.reconcile()
	require.Len(t, h.answers, 1)
	for message, answer := range h.answers {
		require.Equal(t, flooded, message.Dest)
		require.Equal(t, "rejected", answer)
	}
}

func TestMessagesOverQuotaAreSentLastAndShedFirst(t *testing.T) {
	settings := testSettings
	settings.TenantRate = []float64{4, 4} // two messages per second at each of two forwarders
	h := newHarness(settings)
	d := h.addDestination(0)
	accept := func(tenant int) *Message {
		message := &Message{Dest: d, Tenant: tenant}
		h.Accept(message, status, 20)
		return message
	}
	for range 30 {
		accept(0)
	}
	late := accept(1)
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: &Endpoint{}, Destination: d, State: Ready}})
	h.reconcile()
	require.Contains(t, []*Message{h.sent[0].message, h.sent[1].message}, late)
	for range 7 {
		accept(1)
	}
	require.False(t, accept(0).overQuota && !slices.Collect(h.held.all())[20].overQuota)
	h.reconcile()
	for message := range h.answers {
		require.True(t, message.overQuota)
	}
}

func TestHalfEmptyCallIsFilledWithRetries(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(1, 0)
	h.flood(d, status, 6)
	h.reconcile()
	h.endAttempts(d, Overloaded)
	h.accept(d, status, 0)
	h.advance(9)
	n := 0
	for _, s := range h.sent[6:] {
		require.Equal(t, h.sent[6].at, s.at, "one call carries the fresh message and the retries")
		n++
	}
	require.Equal(t, 7, n)
}

// newTwoValues returns a forwarder with two slots and two message types. The second type has twice the value.
func newTwoValues(queueCapacity int) (*harness, *Destination) {
	settings := testSettings
	settings.Types = []MessageType{
		{Idempotency: AtMostOnce, LatencyObjective: 3, TimeToLive: 16, Value: 1},
		{Idempotency: IdempotentWithKey, LatencyObjective: 2, TimeToLive: 28, DeduplicationWindow: 7, Value: 2},
	}
	settings.ConcurrencyLimit, settings.QueueCapacity = 2, queueCapacity
	h := newHarness(settings)
	return h, h.addDestination(0, 0)
}

func TestMoreValuableTypeGoesFirstAndNeitherStarves(t *testing.T) {
	h, d := newTwoValues(20)
	h.flood(d, 0, 12)
	h.flood(d, 1, 6)
	var values []int
	for range 12 {
		h.advance(0.1)
		h.endAttempts(d, Delivered)
	}
	for _, s := range h.sent {
		values = append(values, int(s.message.messageType.Value))
	}
	moreValuable := 0
	for _, v := range values[:8] {
		moreValuable += v - 1
	}
	require.GreaterOrEqual(t, moreValuable, 4, "although a burst of twelve messages of the other type was accepted before")
	require.LessOrEqual(t, moreValuable, 5, "messages of the other type are sent, too")
}

func TestShedsLessValuableTypeFirst(t *testing.T) {
	h, d := newTwoValues(18)
	h.flood(d, 1, 8)
	h.flood(d, 0, 6)
	h.flood(d, 1, 6)
	h.reconcile()
	require.Len(t, h.answers, 3)
	for message := range h.answers {
		require.Equal(t, 1.0, message.messageType.Value)
	}
}

func TestShedsBacklogByTimeNotByLength(t *testing.T) {
	h := newHarness(testSettings) // queue capacity 40; a call to kind 1 carries up to ten messages
	batched, unbatched := h.addDestination(1, 0), h.addDestination(0, 0)
	h.flood(batched, status, 26)
	h.flood(unbatched, status, 14)
	h.reconcile()
	require.NotEmpty(t, h.answers)
	for message := range h.answers {
		require.Equal(t, unbatched, message.Dest)
	}
}

func TestMessageInTimeGoesFirstIfValueHalves(t *testing.T) {
	settings := testSettings
	settings.HalvingValue, settings.ConcurrencyLimit = true, 2
	settings.Types = []MessageType{{},
		{Idempotency: Idempotent, LatencyObjective: 3, TimeToLive: 20, Value: 1, LateValueShare: 0.5}}
	h := newHarness(settings)
	d := h.addDestination(0, 0)
	late := &Message{Dest: d, Tenant: 9}
	h.Accept(late, status, 12) // 8 s old, 5 s beyond the latency objective
	fresh := h.accept(d, status, 0)
	h.advance(0.1)
	h.endAttempts(d, Delivered)
	h.advance(0.1)
	require.Equal(t, []*Message{fresh, late}, []*Message{h.sent[0].message, h.sent[1].message})
}

// Guards against sending the next message of a key while the previous one may still run, for each outcome.
func TestKeyPausesWhileMessageMayStillRun(t *testing.T) {
	for outcome, pauses := range map[Outcome]bool{TimedOut: true, Reset: true, Cancelled: true, Malformed: true,
		ServerError: false, Overloaded: false, NoConnection: false, NotSent: false, Delivered: false} {
		h := newHarness(testSettings)
		d := h.addDestination(0, 0)
		first, second := h.accept(d, ticket, 5), h.accept(d, ticket, 5)
		h.reconcile()
		h.Withdraw(first) // so that the next message may be sent once the call has ended
		h.endAttempt(first, outcome, 0)
		require.Equal(t, pauses, h.keyQueues[5].cooldownUntil >= h.now+h.settings.KeyCooldown, "outcome %d", outcome)
		h.advance(9)
		require.Same(t, second, h.sent[1].message, "outcome %d", outcome)
	}
}
