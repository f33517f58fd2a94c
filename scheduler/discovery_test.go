package scheduler

import (
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

func TestPollsWithinConfiguredTime(t *testing.T) {
	settings := testSettings
	settings.PollEndpoints, settings.PollWithin, settings.Forwarders = true, 10, 300
	h := newHarness(settings)
	h.reconcile()
	for range 20 { // the wait is less than 1.3 times PollWithin after any number of failures
		before := h.polls
		h.PollTimedOut()
		h.advance(1.4 * settings.PollWithin)
		require.Greater(t, h.polls, before)
	}
	h.UpdateEndpoints(true, nil)
	h.PollTimedOut()
	h.advance(1.3*settings.PollWithin/2 + 0.1) // the arrival of a list resets the number of failures
	require.Equal(t, 22, h.polls)
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
