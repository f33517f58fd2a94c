package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAtMostOnceThatMayHaveRunIsAbandonedAtOnce(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	ran, never := h.take(d, payment, 0), h.take(d, payment, 0)
	h.settle()
	h.ends(ran, TimedOut, 0)
	h.ends(never, NoConnection, 0)
	h.settle()
	require.Equal(t, map[*Message]string{ran: "abandoned"}, h.done)
	h.pass(4)
	require.Equal(t, never, h.sent[len(h.sent)-1].doc)
}

func TestIdempotentWithKeyIsNotSentPastItsMemory(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	doc := h.take(d, zoned, 0)
	h.settle()
	d.targets[0].standing = Removed
	h.pass(1)
	h.ends(doc, Reset, 0)
	h.pass(3.9)
	require.Empty(t, h.done)
	h.pass(0.3)
	require.Equal(t, "abandoned", h.done[doc]) // known only to a zone: a rejection would not be harmless
	require.Len(t, h.sent, 1)
}

func TestZoneGroupKeepsToTheFirstZone(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0, 1)
	doc := h.take(d, zoned, 0)
	h.settle()
	require.Equal(t, 0, h.sent[0].target.zone)
	h.ends(doc, Reset, 0)
	d.targets[0].standing = Draining
	h.pass(2)
	require.Len(t, h.sent, 1)
	d.targets[0].standing = Ready
	h.pass(0.1)
	require.Len(t, h.sent, 2)
}

// A numbered message that may have run is sent again only while its mark is known, and its call is given no time to
// begin beyond that: a connection slow to come would carry a repeat outside its window.
func TestARepeatOfAMessageWithAnIdempotencyKeyEndsWithinItsWindow(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	tgt := d.targets[0]
	doc := h.take(d, zoned, 0)
	h.settle()
	first := h.sent[0]
	h.ends(doc, Reset, 0)
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: tgt, Destination: d, State: Draining}})
	h.pass(4.6)
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: tgt, Destination: d, State: Ready}})
	h.pass(0.3)
	require.Len(t, h.sent, 2)
	again := h.sent[1]
	require.LessOrEqual(t, again.at+again.timeout, first.at+h.terms.Types[zoned].DeduplicationWindow+1e-9, "sent at %.2f for %.2f",
		again.at-first.at, again.timeout)
}

func TestAnAtMostOnceMessageOverEveryOutcomeAndARestart(t *testing.T) {
	for o, may := range map[Outcome]bool{ServerError: true, TimedOut: true, Reset: true, Cancelled: true, Overloaded: false, NoConnection: false, NotSent: false} {
		h := start(terms)
		d := h.receiver(0, 0)
		doc := h.take(d, payment, 0)
		h.settle()
		h.ends(doc, o, 0)
		h.pass(15)
		if may {
			require.Equal(t, "abandoned", h.done[doc], "%d", o)
			require.Len(t, h.sent, 1)
		} else {
			require.Empty(t, h.done[doc], "%d", o)
			require.Greater(t, len(h.sent), 1, "it surely never ran")
		}
		next, again := start(terms), &Message{Tenant: 9} // the process ended, and the next one recovers it
		again.Dest = next.receiver(0, 0)
		past := RecoveredState{Attempts: 1}
		if may {
			past.FirstRanAt = 100
		}
		next.Recover(again, payment, 15, past)
		next.pass(2)
		require.Equal(t, may, next.done[again] == "abandoned")
		require.Equal(t, !may, len(next.sent) == 1)
	}
}

func TestOneAttemptAtATimeAndOneFinalAnswer(t *testing.T) {
	h := start(terms)
	doc := h.take(h.receiver(0, 0, 0), status, 0) // may be repeated, and two endpoints are idle
	h.pass(19)
	require.Len(t, h.sent, 1, "while one is out there is no second")
	h.ends(doc, Reset, 0)
	h.pass(0.9)
	require.LessOrEqual(t, len(h.sent), 2)
	for doc.call != nil {
		h.ends(doc, TimedOut, 0)
		h.pass(2)
	}
	require.Equal(t, "rejected", h.done[doc])
}
