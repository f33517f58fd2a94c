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

// Guards against an overload of discovery by the polls of a fleet. Thirty-six forwarders start at once. Discovery
// serves six polls per second in the order of arrival, but each poll times out after two seconds, so the work on it is
// wasted. If forwarders polled again within a second, most would never be served. As they wait longer after each
// failure, each is served within half a minute.
func TestFleetOfPollingForwardersIsServed(t *testing.T) {
	settings := testSettings
	settings.PollEndpoints, settings.PollWithin, settings.Forwarders = true, 10, 36
	type poll struct {
		forwarder *harness
		arrivedAt float64
	}
	var fleet []*harness
	var queue []poll
	queuedPolls, served := map[*harness]int{}, map[*harness]bool{}
	for seed := range settings.Forwarders {
		h := newSeededHarness(settings, uint64(seed))
		h.addDestination(0, 0)
		fleet = append(fleet, h)
	}
	updates := []EndpointUpdate{}
	for tick := range 1500 {
		now := 100 + float64(tick)*0.02
		for _, h := range fleet {
			h.now = now
			h.reconcile()
			for ; queuedPolls[h] < h.polls; queuedPolls[h]++ {
				queue = append(queue, poll{h, now})
			}
		}
		if tick%8 == 7 && len(queue) > 0 { // the next poll is served, although it may have timed out long ago
			if p := queue[0]; now-p.arrivedAt <= 2 {
				served[p.forwarder] = true
				p.forwarder.UpdateEndpoints(true, updates)
			}
			queue = queue[1:]
		}
		for _, p := range queue {
			if age := now - p.arrivedAt; age > 2 && age < 2.02 {
				p.forwarder.PollTimedOut()
			}
		}
	}
	require.Len(t, served, settings.Forwarders)
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
