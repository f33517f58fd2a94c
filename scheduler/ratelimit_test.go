package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLearnsLoweredLimitFromRejections(t *testing.T) {
	settings := testSettings
	settings.ListedRateTolerance = 1.5
	h := newHarness(settings)
	d := h.addDestination(0, 0)
	d.listedRate = 30 // the actual limit is far lower by now
	h.keepBusy(d)
	h.flood(d, status, 12)
	for range 60 {
		h.advance(0.2)
		h.endAttempts(d, Overloaded)
	}
	require.Less(t, d.sharedRoute.learnedRate, 8.0)
	require.Positive(t, d.sharedRoute.learnedRate)
}

// An endpoint that hangs rejects calls because its queue is full. No rate must be learned from these rejections,
// because it would limit the calls after its return.
func TestLearnsNoRateFromEjectedEndpoint(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	for range 100 {
		h.endAttempt(h.sendOne(d), Delivered, 0)
	}
	h.flood(d, status, 6)
	h.advance(0.5)
	h.endAttempts(d, TimedOut)
	h.advance(0.1)
	require.Equal(t, ejected, d.endpoints[0].health)
	for range 8 {
		h.advance(3)
		h.endAttempts(d, Overloaded)
	}
	require.Zero(t, d.sharedRoute.learnedRate)
	h.advance(3)
	h.endAttempts(d, Delivered)
	h.flood(d, status, 20)
	sent := len(h.sent)
	for range 100 {
		h.advance(0.1)
		h.endAttempts(d, Delivered)
	}
	require.Greater(t, len(h.sent), sent+15)
}

// A burst above a limit is rejected all at once. That must count as one rejection, not as a dozen consecutive ones.
func TestSimultaneousRejectionsCutTheRateOnce(t *testing.T) {
	rateAfter := func(messages int) float64 {
		h := newHarness(testSettings)
		d := h.addDestination(0, 0)
		for range 100 {
			h.endAttempt(h.sendOne(d), Delivered, 0)
		}
		d.endpoints[0].concurrencyLimit = 8
		h.flood(d, status, messages)
		h.reconcile()
		h.now += 0.1
		h.SetTime(h.now)
		h.endAttempts(d, Overloaded)
		return d.sharedRoute.learnedRate
	}
	require.GreaterOrEqual(t, rateAfter(6), rateAfter(1))
}

// If a full queue rejects a burst, the rate learned from it is far below the destination's capacity. Its effect must
// not last long.
func TestLearnedRateGrowthAcceleratesWithoutRejections(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	for range 20 {
		h.endAttempt(h.sendOne(d), Delivered, 0)
		h.now += 0.2
	}
	h.flood(d, status, 3)
	h.reconcile()
	h.endAttempts(d, Overloaded)
	h.reconcile()
	require.Positive(t, d.sharedRoute.learnedRate)
	growth := func(seconds float64) float64 {
		before := d.sharedRoute.learnedRate
		for range int(seconds * 5) {
			h.advance(0.2)
			h.endAttempts(d, Delivered)
			h.flood(d, status, 1)
		}
		return d.sharedRoute.learnedRate / before
	}
	first := growth(2)
	growth(6)
	later := growth(2)
	require.Greater(t, later, first*1.3)
	for d.callsInFlight == 0 {
		h.flood(d, status, 1)
		h.advance(0.2)
	}
	h.endAttempts(d, Overloaded)
	h.reconcile()
	require.Less(t, growth(2), later, "a rejection resets the acceleration")
}

// One call of a burst is rejected by a full queue while the others are being processed. The learned rate must match the
// throughput of the others.
func TestFirstRejectionKeepsObservedThroughput(t *testing.T) {
	rateAfter := func(inFlight int) float64 {
		h := newHarness(testSettings)
		d := h.addDestination(0, 0)
		for range 200 {
			h.endAttempt(h.sendOne(d), Delivered, 0)
			h.now += 0.5
		}
		d.endpoints[0].concurrencyLimit = 8
		h.flood(d, status, inFlight)
		h.reconcile()
		require.Equal(t, inFlight, d.callsInFlight)
		h.now += 0.05
		h.SetTime(h.now)
		h.endAttempt(h.sent[len(h.sent)-1].message, Overloaded, 0)
		return d.sharedRoute.learnedRate
	}
	require.Greater(t, rateAfter(6), 10.0, "six calls in flight of about a tenth of a second each")
	require.Less(t, rateAfter(1), 10.0)
}

func TestLearnedRateFollowsRemainingLimit(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	r := d.endpoints[0].route
	report := func(share float64) {
		h.accept(d, status, 0)
		h.advance(1)
		for _, s := range h.sent {
			if s.message.call != nil {
				h.AttemptEnded(s.message, AttemptResult{Outcome: Delivered, Final: true, Latency: 0.1,
					ReportedLimit: 8, ReportedShare: share})
			}
		}
	}
	report(0.9)
	require.Zero(t, r.learnedRate, "no limit was met, so no rate is learned")
	report(-1)
	require.InDelta(t, 4, r.learnedRate, 0.1, "the equal share of this forwarder, although no call was rejected")
	for range 4 {
		report(-1) // other forwarders use up the limit
	}
	low := r.learnedRate
	require.Less(t, low, 2.0)
	for range 4 {
		report(1) // other forwarders do not use their shares, so the rate grows faster than by time alone
	}
	require.Greater(t, r.learnedRate, 2.5*low)
}

func TestIgnoresInvalidReports(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	for _, share := range []float64{-1, math.NaN(), 1e300, math.Inf(1), -1e300, math.NaN()} {
		for _, limit := range []float64{8, 1e300, math.NaN(), -8} {
			h.accept(d, status, 0)
			h.advance(5)
			for _, s := range h.sent {
				if s.message.call != nil {
					h.AttemptEnded(s.message, AttemptResult{Outcome: Delivered, Final: true, Latency: 0.1,
						ReportedLimit: limit, ReportedShare: share})
				}
			}
		}
	}
	require.False(t, math.IsNaN(d.sharedRoute.learnedRate) || math.IsInf(d.sharedRoute.learnedRate, 0))
	sent := len(h.sent)
	require.Equal(t, 24, sent, "each message was sent")
	h.accept(d, status, 0)
	h.advance(5)
	require.Len(t, h.sent, sent+1)
}
