package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPollsAgainAfterFailure(t *testing.T) {
	settings := testSettings
	settings.PollEndpoints = true
	h := newHarness(settings)
	h.reconcile()
	require.Equal(t, 1, h.polls)
	h.PollTimedOut()
	h.advance(2)
	require.Equal(t, 2, h.polls)
}

func TestPollsAtOnceWithoutEndpointList(t *testing.T) {
	settings := testSettings
	settings.PollEndpoints, settings.PollWithin, settings.Forwarders = true, 10, 300
	h := newHarness(settings)
	h.reconcile()
	require.Equal(t, 1, h.polls)

	h = newHarness(settings)
	h.addDestination(0, 0) // the last known list
	h.reconcile()
	require.Zero(t, h.polls)
	h.advance(settings.PollWithin / 2)
	require.Equal(t, 1, h.polls)
}

// However often polls fail, and whatever time the settings state, the wait leaves some of the six seconds for the answer.
func TestNoWaitAfterFailuresExceedsNoticeTerm(t *testing.T) {
	const answerTime = 0.4
	for _, pollWithin := range []float64{0, 3, 10, 60} {
		for _, forwarders := range []int{1, 3, 24, 300, 900} {
			settings := testSettings
			settings.PollEndpoints, settings.PollWithin, settings.Forwarders = true, pollWithin, forwarders
			for seed := range uint64(10) {
				h := newSeededHarness(settings, seed)
				h.reconcile()
				for n := range 20 {
					before := h.polls
					if n%3 == 2 {
						h.WatchBroken()
					} else {
						h.PollTimedOut()
					}
					require.Less(t, h.NextPollIn(), noticeTerm-answerTime)
					h.advance(noticeTerm - answerTime)
					require.Equal(t, before+1, h.polls, "%d forwarders, PollWithin %v", forwarders, pollWithin)
				}
			}
		}
	}
}

// Guards against a first poll that comes later than the time after which changes count as known: without a stated
// PollWithin, 300 forwarders spread their first polls over 75 seconds.
func TestFirstPollComesWithinNoticeTerm(t *testing.T) {
	const answerTime = 0.9
	for _, pollWithin := range []float64{0, 3, 10, 60} {
		for _, forwarders := range []int{1, 3, 24, 300, 900} {
			settings := testSettings
			settings.PollEndpoints, settings.PollWithin, settings.Forwarders = true, pollWithin, forwarders
			for seed := range uint64(20) {
				h := newSeededHarness(settings, seed)
				h.addDestination(0, 0) // the last known list
				h.advance(noticeTerm - answerTime)
				require.Equal(t, 1, h.polls, "%d forwarders, PollWithin %v", forwarders, pollWithin)
			}
		}
	}
}

// Polls that time out are repeated at a fixed distance after the first random wait, so that discovery's queue does not get
// longer.
func TestPollsThatTimeOutKeepTheirDistance(t *testing.T) {
	settings := testSettings
	settings.PollEndpoints, settings.PollWithin, settings.Forwarders = true, 10, 300
	h := newHarness(settings)
	h.reconcile()
	for n := range 20 {
		polledAt, before := h.now, h.polls
		h.advance(1)
		h.PollTimedOut()
		for h.polls == before {
			h.advance(0.02)
		}
		if n > 0 {
			require.InDelta(t, pollPeriod, h.now-polledAt, 0.05)
		}
	}
	h.UpdateEndpoints(true, nil)
	h.PollTimedOut()
	require.False(t, math.Abs(h.NextPollIn()-pollPeriod) < 0.05, "another random wait after the list has arrived")
}

// Guards against a large fleet that learns of changes of the list only more than two seconds after its upgrade.
func TestSuccessorPollsForTheListSoon(t *testing.T) {
	settings := testSettings
	settings.PollEndpoints, settings.PollWithin, settings.Forwarders = true, 10, 48
	for seed := range uint64(40) {
		h := newSeededHarness(settings, seed)
		h.ContinueWatch()
		h.addDestination(0, 0)
		h.advance(successorPollSpread + 0.05)
		require.Equal(t, 1, h.polls, "seed %d", seed)
	}
}
