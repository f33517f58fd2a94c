package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDestinationIsLimitedToItsFractionOfConcurrency(t *testing.T) {
	h := newHarness(testSettings)
	d, other := h.addDestination(0, 0, 0, 0, 0), h.addDestination(0, 0)
	h.flood(d, status, 30)
	h.reconcile()
	require.Len(t, h.sent, 6)
	h.accept(other, status, 0)
	h.reconcile()
	require.Equal(t, other, h.sent[6].message.Dest)
	h.endAttempts(d, ServerError)
	h.reconcile()
	require.LessOrEqual(t, d.callsInFlight, 4)
}

func TestImpairedDestinationsLeaveConcurrencyToHealthyOnes(t *testing.T) {
	h := newHarness(testSettings)
	for range 6 {
		d := h.addDestination(0, 0, 0)
		h.accept(d, status, 0)
		h.reconcile()
		h.endAttempts(d, TimedOut)
		h.flood(d, status, 4)
	}
	h.advance(0.3)
	require.Equal(t, 6, h.callsInFlight)
	healthyDestination := h.addDestination(0, 0)
	h.accept(healthyDestination, status, 0)
	h.advance(0.4) // a newly listed endpoint gets its first call after a random delay
	require.Same(t, healthyDestination, h.sent[len(h.sent)-1].message.Dest)
}

func TestImpairedDestinationGetsOneCallAtFullConcurrency(t *testing.T) {
	h := newHarness(testSettings)
	fast, one, two := h.addDestination(0, 0), h.addDestination(0, 0, 0), h.addDestination(0, 0, 0)
	h.accept(fast, status, 0)
	h.advance(0.4)
	h.endAttempts(fast, ServerError)
	h.flood(one, status, 4)
	h.flood(two, status, 4)
	h.reconcile()
	require.Equal(t, 8, h.callsInFlight)
	h.endAttempt(h.sent[1].message, Delivered, 0)
	h.flood(fast, status, 3)
	h.reconcile()
	require.True(t, h.impaired(fast))
	require.Equal(t, 1, fast.callsInFlight)
}

func TestTimeoutIsShorterNearConcurrencyLimit(t *testing.T) {
	h := newHarness(testSettings)
	one, two := h.addDestination(0, 0, 0), h.addDestination(0, 0, 0)
	h.flood(one, status, 4)
	h.reconcile()
	h.flood(two, status, 4)
	h.reconcile()
	require.Len(t, h.sent, 8)
	require.Less(t, h.sent[7].timeout, h.sent[0].timeout)
}

// Guards against review case 1: calls that were waiting for their connection were sent although a complete list no longer
// named their endpoint, whose address by then belonged to another destination.
func TestCancelsUnsentCallsToEndpointMissingFromCompleteList(t *testing.T) {
	for name, list := range map[string][]EndpointState{"empty list": nil, "list of others": {Ready}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(testSettings)
			d, other := h.addDestination(0, 0), h.addDestination(0, 0)
			h.accept(d, status, 0)
			h.accept(other, status, 0)
			h.reconcile()
			require.Len(t, h.sent, 2)
			var updates []EndpointUpdate
			for _, state := range list {
				updates = append(updates, EndpointUpdate{Endpoint: other.endpoints[0], Destination: other, State: state})
			}
			h.UpdateEndpoints(true, updates)
			h.reconcile()
			require.Contains(t, h.cancelled, d.endpoints[0])
			require.Len(t, h.cancelled, 2-len(list), "calls to endpoints that are still listed go on")
			require.Empty(t, h.released, "the calls have not ended yet")
			h.endAttempts(d, NotSent)
			h.reconcile()
			require.Len(t, h.released, 1)
			replacement := &Endpoint{ID: 9}
			h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: replacement, Destination: d, State: Ready}})
			h.advance(newEndpointSpread + 0.1)
			require.Same(t, replacement, h.sent[len(h.sent)-1].endpoint, "the cancelled call is made to the replacement")
		})
	}
}
