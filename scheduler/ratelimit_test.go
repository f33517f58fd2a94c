package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLearnsLoweredLimitFromRejections(t *testing.T) {
	listed := testSettings
	listed.ListedRateTolerance = 1.5
	h := newHarness(listed)
	d := h.addDestination(0, 0)
	d.listedRate = 30 // it takes far less by now
	h.keepBusy(d)
	h.flood(d, status, 12)
	for range 60 {
		h.advance(0.2)
		h.endAttempts(d, Overloaded)
	}
	require.Less(t, d.sharedRoute.learnedRate, 8.0)
	require.Positive(t, d.sharedRoute.learnedRate)
}

// While an endpoint hangs, its full queue rejects; that must not be taken for a limit when it is back.
func TestRejectionsOfEjectedEndpointTeachNoLimit(t *testing.T) {
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

// A burst above a limit is rejected all at once; that counts as one rejection, not as a dozen in a row.
func TestSimultaneousRejectionsCutTheRateOnce(t *testing.T) {
	pace := func(n int) float64 {
		h := newHarness(testSettings)
		d := h.addDestination(0, 0)
		for range 100 {
			h.endAttempt(h.sendOne(d), Delivered, 0)
		}
		d.endpoints[0].concurrencyLimit = 8
		h.flood(d, status, n)
		h.reconcile()
		h.now += 0.1
		h.SetTime(h.now)
		h.endAttempts(d, Overloaded)
		return d.sharedRoute.learnedRate
	}
	require.GreaterOrEqual(t, pace(6), pace(1))
}

// A burst that a full queue rejects teaches a rate far below what the destination takes. Its effect must not last long.
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
	grown := func(seconds float64) float64 {
		before := d.sharedRoute.learnedRate
		for range int(seconds * 5) {
			h.advance(0.2)
			h.endAttempts(d, Delivered)
			h.flood(d, status, 1)
		}
		return d.sharedRoute.learnedRate / before
	}
	first := grown(2)
	grown(6)
	late := grown(2)
	require.Greater(t, late, first*1.3)
	for d.callsInFlight == 0 {
		h.flood(d, status, 1)
		h.advance(0.2)
	}
	h.endAttempts(d, Overloaded)
	h.reconcile()
	require.Less(t, grown(2), late, "a refusal begins it anew")
}

// A burst of calls of which one meets a full queue while the others are worked on: the rate is what these come to.
func TestFirstRejectionKeepsObservedThroughput(t *testing.T) {
	pace := func(out int) float64 {
		h := newHarness(testSettings)
		d := h.addDestination(0, 0)
		for range 200 {
			h.endAttempt(h.sendOne(d), Delivered, 0)
			h.now += 0.5
		}
		d.endpoints[0].concurrencyLimit = 8
		h.flood(d, status, out)
		h.reconcile()
		require.Equal(t, out, d.callsInFlight)
		h.now += 0.05
		h.SetTime(h.now)
		h.endAttempt(h.sent[len(h.sent)-1].message, Overloaded, 0)
		return d.sharedRoute.learnedRate
	}
	require.Greater(t, pace(6), 10.0, "six calls of a tenth of a second or so")
	require.Less(t, pace(1), 10.0)
}

func TestLearnedRateFollowsRemainingLimit(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	r := d.endpoints[0].route
	report := func(left float64) {
		h.accept(d, status, 0)
		h.advance(1)
		for _, s := range h.sent {
			if s.message.call != nil {
				h.AttemptEnded(s.message, AttemptResult{Outcome: Delivered, Final: true, Latency: 0.1,
					ReportedLimit: 8, ReportedShare: left})
			}
		}
	}
	report(0.9)
	require.Zero(t, r.learnedRate, "no limit met: none is kept to")
	report(-1)
	require.InDelta(t, 4, r.learnedRate, 0.1, "its even part, before a call is turned away")
	for range 4 {
		report(-1) // others use the limit up
	}
	low := r.learnedRate
	require.Less(t, low, 2.0)
	for range 4 {
		report(1) // and others leave theirs: more than a rate that grows by time would have
	}
	require.Greater(t, r.learnedRate, 2.5*low)
}

func TestIgnoresAbsurdReports(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	for _, left := range []float64{-1, math.NaN(), 1e300, math.Inf(1), -1e300, math.NaN()} {
		for _, most := range []float64{8, 1e300, math.NaN(), -8} {
			h.accept(d, status, 0)
			h.advance(5)
			for _, s := range h.sent {
				if s.message.call != nil {
					h.AttemptEnded(s.message, AttemptResult{Outcome: Delivered, Final: true, Latency: 0.1,
						ReportedLimit: most, ReportedShare: left})
				}
			}
		}
	}
	require.False(t, math.IsNaN(d.sharedRoute.learnedRate) || math.IsInf(d.sharedRoute.learnedRate, 0))
	n := len(h.sent)
	require.Equal(t, 24, n, "each document went out")
	h.accept(d, status, 0)
	h.advance(5)
	require.Len(t, h.sent, n+1)
}
