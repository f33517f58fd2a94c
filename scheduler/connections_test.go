package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDeadIdleConnectionsAreGivenUp(t *testing.T) {
	h := start(terms)
	var receivers []*Destination
	for range 3 {
		receivers = append(receivers, h.receiver(0, 0))
	}
	call := func(d *Destination, o Outcome) {
		h.take(d, status, 0)
		h.pass(0.4)
		h.answers(d, o)
	}
	for _, o := range []Outcome{Delivered, Delivered, TimedOut, Delivered} {
		for _, d := range receivers {
			call(d, o)
		}
	}
	h.log = nil
	call(receivers[0], Delivered)
	h.settle()
	require.Contains(t, h.log, "close 0")
}

func TestFailedConnectsCloseIdleConnections(t *testing.T) {
	h := start(terms)
	d, quiet := h.receiver(0, 0, 0), h.receiver(0, 0)
	doc := h.take(d, status, 0)
	h.settle()
	h.ends(doc, NoConnection, 0)
	h.settle()
	require.Contains(t, h.log, "close 0")
	require.Contains(t, h.log, "close 1") // the idle one may be at the sibling
	h.pass(3)
	h.log = nil
	h.answers(d, Delivered)
	h.take(quiet, status, 0)
	h.settle()
	require.Contains(t, h.log, "close "+string('0'+byte(doc.to.ID)))
	h.log = nil
	h.answers(quiet, Delivered)
	h.settle()
	require.Equal(t, []string{"close 0"}, h.log) // its only call: an idle connection would not be used again
}

func TestForwardersStartAtDifferentEndpointsAndStayThere(t *testing.T) {
	first := map[uint64]int{}
	for seed := range uint64(40) {
		h := &fake{now: 100, done: map[*Message]string{}, back: map[*Message]float64{}}
		h.Scheduler = New(terms, seed, h.now, h)
		d := h.receiver(0, 0, 0)
		for range 3 {
			h.take(d, status, 0)
			h.pass(6) // the connection of the call before is still there
			h.answers(d, Delivered)
		}
		first[h.sent[0].target.ID]++
		require.Equal(t, h.sent[0].target, h.sent[1].target)
		require.Equal(t, h.sent[0].target, h.sent[2].target)
	}
	require.Greater(t, min(first[0], first[1]), 10, "all began with the first of the list")
}

func TestAConnectionThatIsNotUsedAgainInTimeIsClosed(t *testing.T) {
	h := start(terms)
	seldom, often := h.receiver(0, 0), h.receiver(0, 0)
	often.targets[0].ID = 9
	for range 4 {
		h.take(seldom, status, 0)
		for range 4 {
			h.take(often, status, 0)
			h.pass(1)
			h.answers(often, Delivered)
			h.answers(seldom, Delivered)
			h.pass(2)
		}
	}
	n := map[string]int{}
	for _, l := range h.log {
		n[l]++
	}
	require.Equal(t, 4, n["close 0"])
	require.Equal(t, 1, n["close 9"], "but for the first")
}

func TestAFailedConnectTellsOfAllDestinationsOfTheKind(t *testing.T) {
	h := start(terms)
	full, same, other := h.receiver(0, 0), h.receiver(0, 0), h.receiver(1, 0)
	same.targets[0].ID, other.targets[0].ID = 8, 9
	round := func(o Outcome) {
		for _, d := range []*Destination{full, same, other} {
			h.take(d, status, 0)
			h.pass(0.4)
			h.answers(d, o)
			o = Delivered
		}
	}
	round(Delivered)
	round(Delivered)
	h.log = nil
	round(NoConnection)
	h.settle()
	require.Contains(t, h.log, "close 8")
	require.NotContains(t, h.log, "close 9")
}
