package scheduler

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestKeysGoInOrderAndRest(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0, 0)
	first, second := h.take(d, ticket, 5), h.take(d, ticket, 5)
	h.pass(0.1)
	require.Len(t, h.sent, 1)
	h.Withdraw(first) // its call is still out
	h.pass(0.1)
	require.Len(t, h.sent, 1)
	h.ends(first, TimedOut, 0)
	h.pass(0.06)
	require.Len(t, h.sent, 1)
	h.pass(0.1)
	require.Equal(t, second, h.sent[1].doc)
	require.True(t, first.Finished())
}

func TestFreshWorkGoesBeforeRetries(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	old := h.take(d, status, 0)
	h.settle()
	h.ends(old, Reset, 0)
	fresh := h.take(d, status, 0)
	h.settle()
	require.Equal(t, fresh, h.sent[1].doc)
	h.answers(d, Delivered)
	h.settle()
	require.Equal(t, old, h.sent[2].doc)
}

func TestTenantsTakeTurns(t *testing.T) {
	with := terms
	with.TenantRate = []float64{9, 9}
	h := start(with)
	d := h.receiver(0, 0)
	for i := range 6 {
		doc := &Message{Dest: d, Tenant: i / 5}
		h.Accept(doc, status, 20)
	}
	h.settle()
	require.Equal(t, []int{0, 1}, []int{h.sent[0].doc.Tenant, h.sent[1].doc.Tenant})
}

func TestAFloodedLineIsCutBeforeTheRoomIsFull(t *testing.T) {
	h := start(terms)
	flooded, other := h.receiver(0), h.receiver(0)
	h.flood(other, status, 5)
	h.flood(flooded, status, 34)
	h.settle()
	require.Len(t, h.done, 1)
	for doc, answer := range h.done {
		require.Equal(t, flooded, doc.Dest)
		require.Equal(t, "rejected", answer)
	}
}

func TestSurplusOfATenantWaitsAndIsCutFirst(t *testing.T) {
	with := terms
	with.TenantRate = []float64{4, 4} // two a second at each of two forwarders
	h := start(with)
	d := h.receiver(0)
	take := func(tenant int) *Message {
		doc := &Message{Dest: d, Tenant: tenant}
		h.Accept(doc, status, 20)
		return doc
	}
	for range 30 {
		take(0)
	}
	late := take(1)
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: &Endpoint{}, Destination: d, State: Ready}})
	h.settle()
	require.Contains(t, []*Message{h.sent[0].doc, h.sent[1].doc}, late)
	for range 7 {
		take(1)
	}
	require.False(t, take(0).surplus && !slices.Collect(h.held.all())[20].surplus)
	h.settle()
	for doc := range h.done {
		require.True(t, doc.surplus)
	}
}

func TestACallThatLeavesHalfEmptyTakesRetriesAlong(t *testing.T) {
	h := start(terms)
	d := h.receiver(1, 0)
	h.flood(d, status, 6)
	h.settle()
	h.answers(d, Overloaded)
	h.take(d, status, 0)
	h.pass(9)
	n := 0
	for _, s := range h.sent[6:] {
		require.Equal(t, h.sent[6].at, s.at, "one call carries what is fresh and what was turned away")
		n++
	}
	require.Equal(t, 7, n)
}

// twoValues is a forwarder with two slots and two types, the second worth twice as much.
func twoValues(room int) (*fake, *Destination) {
	two := terms
	two.Types = []MessageType{{Idempotency: AtMostOnce, LatencyObjective: 3, TimeToLive: 16, Value: 1}, {Idempotency: IdempotentWithKey, LatencyObjective: 2, TimeToLive: 28, DeduplicationWindow: 7, Value: 2}}
	two.ConcurrencyLimit, two.QueueCapacity = 2, room
	h := start(two)
	return h, h.receiver(0, 0)
}

func TestTheDearerTypeGoesFirstAndNeitherStarves(t *testing.T) {
	h, d := twoValues(20)
	h.flood(d, 0, 12)
	h.flood(d, 1, 6)
	var order []int
	for range 12 {
		h.pass(0.1)
		h.answers(d, Delivered)
	}
	for _, s := range h.sent {
		order = append(order, int(s.doc.typ.Value))
	}
	dear := 0
	for _, v := range order[:8] {
		dear += v - 1
	}
	require.GreaterOrEqual(t, dear, 4, "a clump of twelve was taken before")
	require.LessOrEqual(t, dear, 5, "the others have their turns")
}

func TestACrowdedRoomLosesTheCheaperTypeFirst(t *testing.T) {
	h, d := twoValues(18)
	h.flood(d, 1, 8)
	h.flood(d, 0, 6)
	h.flood(d, 1, 6)
	h.settle()
	require.Len(t, h.done, 3)
	for doc := range h.done {
		require.Equal(t, 1.0, doc.typ.Value)
	}
}

func TestTheLineThatAFewCallsWouldClearIsNotTheOneThatIsCut(t *testing.T) {
	h := start(terms) // room for forty; kind 1 takes ten messages in a call
	together, apart := h.receiver(1, 0), h.receiver(0, 0)
	h.flood(together, status, 26)
	h.flood(apart, status, 14)
	h.settle()
	require.NotEmpty(t, h.done)
	for doc := range h.done {
		require.Equal(t, apart, doc.Dest)
	}
}

func TestWhereWorthHalvesWhatIsInTimeGoesFirst(t *testing.T) {
	halves := terms
	halves.HalvingValue, halves.ConcurrencyLimit = true, 2
	halves.Types = []MessageType{{}, {Idempotency: Idempotent, LatencyObjective: 3, TimeToLive: 20, Value: 1, LateValueShare: 0.5}}
	h := start(halves)
	d := h.receiver(0, 0)
	late := &Message{Dest: d, Tenant: 9}
	h.Accept(late, status, 12) // of twenty seconds: five late
	fresh := h.take(d, status, 0)
	h.pass(0.1)
	h.answers(d, Delivered)
	h.pass(0.1)
	require.Equal(t, []*Message{fresh, late}, []*Message{h.sent[0].doc, h.sent[1].doc})
}
