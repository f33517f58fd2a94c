package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestADestinationKeepsToItsShareOfTheSlots(t *testing.T) {
	h := start(terms)
	d, other := h.receiver(0, 0, 0, 0, 0), h.receiver(0, 0)
	h.flood(d, status, 30)
	h.settle()
	require.Len(t, h.sent, 6)
	h.take(other, status, 0)
	h.settle()
	require.Equal(t, other, h.sent[6].doc.Dest)
	h.answers(d, ServerError)
	h.settle()
	require.LessOrEqual(t, d.out, 4)
}

func TestManyEjectedDestinationsLeaveSlotsToTheOthers(t *testing.T) {
	h := start(terms)
	for range 6 {
		d := h.receiver(0, 0, 0)
		h.take(d, status, 0)
		h.settle()
		h.answers(d, TimedOut)
		h.flood(d, status, 4)
	}
	h.pass(0.3)
	require.Equal(t, 6, h.out)
	good := h.receiver(0, 0)
	h.take(good, status, 0)
	h.pass(0.4) // an endpoint just listed is first sent to after a random wait
	require.Same(t, good, h.sent[len(h.sent)-1].doc.Dest)
}

func TestOneErrorDoesNotShutADestinationOutOfFullSlots(t *testing.T) {
	h := start(terms)
	fast, one, two := h.receiver(0, 0), h.receiver(0, 0, 0), h.receiver(0, 0, 0)
	h.take(fast, status, 0)
	h.pass(0.4)
	h.answers(fast, ServerError)
	h.flood(one, status, 4)
	h.flood(two, status, 4)
	h.settle()
	require.Equal(t, 8, h.out)
	h.ends(h.sent[1].doc, Delivered, 0)
	h.flood(fast, status, 3)
	h.settle()
	require.True(t, h.ill(fast))
	require.Equal(t, 1, fast.out)
}

func TestTheLastSlotsAreWaitedForLess(t *testing.T) {
	h := start(terms)
	one, two := h.receiver(0, 0, 0), h.receiver(0, 0, 0)
	h.flood(one, status, 4)
	h.settle()
	h.flood(two, status, 4)
	h.settle()
	require.Len(t, h.sent, 8)
	require.Less(t, h.sent[7].timeout, h.sent[0].timeout)
}
