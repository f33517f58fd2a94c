package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSendsNothingToDrainingEndpoint(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0, 0)
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: d.endpoints[0], Destination: d, State: Draining}})
	h.flood(d, status, 6)
	h.reconcile()
	for _, s := range h.sent {
		require.Equal(t, d.endpoints[1], s.endpoint)
	}
	h.UpdateEndpoints(true, nil) // a complete list without endpoints removes them all
	h.flood(d, status, 1)
	n := len(h.sent)
	h.endAttempts(d, Delivered)
	h.advance(1)
	require.Len(t, h.sent, n)
}

func TestOccasionalResetsDoNotEject(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	for i := range 40 {
		h.accept(d, status, 0)
		h.advance(0.2)
		h.endAttempts(d, []Outcome{Delivered, Reset, Delivered}[i%3])
	}
	require.Equal(t, healthy, d.endpoints[0].health)
}

func TestLossesBetweenSuccessesCauseNoSlowStart(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	h.accept(d, status, 0)
	h.reconcile()
	h.endAttempts(d, Delivered)
	h.flood(d, status, 2)
	h.advance(0.6)
	h.endAttempts(d, TimedOut)
	require.Equal(t, ejected, d.endpoints[0].health)
	h.advance(2.2)
	h.endAttempts(d, Delivered)
	require.Equal(t, healthy, d.endpoints[0].health)
	require.Contains(t, h.log, "close 0")
}

func TestSilentEndpointGetsNoFurtherCalls(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	h.flood(d, status, 1)
	h.advance(3.6)
	h.flood(d, status, 3)
	h.reconcile()
	require.Len(t, h.sent, 1)
	require.True(t, h.impaired(d))
}

func TestThreeConsecutiveFailuresEject(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0, 0)
	d.accepted = 1e4 // not at low volume
	requireEjectedAfter(t, h, d, ServerError, Overloaded, Overloaded)
}

func TestTwoConsecutiveFailuresEjectAtLowVolume(t *testing.T) {
	h := newHarness(testSettings)
	requireEjectedAfter(t, h, h.addDestination(0, 0, 0), ServerError, Overloaded)
}

// requireEjectedAfter ends the attempts of a message with the given outcomes. It requires that only the last one ejects
// the endpoints.
func requireEjectedAfter(t *testing.T, h *harness, d *Destination, outcomes ...Outcome) {
	message := h.accept(d, status, 0)
	h.reconcile()
	for _, o := range outcomes {
		require.NotEqual(t, ejected, d.endpoints[0].health)
		h.endAttempt(message, o, 0)
		for range 300 { // until the message is sent again
			if h.advance(0.02); message.call != nil {
				break
			}
		}
	}
	require.Equal(t, ejected, d.endpoints[0].health)
	require.Equal(t, ejected, d.endpoints[1].health)
}

func TestPrefersSiblingsOfFailingEndpoint(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0, 0)
	message := h.accept(d, status, 0)
	h.reconcile()
	failing := h.sent[0].endpoint
	h.endAttempt(message, ServerError, 0)
	for range 6 {
		h.advance(0.4)
		h.endAttempts(d, Delivered)
		h.accept(d, status, 0)
	}
	for _, s := range h.sent[1:] {
		require.NotEqual(t, failing, s.endpoint)
	}
}

func TestFailedConnectSoonAfterSuccessDoesNotEject(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	for _, o := range []Outcome{Delivered, NoConnection, NoConnection, Delivered} {
		h.accept(d, status, 0)
		h.advance(1.1)
		h.endAttempts(d, o)
	}
	require.Equal(t, healthy, d.endpoints[0].health)
}

func TestTimeoutAndSilentConnectEject(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0, 0)
	message := h.accept(d, status, 0)
	h.reconcile()
	h.endAttempt(message, TimedOut, 0)
	h.advance(1)
	require.Equal(t, 2, message.attempts)
	h.AttemptEnded(message, AttemptResult{Outcome: NoConnection, Latency: 1.5})
	require.Equal(t, []health{ejected, ejected}, []health{d.endpoints[0].health, d.endpoints[1].health})
}

func TestSlowHandshakeDoesNotEject(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	for i := range 40 {
		message := h.accept(d, status, 0)
		h.advance(0.9)
		if i%3 == 2 {
			h.AttemptEnded(message, AttemptResult{Outcome: NoConnection, Latency: 0.8}) // not established in time
			require.False(t, d.endpoints[0].Ejected())
			h.advance(1.5)
		}
		for message.call != nil {
			h.AttemptEnded(message, AttemptResult{Outcome: Delivered, Final: true, Latency: 0.75})
		}
	}
}
