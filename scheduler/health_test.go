package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestNothingGoesToADrainingEndpoint(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0, 0)
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: d.targets[0], Destination: d, State: Draining}})
	h.flood(d, status, 6)
	h.settle()
	for _, s := range h.sent {
		require.Equal(t, d.targets[1], s.target)
	}
	h.UpdateEndpoints(true, nil) // a whole list without an endpoint: it is gone
	h.flood(d, status, 1)
	n := len(h.sent)
	h.answers(d, Delivered)
	h.pass(1)
	require.Len(t, h.sent, n)
}

func TestResetsAmongAnswersDoNotStopAnEndpoint(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	for i := range 40 {
		h.take(d, status, 0)
		h.pass(0.2)
		h.answers(d, []Outcome{Delivered, Reset, Delivered}[i%3])
	}
	require.Equal(t, well, d.targets[0].state)
}

func TestLossesBetweenAnswersLeaveNoRamp(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	h.take(d, status, 0)
	h.settle()
	h.answers(d, Delivered)
	h.flood(d, status, 2)
	h.pass(0.6)
	h.answers(d, TimedOut)
	require.Equal(t, sick, d.targets[0].state)
	h.pass(2.2)
	h.answers(d, Delivered)
	require.Equal(t, well, d.targets[0].state)
	require.Contains(t, h.log, "close 0")
}

func TestSilentEndpointGetsNothingBeforeTheTimeOut(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	h.flood(d, status, 1)
	h.pass(3.6)
	h.flood(d, status, 3)
	h.settle()
	require.Len(t, h.sent, 1)
	require.True(t, h.ill(d))
}

func TestThreeFailuresInARowShutARoute(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0, 0)
	d.taken = 1e4 // it gets many messages
	requireShutAfter(t, h, d, ServerError, Overloaded, Overloaded)
}

func TestTwoFailuresInARowShutARouteThatGetsFewMessages(t *testing.T) {
	h := start(terms)
	requireShutAfter(t, h, h.receiver(0, 0, 0), ServerError, Overloaded)
}

// requireShutAfter ends a message's calls so in turn: only the last end makes the endpoints sick.
func requireShutAfter(t *testing.T, h *fake, d *Destination, ends ...Outcome) {
	doc := h.take(d, status, 0)
	h.settle()
	for _, o := range ends {
		require.NotEqual(t, sick, d.targets[0].state)
		h.ends(doc, o, 0)
		for range 300 { // until it goes out again
			if h.pass(0.02); doc.call != nil {
				break
			}
		}
	}
	require.Equal(t, sick, d.targets[0].state)
	require.Equal(t, sick, d.targets[1].state)
}

func TestSiblingsOfAFailingEndpointComeFirst(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0, 0)
	doc := h.take(d, status, 0)
	h.settle()
	bad := h.sent[0].target
	h.ends(doc, ServerError, 0)
	for range 6 {
		h.pass(0.4)
		h.answers(d, Delivered)
		h.take(d, status, 0)
	}
	for _, s := range h.sent[1:] {
		require.NotEqual(t, bad, s.target)
	}
}

func TestOneFailedConnectSoonAfterAnAnswerIsNoOutage(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	for _, o := range []Outcome{Delivered, NoConnection, NoConnection, Delivered} {
		h.take(d, status, 0)
		h.pass(1.1)
		h.answers(d, o)
	}
	require.Equal(t, well, d.targets[0].state)
}

func TestATimeOutAndASilentConnectShutARoute(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0, 0)
	doc := h.take(d, status, 0)
	h.settle()
	h.ends(doc, TimedOut, 0)
	h.pass(1)
	require.Equal(t, 2, doc.sent)
	h.AttemptEnded(doc, AttemptResult{Outcome: NoConnection, Latency: 1.5})
	require.Equal(t, []health{sick, sick}, []health{d.targets[0].state, d.targets[1].state})
}

func TestASlowHandshakeMakesNobodyEjected(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	for i := range 40 {
		doc := h.take(d, status, 0)
		h.pass(0.9)
		if i%3 == 2 {
			h.AttemptEnded(doc, AttemptResult{Outcome: NoConnection, Latency: 0.8}) // not up in time
			require.False(t, d.targets[0].Ejected())
			h.pass(1.5)
		}
		for doc.call != nil {
			h.AttemptEnded(doc, AttemptResult{Outcome: Delivered, Final: true, Latency: 0.75})
		}
	}
}
