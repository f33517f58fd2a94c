package scheduler

import "math"

const (
	latencyFirstEdge   = 0.02  // seconds; the upper edge of the first bin is latencyEdgeGrowth times this
	latencyEdgeGrowth  = 1.5   // ratio of the upper edges of adjacent bins
	latencyMaxCalls    = 100.0 // all counts are halved when the counted calls exceed this
	latencyQuantile    = 0.9
	initialLatency     = 0.9 // seconds that calls are assumed to take before any was measured
	initialLatencyCall = 1.0 // number of measured calls that initialLatency counts as
	restoredCalls      = 5.0 // maximum number of calls that the measurements of an earlier process count as
)

// latencyHistogram counts call times in bins of growing width. It halves all counts from time to time, so that recent
// calls have more weight. The quantile includes an assumed call of initialLatency.
type latencyHistogram struct {
	counts, upperEdges [16]float64
	total              float64
	p90                float64 // upper edge of the bin that contains latencyQuantile
	priorBin           int     // bin of the assumed call
}

func newLatencyHistogram() latencyHistogram {
	var h latencyHistogram
	edge := latencyFirstEdge
	for i := range h.upperEdges {
		edge *= latencyEdgeGrowth
		h.upperEdges[i] = edge
	}
	h.priorBin = h.bin(initialLatency)
	h.updateQuantile()
	return h
}

// bin returns the index of the bin for x seconds. The last bin has no upper limit.
func (h *latencyHistogram) bin(x float64) int {
	n := 0
	for n < len(h.counts)-1 && x >= h.upperEdges[n] {
		n++
	}
	return n
}

// record counts a call of x seconds.
func (h *latencyHistogram) record(x float64) {
	h.counts[h.bin(x)]++
	if h.total++; h.total > latencyMaxCalls {
		h.total = 0
		for i := range h.counts {
			h.counts[i] /= 2
			h.total += h.counts[i]
		}
	}
	h.updateQuantile()
}

func (h *latencyHistogram) updateQuantile() {
	sum, wanted := 0.0, latencyQuantile*(h.total+initialLatencyCall)
	for i, n := range h.counts {
		if sum += n; i == h.priorBin {
			sum += initialLatencyCall
		}
		if h.p90 = h.upperEdges[i]; sum >= wanted {
			return
		}
	}
}

// restore sets the counts to those of an earlier histogram, scaled down to at most maxCalls calls. It does nothing and
// returns false if calls were already counted or if counts is not valid.
func (h *latencyHistogram) restore(counts []float64, maxCalls float64) bool {
	total := 0.0
	for _, n := range counts {
		if !(n >= 0 && n < 1e9) {
			return false
		}
		total += n
	}
	if len(counts) != len(h.counts) || total == 0 || h.total > 0 {
		return false
	}
	for i, n := range counts {
		h.counts[i] = n * math.Min(1, maxCalls/total)
		h.total += h.counts[i]
	}
	h.updateQuantile()
	return true
}

// RestoreLatencies restores the call times that an earlier process measured, as returned by Latencies, and reports
// whether they could be used. Of all learned values, only latencies remain valid if the size of the fleet changes;
// rates, loads and health are learned anew. The restored latencies count as a few calls.
func (s *Scheduler) RestoreLatencies(destination *Destination, counts []float64) bool {
	return destination.latency.restore(counts, restoredCalls)
}

// Latencies returns the counts of a destination's measured call times, which the adapter keeps for the next process. It
// returns nil if nothing was measured. The slice is only valid until the next event.
func (d *Destination) Latencies() []float64 {
	if d.latency.total == 0 {
		return nil
	}
	return d.latency.counts[:]
}
