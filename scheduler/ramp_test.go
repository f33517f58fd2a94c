package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReturningEndpointGetsATrickleThenARamp(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	for range 40 { // two a second for twenty seconds
		h.take(d, status, 0)
		h.settle()
		h.answers(d, Delivered)
		h.pass(0.5)
	}
	for range 4 {
		h.take(d, status, 0)
		h.settle()
		h.answers(d, TimedOut)
	}
	require.Equal(t, sick, d.targets[0].state)
	h.flood(d, status, 15)
	n := len(h.sent)
	for range 100 {
		h.pass(0.1)
		h.answers(d, TimedOut)
	}
	require.InDelta(t, 7, len(h.sent)-n, 4) // a trial every two seconds or so, not fifteen messages at once
	h.pass(3)
	n = len(h.sent)
	h.answers(d, Delivered)
	require.Equal(t, back, d.targets[0].state)
	h.pass(1.4)
	require.LessOrEqual(t, len(h.sent)-n, 2)
}

// An endpoint that operators restarted while it was out returns cold: it is paced up as after an outage, not given
// all that waited for it at once.
func TestAnEndpointBackFromOperatorsIsPacedUp(t *testing.T) {
	sentIn := func(cold bool) int {
		h := start(terms)
		d := h.receiver(0, 0)
		tgt := d.targets[0]
		h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: tgt, Destination: d, State: Draining}})
		h.flood(d, status, 30)
		h.pass(0.5)
		require.Empty(t, h.sent)
		h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: tgt, Destination: d, State: Ready, WarmingUp: cold}})
		for range 25 { // a second, each call answered at once
			h.pass(0.04)
			h.answers(d, Delivered)
		}
		return len(h.sent)
	}
	warm, cold := sentIn(false), sentIn(true)
	require.GreaterOrEqual(t, warm, 25)
	t.Logf("warm %d, cold %d", warm, cold)
	require.LessOrEqual(t, cold, warm/3)
	require.Positive(t, cold)
}

// A destination that was asked for four times what it gets done (the rest is turned away) goes down and returns cold: the
// ramp goes by what it got done, not by what was asked of it.
func TestARampGoesByWhatADestinationGotDone(t *testing.T) {
	met := func(done int) int { // calls in the first four seconds of its return, of twelve a second asked
		h := start(terms)
		d := h.receiver(0, 0)
		h.busy(d)
		for range 10 {
			for i := range 12 {
				h.take(d, payment, 0)
				h.pass(0.08)
				if i < done {
					h.answers(d, Delivered)
				} else {
					h.answers(d, Overloaded)
				}
			}
		}
		for range 100 { // an outage
			h.take(d, payment, 0)
			h.pass(0.08)
			h.answers(d, NoConnection)
		}
		for d.targets[0].Ejected() { // it is back: a trial succeeds
			h.take(d, payment, 0)
			h.pass(0.08)
			h.answers(d, Delivered)
		}
		before := len(h.sent)
		for range 50 {
			h.take(d, payment, 0)
			h.pass(0.08)
			h.answers(d, Delivered)
		}
		return len(h.sent) - before
	}
	whole, quarter := met(12), met(3)
	t.Logf("all done: %d, a quarter: %d", whole, quarter)
	require.Positive(t, quarter)
	require.Less(t, quarter, whole/2)
}
