package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAnOutdatedLimitIsFoundByRefusalsInARow(t *testing.T) {
	listed := terms
	listed.ListedRateTolerance = 1.5
	h := start(listed)
	d := h.receiver(0, 0)
	d.listed = 30 // it takes far less by now
	h.busy(d)
	h.flood(d, status, 12)
	for range 60 {
		h.pass(0.2)
		h.answers(d, Overloaded)
	}
	require.Less(t, d.shared.pace, 8.0)
	require.Positive(t, d.shared.pace)
}

// While an endpoint hangs, its full queue refuses; that must not be taken for a limit when it is back.
func TestRefusalsOfAnEjectedEndpointAreNoLimit(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	for range 100 {
		h.ends(h.out1(d), Delivered, 0)
	}
	h.flood(d, status, 6)
	h.pass(0.5)
	h.answers(d, TimedOut)
	h.pass(0.1)
	require.Equal(t, sick, d.targets[0].state)
	for range 8 {
		h.pass(3)
		h.answers(d, Overloaded)
	}
	require.Zero(t, d.shared.pace)
	h.pass(3)
	h.answers(d, Delivered)
	h.flood(d, status, 20)
	sent := len(h.sent)
	for range 100 {
		h.pass(0.1)
		h.answers(d, Delivered)
	}
	require.Greater(t, len(h.sent), sent+15)
}

// A clump above a limit is turned away all at once; that is one sign of the limit, not a dozen in a row.
func TestRefusalsThatComeTogetherCutThePaceOnce(t *testing.T) {
	pace := func(n int) float64 {
		h := start(terms)
		d := h.receiver(0, 0)
		for range 100 {
			h.ends(h.out1(d), Delivered, 0)
		}
		d.targets[0].places = 8
		h.flood(d, status, n)
		h.settle()
		h.now += 0.1
		h.SetTime(h.now)
		h.answers(d, Overloaded)
		return d.shared.pace
	}
	require.GreaterOrEqual(t, pace(6), pace(1))
}

// A clump that a full queue turns away teaches a pace far below what the destination takes. It is not paid for long.
func TestAPaceThatMeetsNoRefusalGrowsFasterAndFaster(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	for range 20 {
		h.ends(h.out1(d), Delivered, 0)
		h.now += 0.2
	}
	h.flood(d, status, 3)
	h.settle()
	h.answers(d, Overloaded)
	h.settle()
	require.Positive(t, d.shared.pace)
	grown := func(seconds float64) float64 {
		before := d.shared.pace
		for range int(seconds * 5) {
			h.pass(0.2)
			h.answers(d, Delivered)
			h.flood(d, status, 1)
		}
		return d.shared.pace / before
	}
	first := grown(2)
	grown(6)
	late := grown(2)
	require.Greater(t, late, first*1.3)
	for d.out == 0 {
		h.flood(d, status, 1)
		h.pass(0.2)
	}
	h.answers(d, Overloaded)
	h.settle()
	require.Less(t, grown(2), late, "a refusal begins it anew")
}

// A clump of calls of which one meets a full queue while the others are worked on: the pace is what these come to.
func TestAFirstRefusalAmongManyCallsOutLeavesThePaceThatTheyShow(t *testing.T) {
	pace := func(out int) float64 {
		h := start(terms)
		d := h.receiver(0, 0)
		for range 200 {
			h.ends(h.out1(d), Delivered, 0)
			h.now += 0.5
		}
		d.targets[0].places = 8
		h.flood(d, status, out)
		h.settle()
		require.Equal(t, out, d.out)
		h.now += 0.05
		h.SetTime(h.now)
		h.ends(h.sent[len(h.sent)-1].doc, Overloaded, 0)
		return d.shared.pace
	}
	require.Greater(t, pace(6), 10.0, "six calls of a tenth of a second or so")
	require.Less(t, pace(1), 10.0)
}

func TestThePaceFollowsTheShareOfTheLimitThatIsLeft(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	r := d.targets[0].route
	report := func(left float64) {
		h.take(d, status, 0)
		h.pass(1)
		for _, s := range h.sent {
			if s.doc.call != nil {
				h.AttemptEnded(s.doc, AttemptResult{Outcome: Delivered, Final: true, Latency: 0.1, ReportedLimit: 8, ReportedShare: left})
			}
		}
	}
	report(0.9)
	require.Zero(t, r.pace, "no limit met: none is kept to")
	report(-1)
	require.InDelta(t, 4, r.pace, 0.1, "its even part, before a call is turned away")
	for range 4 {
		report(-1) // others use the limit up
	}
	low := r.pace
	require.Less(t, low, 2.0)
	for range 4 {
		report(1) // and others leave theirs: more than a pace that grows by time would have
	}
	require.Greater(t, r.pace, 2.5*low)
}

func TestAnAbsurdReportHarmsNobody(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	for _, left := range []float64{-1, math.NaN(), 1e300, math.Inf(1), -1e300, math.NaN()} {
		for _, most := range []float64{8, 1e300, math.NaN(), -8} {
			h.take(d, status, 0)
			h.pass(5)
			for _, s := range h.sent {
				if s.doc.call != nil {
					h.AttemptEnded(s.doc, AttemptResult{Outcome: Delivered, Final: true, Latency: 0.1, ReportedLimit: most, ReportedShare: left})
				}
			}
		}
	}
	require.False(t, math.IsNaN(d.shared.pace) || math.IsInf(d.shared.pace, 0))
	n := len(h.sent)
	require.Equal(t, 24, n, "each document went out")
	h.take(d, status, 0)
	h.pass(5)
	require.Len(t, h.sent, n+1)
}
