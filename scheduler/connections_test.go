package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestClosesIdleConnectionsAfterLosses(t *testing.T) {
	h := newHarness(testSettings)
	var destinations []*Destination
	for range 3 {
		destinations = append(destinations, h.addDestination(0, 0))
	}
	call := func(d *Destination, o Outcome) {
		h.accept(d, status, 0)
		h.advance(0.4)
		h.endAttempts(d, o)
	}
	for _, o := range []Outcome{Delivered, Delivered, TimedOut, Delivered} {
		for _, d := range destinations {
			call(d, o)
		}
	}
	h.log = nil
	call(destinations[0], Delivered)
	h.reconcile()
	require.Contains(t, h.log, "close 0")
}

func TestFailedConnectClosesIdleConnections(t *testing.T) {
	h := newHarness(testSettings)
	d, other := h.addDestination(0, 0, 0), h.addDestination(0, 0)
	message := h.accept(d, status, 0)
	h.reconcile()
	h.endAttempt(message, NoConnection, 0)
	h.reconcile()
	require.Contains(t, h.log, "close 0")
	require.Contains(t, h.log, "close 1") // the other endpoint may have the idle connection
	h.advance(3)
	h.log = nil
	h.endAttempts(d, Delivered)
	h.accept(other, status, 0)
	h.reconcile()
	require.Contains(t, h.log, "close "+string('0'+byte(message.endpoint.ID)))
	h.log = nil
	h.endAttempts(other, Delivered)
	h.reconcile()
	require.Equal(t, []string{"close 0"}, h.log) // after a single call, an idle connection is unlikely to be used again
}

func TestForwardersSpreadOverEndpointsAndReuseConnections(t *testing.T) {
	first := map[uint64]int{}
	for seed := range uint64(40) {
		h := newSeededHarness(testSettings, seed)
		d := h.addDestination(0, 0, 0)
		for range 3 {
			h.accept(d, status, 0)
			h.advance(6) // the connection of the previous call is still open
			h.endAttempts(d, Delivered)
		}
		first[h.sent[0].endpoint.ID]++
		require.Equal(t, h.sent[0].endpoint, h.sent[1].endpoint)
		require.Equal(t, h.sent[0].endpoint, h.sent[2].endpoint)
	}
	require.Greater(t, min(first[0], first[1]), 10, "the first endpoints are spread over the list")
}

func TestClosesConnectionsOfRareCalls(t *testing.T) {
	h := newHarness(testSettings)
	rare, frequent := h.addDestination(0, 0), h.addDestination(0, 0)
	frequent.endpoints[0].ID = 9
	for range 4 {
		h.accept(rare, status, 0)
		for range 4 {
			h.accept(frequent, status, 0)
			h.advance(1)
			h.endAttempts(frequent, Delivered)
			h.endAttempts(rare, Delivered)
			h.advance(2)
		}
	}
	closed := map[string]int{}
	for _, l := range h.log {
		closed[l]++
	}
	require.Equal(t, 4, closed["close 0"])
	require.Equal(t, 1, closed["close 9"], "only after the first call")
}

func TestFailedConnectClosesIdleConnectionsOfTheSameKind(t *testing.T) {
	h := newHarness(testSettings)
	full, same, other := h.addDestination(0, 0), h.addDestination(0, 0), h.addDestination(1, 0)
	same.endpoints[0].ID, other.endpoints[0].ID = 8, 9
	round := func(o Outcome) {
		for _, d := range []*Destination{full, same, other} {
			h.accept(d, status, 0)
			h.advance(0.4)
			h.endAttempts(d, o)
			o = Delivered
		}
	}
	round(Delivered)
	round(Delivered)
	h.log = nil
	round(NoConnection)
	h.reconcile()
	require.Contains(t, h.log, "close 8")
	require.NotContains(t, h.log, "close 9")
}
