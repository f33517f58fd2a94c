package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAtMostOnceThatMayHaveRunFailsAtOnce(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	mayHaveRun, notRun := h.accept(d, payment, 0), h.accept(d, payment, 0)
	h.reconcile()
	h.endAttempt(mayHaveRun, TimedOut, 0)
	h.endAttempt(notRun, NoConnection, 0)
	h.reconcile()
	require.Equal(t, map[*Message]string{mayHaveRun: "abandoned"}, h.answers)
	h.advance(4)
	require.Equal(t, notRun, h.sent[len(h.sent)-1].message)
}

func TestDoesNotRepeatAfterDeduplicationWindow(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	message := h.accept(d, zoned, 0)
	h.reconcile()
	d.endpoints[0].state = Removed
	h.advance(1)
	h.endAttempt(message, Reset, 0)
	h.advance(3.9)
	require.Empty(t, h.answers)
	h.advance(0.3)
	// The key is known in one zone only, so a rejection would not be harmless.
	require.Equal(t, "abandoned", h.answers[message])
	require.Len(t, h.sent, 1)
}

func TestRepeatsInZoneOfFirstAttempt(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0, 1)
	message := h.accept(d, zoned, 0)
	h.reconcile()
	require.Equal(t, 0, h.sent[0].endpoint.zone)
	h.endAttempt(message, Reset, 0)
	d.endpoints[0].state = Draining
	h.advance(2)
	require.Len(t, h.sent, 1)
	d.endpoints[0].state = Ready
	h.advance(0.1)
	require.Len(t, h.sent, 2)
}

// A message with an idempotency key that may have run is sent again only while its key is known, and the call must time
// out by then. Otherwise, a connection that is established slowly would carry a repeat after the deduplication window.
func TestRepeatEndsWithinDeduplicationWindow(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	endpoint := d.endpoints[0]
	message := h.accept(d, zoned, 0)
	h.reconcile()
	first := h.sent[0]
	h.endAttempt(message, Reset, 0)
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: endpoint, Destination: d, State: Draining}})
	h.advance(4.6)
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: endpoint, Destination: d, State: Ready}})
	h.advance(0.3)
	require.Len(t, h.sent, 2)
	repeat := h.sent[1]
	window := h.settings.Types[zoned].DeduplicationWindow
	require.LessOrEqual(t, repeat.at+repeat.timeout, first.at+window+1e-9, "sent at %.2f for %.2f",
		repeat.at-first.at, repeat.timeout)
}

func TestAtMostOnceOverEveryOutcomeAndRestart(t *testing.T) {
	mayRunAfter := map[Outcome]bool{ServerError: true, TimedOut: true, Reset: true, Cancelled: true, Malformed: true,
		Overloaded: false, NoConnection: false, NotSent: false}
	for o, mayRun := range mayRunAfter {
		h := newHarness(testSettings)
		d := h.addDestination(0, 0)
		message := h.accept(d, payment, 0)
		h.reconcile()
		h.endAttempt(message, o, 0)
		h.advance(15)
		if mayRun {
			require.Equal(t, "abandoned", h.answers[message], "%d", o)
			require.Len(t, h.sent, 1)
		} else {
			require.Empty(t, h.answers[message], "%d", o)
			require.Greater(t, len(h.sent), 1, "the message never ran")
		}
		next, recoveredMessage := newHarness(testSettings), &Message{Tenant: 9} // the next process recovers the message
		recoveredMessage.Dest = next.addDestination(0, 0)
		recovered := RecoveredState{Attempts: 1}
		if mayRun {
			recovered.FirstRanAt = 100
		}
		next.Recover(recoveredMessage, payment, 15, recovered)
		next.advance(2)
		require.Equal(t, mayRun, next.answers[recoveredMessage] == "abandoned")
		require.Equal(t, !mayRun, len(next.sent) == 1)
	}
}

func TestOneAttemptAtATimeAndOneFinalAnswer(t *testing.T) {
	h := newHarness(testSettings)
	message := h.accept(h.addDestination(0, 0, 0), status, 0) // repeatable, and two endpoints are idle
	h.advance(19)
	require.Len(t, h.sent, 1, "no second attempt begins while one is in flight")
	h.endAttempt(message, Reset, 0)
	h.advance(0.9)
	require.LessOrEqual(t, len(h.sent), 2)
	for message.call != nil {
		h.endAttempt(message, TimedOut, 0)
		h.advance(2)
	}
	require.Equal(t, "rejected", h.answers[message])
}
