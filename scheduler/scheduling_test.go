package scheduler

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKeepsOrderOfKeysAndTheirCooldown(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0, 0)
	first, second := h.accept(d, ticket, 5), h.accept(d, ticket, 5)
	h.advance(0.1)
	require.Len(t, h.sent, 1)
	h.Withdraw(first) // its call is still in flight
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
	with := testSettings
	with.TenantRate = []float64{9, 9}
	h := newHarness(with)
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

func TestMessagesOverQuotaWaitAndAreShedFirst(t *testing.T) {
	with := testSettings
	with.TenantRate = []float64{4, 4} // two a second at each of two forwarders
	h := newHarness(with)
	d := h.addDestination(0)
	take := func(tenant int) *Message {
		message := &Message{Dest: d, Tenant: tenant}
		h.Accept(message, status, 20)
		return message
	}
	for range 30 {
		take(0)
	}
	late := take(1)
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: &Endpoint{}, Destination: d, State: Ready}})
	h.reconcile()
	require.Contains(t, []*Message{h.sent[0].message, h.sent[1].message}, late)
	for range 7 {
		take(1)
	}
	require.False(t, take(0).overQuota && !slices.Collect(h.held.all())[20].overQuota)
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
		require.Equal(t, h.sent[6].at, s.at, "one call carries what is fresh and what was rejected")
		n++
	}
	require.Equal(t, 7, n)
}

// newTwoValues returns a forwarder with two slots and two types, the second worth twice as much.
func newTwoValues(room int) (*harness, *Destination) {
	two := testSettings
	two.Types = []MessageType{
		{Idempotency: AtMostOnce, LatencyObjective: 3, TimeToLive: 16, Value: 1},
		{Idempotency: IdempotentWithKey, LatencyObjective: 2, TimeToLive: 28, DeduplicationWindow: 7, Value: 2},
	}
	two.ConcurrencyLimit, two.QueueCapacity = 2, room
	h := newHarness(two)
	return h, h.addDestination(0, 0)
}

func TestMoreValuableTypeGoesFirstAndNeitherStarves(t *testing.T) {
	h, d := newTwoValues(20)
	h.flood(d, 0, 12)
	h.flood(d, 1, 6)
	var order []int
	for range 12 {
		h.advance(0.1)
		h.endAttempts(d, Delivered)
	}
	for _, s := range h.sent {
		order = append(order, int(s.message.messageType.Value))
	}
	dear := 0
	for _, v := range order[:8] {
		dear += v - 1
	}
	require.GreaterOrEqual(t, dear, 4, "a burst of twelve was accepted before")
	require.LessOrEqual(t, dear, 5, "the others have their rounds")
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
	h := newHarness(testSettings) // capacity for forty; kind 1 takes ten messages in a call
	together, apart := h.addDestination(1, 0), h.addDestination(0, 0)
	h.flood(together, status, 26)
	h.flood(apart, status, 14)
	h.reconcile()
	require.NotEmpty(t, h.answers)
	for message := range h.answers {
		require.Equal(t, apart, message.Dest)
	}
}

func TestMessageInTimeGoesFirstWhereValueHalves(t *testing.T) {
	halves := testSettings
	halves.HalvingValue, halves.ConcurrencyLimit = true, 2
	halves.Types = []MessageType{{},
		{Idempotency: Idempotent, LatencyObjective: 3, TimeToLive: 20, Value: 1, LateValueShare: 0.5}}
	h := newHarness(halves)
	d := h.addDestination(0, 0)
	late := &Message{Dest: d, Tenant: 9}
	h.Accept(late, status, 12) // of twenty seconds: five late
	fresh := h.accept(d, status, 0)
	h.advance(0.1)
	h.endAttempts(d, Delivered)
	h.advance(0.1)
	require.Equal(t, []*Message{fresh, late}, []*Message{h.sent[0].message, h.sent[1].message})
}

// Guards against a key that goes on while one of its messages may still run, by any outcome.
func TestKeyPausesAfterEachOutcomeAfterWhichAMessageMayStillRun(t *testing.T) {
	for outcome, pauses := range map[Outcome]bool{TimedOut: true, Reset: true, Cancelled: true, Malformed: true,
		ServerError: false, Overloaded: false, NoConnection: false, NotSent: false, Delivered: false} {
		h := newHarness(testSettings)
		d := h.addDestination(0, 0)
		first, second := h.accept(d, ticket, 5), h.accept(d, ticket, 5)
		h.reconcile()
		h.Withdraw(first) // so that the next one's turn comes with the end of the call
		h.endAttempt(first, outcome, 0)
		require.Equal(t, pauses, h.keyQueues[5].cooldownUntil >= h.now+h.settings.KeyCooldown, "outcome %d", outcome)
		h.advance(9)
		require.Same(t, second, h.sent[1].message, "outcome %d", outcome)
	}
}
