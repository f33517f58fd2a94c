package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAtMostOnceThatMayHaveRunFailsAtOnce(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	ran, never := h.accept(d, payment, 0), h.accept(d, payment, 0)
	h.reconcile()
	h.endAttempt(ran, TimedOut, 0)
	h.endAttempt(never, NoConnection, 0)
	h.reconcile()
	require.Equal(t, map[*Message]string{ran: "abandoned"}, h.answers)
	h.advance(4)
	require.Equal(t, never, h.sent[len(h.sent)-1].message)
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
	require.Equal(t, "abandoned", h.answers[message]) // known only to a zone: a rejection would not be harmless
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

// A message with an idempotency key that may have run is sent again only while its key is known, and its call times out
// by then: a connection that is slow to open would carry a repeat outside the deduplication window.
func TestRepeatEndsWithinDeduplicationWindow(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	tgt := d.endpoints[0]
	message := h.accept(d, zoned, 0)
	h.reconcile()
	first := h.sent[0]
	h.endAttempt(message, Reset, 0)
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: tgt, Destination: d, State: Draining}})
	h.advance(4.6)
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: tgt, Destination: d, State: Ready}})
	h.advance(0.3)
	require.Len(t, h.sent, 2)
	again := h.sent[1]
	window := h.settings.Types[zoned].DeduplicationWindow
	require.LessOrEqual(t, again.at+again.timeout, first.at+window+1e-9, "sent at %.2f for %.2f",
		again.at-first.at, again.timeout)
}

func TestAtMostOnceOverEveryOutcomeAndRestart(t *testing.T) {
	mayRun := map[Outcome]bool{ServerError: true, TimedOut: true, Reset: true, Cancelled: true, Malformed: true,
		Overloaded: false, NoConnection: false, NotSent: false}
	for o, may := range mayRun {
		h := newHarness(testSettings)
		d := h.addDestination(0, 0)
		message := h.accept(d, payment, 0)
		h.reconcile()
		h.endAttempt(message, o, 0)
		h.advance(15)
		if may {
			require.Equal(t, "abandoned", h.answers[message], "%d", o)
			require.Len(t, h.sent, 1)
		} else {
			require.Empty(t, h.answers[message], "%d", o)
			require.Greater(t, len(h.sent), 1, "it surely never ran")
		}
		next, again := newHarness(testSettings), &Message{Tenant: 9} // the process ended, and the next one recovers it
		again.Dest = next.addDestination(0, 0)
		past := RecoveredState{Attempts: 1}
		if may {
			past.FirstRanAt = 100
		}
		next.Recover(again, payment, 15, past)
		next.advance(2)
		require.Equal(t, may, next.answers[again] == "abandoned")
		require.Equal(t, !may, len(next.sent) == 1)
	}
}

func TestOneAttemptAtATimeAndOneFinalAnswer(t *testing.T) {
	h := newHarness(testSettings)
	message := h.accept(h.addDestination(0, 0, 0), status, 0) // may be repeated, and two endpoints are idle
	h.advance(19)
	require.Len(t, h.sent, 1, "while one is out there is no second")
	h.endAttempt(message, Reset, 0)
	h.advance(0.9)
	require.LessOrEqual(t, len(h.sent), 2)
	for message.call != nil {
		h.endAttempt(message, TimedOut, 0)
		h.advance(2)
	}
	require.Equal(t, "rejected", h.answers[message])
}
