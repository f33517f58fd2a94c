package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFewFastAnswersHardlyShortenTimeout(t *testing.T) {
	after := func(n int) float64 {
		h := newHarness(testSettings)
		d := h.addDestination(0, 0)
		for range n {
			h.accept(d, status, 0)
			h.advance(0.4)
			h.endAttempts(d, Delivered)
		}
		h.accept(d, status, 0)
		h.reconcile()
		return h.sent[n].timeout
	}
	require.Greater(t, after(2), 1.3*after(60))
}

func TestRestoredLatenciesGiveWayToNewOnes(t *testing.T) {
	learnt := func(d *Destination, h *harness) float64 {
		h.accept(d, status, 0)
		h.reconcile()
		return h.sent[len(h.sent)-1].timeout
	}
	old := newHarness(testSettings)
	slow := old.addDestination(0, 0)
	for range 30 {
		old.accept(slow, status, 0)
		old.advance(0.1)
		old.AttemptEnded(old.sent[len(old.sent)-1].message, AttemptResult{Outcome: Delivered, Final: true, Latency: 3})
	}
	h := newHarness(testSettings)
	fresh, known := h.addDestination(0, 0), h.addDestination(0, 0)
	require.True(t, h.RestoreLatencies(known, slow.Latencies()))
	require.Greater(t, learnt(known, h), 1.3*learnt(fresh, h))
	h.endAttempts(known, Delivered)
	for range 80 {
		h.accept(known, status, 0)
		h.advance(0.1)
		h.endAttempts(known, Delivered)
	}
	require.Less(t, learnt(known, h), 1.0, "quick calls outweigh it")
	malformed := [][]float64{nil, {1}, make([]float64, 16), append(make([]float64, 15), -1),
		append(make([]float64, 15), math.NaN())}
	for _, spoilt := range malformed {
		require.False(t, h.RestoreLatencies(h.addDestination(0, 0), spoilt))
	}
	require.False(t, h.RestoreLatencies(known, slow.Latencies()), "it has measured by itself")
}
