package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFewFastAnswersHardlyShortenTimeout(t *testing.T) {
	timeoutAfter := func(n int) float64 {
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
	require.Greater(t, timeoutAfter(2), 1.3*timeoutAfter(60))
}

func TestNewLatenciesOutweighRestoredOnes(t *testing.T) {
	nextTimeout := func(d *Destination, h *harness) float64 {
		h.accept(d, status, 0)
		h.reconcile()
		return h.sent[len(h.sent)-1].timeout
	}
	predecessor := newHarness(testSettings)
	slow := predecessor.addDestination(0, 0)
	for range 30 {
		predecessor.accept(slow, status, 0)
		predecessor.advance(0.1)
		predecessor.AttemptEnded(predecessor.sent[len(predecessor.sent)-1].message,
			AttemptResult{Outcome: Delivered, Final: true, Latency: 3})
	}
	h := newHarness(testSettings)
	fresh, known := h.addDestination(0, 0), h.addDestination(0, 0)
	require.True(t, h.RestoreLatencies(known, slow.Latencies()))
	require.Greater(t, nextTimeout(known, h), 1.3*nextTimeout(fresh, h))
	h.endAttempts(known, Delivered)
	for range 80 {
		h.accept(known, status, 0)
		h.advance(0.1)
		h.endAttempts(known, Delivered)
	}
	require.Less(t, nextTimeout(known, h), 1.0, "fast calls outweigh the restored latencies")
	malformed := [][]float64{nil, {1}, make([]float64, 16), append(make([]float64, 15), -1),
		append(make([]float64, 15), math.NaN())}
	for _, counts := range malformed {
		require.False(t, h.RestoreLatencies(h.addDestination(0, 0), counts))
	}
	require.False(t, h.RestoreLatencies(known, slow.Latencies()), "the destination has its own measurements")
}
