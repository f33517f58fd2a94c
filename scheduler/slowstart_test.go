package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEjectedEndpointIsProbedThenRampedUp(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	for range 40 { // two messages per second for twenty seconds
		h.accept(d, status, 0)
		h.reconcile()
		h.endAttempts(d, Delivered)
		h.advance(0.5)
	}
	for range 4 {
		h.accept(d, status, 0)
		h.reconcile()
		h.endAttempts(d, TimedOut)
	}
	require.Equal(t, ejected, d.endpoints[0].health)
	h.flood(d, status, 15)
	n := len(h.sent)
	for range 100 {
		h.advance(0.1)
		h.endAttempts(d, TimedOut)
	}
	require.InDelta(t, 7, len(h.sent)-n, 4) // about one probe every two seconds, not fifteen messages at once
	h.advance(3)
	n = len(h.sent)
	h.endAttempts(d, Delivered)
	require.Equal(t, recovering, d.endpoints[0].health)
	h.advance(1.4)
	require.LessOrEqual(t, len(h.sent)-n, 2)
}

// An endpoint that operators restarted while it was drained returns cold. It must get a slow start, as after an outage,
// and not all queued messages at once.
func TestWarmingEndpointGetsSlowStart(t *testing.T) {
	sentIn := func(cold bool) int {
		h := newHarness(testSettings)
		d := h.addDestination(0, 0)
		endpoint := d.endpoints[0]
		h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: endpoint, Destination: d, State: Draining}})
		h.flood(d, status, 30)
		h.advance(0.5)
		require.Empty(t, h.sent)
		h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: endpoint, Destination: d, State: Ready, WarmingUp: cold}})
		for range 25 { // for one second, each call is answered quickly
			h.advance(0.04)
			h.endAttempts(d, Delivered)
		}
		return len(h.sent)
	}
	warm, cold := sentIn(false), sentIn(true)
	require.GreaterOrEqual(t, warm, 25)
	t.Logf("warm %d, cold %d", warm, cold)
	require.LessOrEqual(t, cold, warm/3)
	require.Positive(t, cold)
}

// A destination that was offered four times its capacity and rejected the rest goes down and returns cold. Its slow
// start must follow the calls that it completed, not those that it was offered.
func TestSlowStartFollowsHealthyThroughput(t *testing.T) {
	callsAfterReturn := func(done int) int { // in the first four seconds, if done of 12 calls per second were completed
		h := newHarness(testSettings)
		d := h.addDestination(0, 0)
		h.keepBusy(d)
		for range 10 {
			for i := range 12 {
				h.accept(d, payment, 0)
				h.advance(0.08)
				if i < done {
					h.endAttempts(d, Delivered)
				} else {
					h.endAttempts(d, Overloaded)
				}
			}
		}
		for range 100 { // an outage
			h.accept(d, payment, 0)
			h.advance(0.08)
			h.endAttempts(d, NoConnection)
		}
		for d.endpoints[0].Ejected() { // the destination has returned; the next probe succeeds
			h.accept(d, payment, 0)
			h.advance(0.08)
			h.endAttempts(d, Delivered)
		}
		before := len(h.sent)
		for range 50 {
			h.accept(d, payment, 0)
			h.advance(0.08)
			h.endAttempts(d, Delivered)
		}
		return len(h.sent) - before
	}
	all, quarter := callsAfterReturn(12), callsAfterReturn(3)
	t.Logf("calls after the return: %d if all were completed, %d if a quarter", all, quarter)
	require.Positive(t, quarter)
	require.Less(t, quarter, all/2)
}
