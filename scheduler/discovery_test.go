package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPollsAgainAfterFailure(t *testing.T) {
	asks := testSettings
	asks.PollEndpoints = true
	h := newHarness(asks)
	h.reconcile()
	require.Equal(t, 1, h.polls)
	h.PollTimedOut()
	h.advance(2)
	require.Equal(t, 2, h.polls)
}

// Thirty-six forwarders start at once with a discovery service that serves their polls in turn, six a second, and fails
// each that has waited for two seconds, so that the work on it is wasted. Each forwarder is served within half a
// minute, since those whose poll failed wait ever longer before the next; with a new poll within a second, most never
// were.
func TestFleetOfPollingForwardersIsServed(t *testing.T) {
	asks := testSettings
	asks.PollEndpoints, asks.PollWithin, asks.Forwarders = true, 10, 36
	type call struct {
		of   *harness
		came float64
	}
	var fleet []*harness
	var line []call
	asked, served := map[*harness]int{}, map[*harness]bool{}
	for seed := range asks.Forwarders {
		h := newSeededHarness(asks, uint64(seed))
		h.addDestination(0, 0)
		fleet = append(fleet, h)
	}
	news := []EndpointUpdate{}
	for tick := range 1500 {
		now := 100 + float64(tick)*0.02
		for _, h := range fleet {
			h.now = now
			h.reconcile()
			for ; asked[h] < h.polls; asked[h]++ {
				line = append(line, call{h, now})
			}
		}
		if tick%8 == 7 && len(line) > 0 { // the next in turn is served, though its forwarder may have given up long ago
			if c := line[0]; now-c.came <= 2 {
				served[c.of] = true
				c.of.UpdateEndpoints(true, news)
			}
			line = line[1:]
		}
		for _, c := range line {
			if age := now - c.came; age > 2 && age < 2.02 {
				c.of.PollTimedOut()
			}
		}
	}
	require.Len(t, served, asks.Forwarders)
}

func TestPollsAtOnceWithoutEndpointList(t *testing.T) {
	asks := testSettings
	asks.PollEndpoints, asks.PollWithin, asks.Forwarders = true, 10, 300
	h := newHarness(asks)
	h.reconcile()
	require.Equal(t, 1, h.polls)

	h = newHarness(asks)
	h.addDestination(0, 0) // known from before
	h.reconcile()
	require.Zero(t, h.polls)
	h.advance(asks.PollWithin / 2)
	require.Equal(t, 1, h.polls)
}

func TestPollsWithinConfiguredTime(t *testing.T) {
	asks := testSettings
	asks.PollEndpoints, asks.PollWithin, asks.Forwarders = true, 10, 300
	h := newHarness(asks)
	h.reconcile()
	for range 20 { // however many failed, a wait is below 1.3 times PollWithin
		was := h.polls
		h.PollTimedOut()
		h.advance(1.4 * asks.PollWithin)
		require.Greater(t, h.polls, was)
	}
	h.UpdateEndpoints(true, nil)
	h.PollTimedOut()
	h.advance(1.3*asks.PollWithin/2 + 0.1) // the first failure after a list counts as the first
	require.Equal(t, 22, h.polls)
}

// Guards against changes of the list that a large fleet hears over two seconds after its upgrade.
func TestSuccessorPollsForTheListSoon(t *testing.T) {
	fleet := testSettings
	fleet.PollEndpoints, fleet.PollWithin, fleet.Forwarders = true, 10, 48
	for seed := range uint64(40) {
		h := newSeededHarness(fleet, seed)
		h.ContinueWatch()
		h.addDestination(0, 0)
		h.advance(successorPollSpread + 0.05)
		require.Equal(t, 1, h.polls, "seed %d", seed)
	}
}
