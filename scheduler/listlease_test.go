package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// leaseSettings are those of a forwarder that watches the list of discovery, or of a local agent.
func leaseSettings(localAgent bool) Settings {
	settings := durableSettings()
	settings.PollEndpoints, settings.LocalAgent, settings.PollWithin = true, localAgent, 10
	settings.Forwarders, settings.DrainGrace = 3, 1
	return settings
}

// newWatchingHarness returns a forwarder that has been watching the list for a while, and a destination.
func newWatchingHarness(localAgent bool) (*harness, *Destination) {
	h := newHarness(leaseSettings(localAgent))
	h.reconcile()
	h.advance(1)
	d := h.addDestination(0, 0)
	h.keepBusy(d)
	return h, d
}

// lastCallWithin submits messages for a time and returns when the last call began, as the number of seconds after from. All
// calls are answered at once. event is called after each poll, in place of an answer of discovery.
func (h *harness) lastCallWithin(d *Destination, seconds, from float64, event func()) float64 {
	last := 0.0
	for end, polls := h.now+seconds, h.polls; h.now < end; {
		if d.queued == 0 {
			h.accept(d, status, 0)
		}
		sent := len(h.sent)
		h.advance(0.02)
		if len(h.sent) > sent {
			last = h.now - from
		}
		h.endAttempts(d, Delivered)
		if h.polls > polls {
			polls = h.polls
			event()
		}
	}
	return last
}

// Guards against review case 6: a watch fell silent, further ones did not come up, and messages went to an endpoint whose
// removal counted as known by then, and whose address belonged to another destination.
func TestNoCallBeginsOnceMissedChangesCountAsKnown(t *testing.T) {
	for _, localAgent := range []bool{false, true} {
		for name, event := range map[string]func(h *harness){
			"polls time out":     func(h *harness) { h.PollTimedOut() },
			"polls fail":         func(h *harness) { h.WatchFailed() },
			"polls are refused":  func(h *harness) { h.WatchBroken() },
			"another is drained": func(h *harness) { h.WatchFailed(); h.overrideOther() },
		} {
			t.Run(fmt.Sprint(name, ", local agent ", localAgent), func(t *testing.T) {
				h, d := newWatchingHarness(localAgent)
				lastLine := h.now
				h.advance(3)
				h.ListCurrentUntil(lastLine)
				h.WatchSilent()
				last := h.lastCallWithin(d, 20, lastLine, func() { event(h) })
				require.Less(t, last, noticeTerm+h.settings.DrainGrace-0.15, "a process may be held up for 0.15 s")
				require.Greater(t, last, noticeTerm, "the list may be used while no missed change counts")
				require.True(t, h.ListOverdue())
				h.UpdateEndpoints(false, nil)
				require.Positive(t, h.lastCallWithin(d, 1, h.now, func() {}), "calls begin again with the list")
				require.False(t, h.ListOverdue())
			})
		}
	}
}

// overrideOther drains an endpoint of another destination, as operators do.
func (h *harness) overrideOther() {
	other := h.NewDestination(99)
	h.OverrideEndpoint(EndpointUpdate{Endpoint: &Endpoint{ID: 99}, Destination: other, State: Draining})
}

// While discovery says that it is down, it has nothing to tell, so calls go on. Once it says nothing at all, it may be back,
// and have changes that the forwarder does not get.
func TestLeaseRunsFromLastWordOfDiscovery(t *testing.T) {
	for _, localAgent := range []bool{false, true} {
		t.Run(fmt.Sprint("local agent ", localAgent), func(t *testing.T) {
			h, d := newWatchingHarness(localAgent)
			h.WatchBroken()
			began, lastWord := h.now, 0.0
			last := h.lastCallWithin(d, 30, began, func() { h.WatchBroken(); lastWord = h.now })
			require.Greater(t, last, 29.9, "discovery refuses all polls")
			last = h.lastCallWithin(d, 20, lastWord, func() { h.WatchFailed() })
			require.Less(t, last, noticeTerm+h.settings.DrainGrace-0.15)
			require.Greater(t, last, noticeTerm)
			h.WatchBroken()
			require.Zero(t, h.lastCallWithin(d, 10, h.now, func() { h.WatchBroken() }), "changes may have been missed before")
		})
	}
}

// Guards against review case 6 where a call began before the lease expired but waits for its connection.
func TestExpiredLeaseCancelsUnsentCalls(t *testing.T) {
	h, d := newWatchingHarness(false)
	h.WatchSilent()
	h.advance(noticeTerm)
	message := h.sendOne(d)
	require.NotNil(t, message.call)
	require.Empty(t, h.cancelled)
	h.advance(h.settings.DrainGrace)
	require.Equal(t, []*Endpoint{d.endpoints[0]}, h.cancelled)
}

// Guards against review case 6 across a restart: the next process goes by an older list, and does not know that the watch of
// the former one had fallen silent.
func TestNextProcessContinuesLeaseOfSilentWatch(t *testing.T) {
	for _, expiresIn := range []float64{-3, 0, 2} {
		h := newHarness(leaseSettings(false))
		h.RestoreListLease(expiresIn)
		d := h.addDestination(0, 0) // the last known list
		started := h.now
		last := h.lastCallWithin(d, 20, started, func() { h.WatchBroken() })
		require.LessOrEqual(t, last, max(0, expiresIn))
		h.UpdateEndpoints(true, []EndpointUpdate{{Endpoint: d.endpoints[0], Destination: d, State: Ready}})
		require.Positive(t, h.lastCallWithin(d, 1, h.now, func() {}))
	}
}

// The watch of an earlier process may have been silent for up to three seconds without its notice.
func TestFirstLeaseAllowsForUnnoticedSilence(t *testing.T) {
	for _, upgrade := range []bool{false, true} {
		settings := leaseSettings(false)
		if upgrade {
			settings.Forwarders = 300
		}
		h := newHarness(settings)
		if upgrade {
			h.ContinueWatch()
		}
		d := h.addDestination(0, 0)
		last := h.lastCallWithin(d, 20, h.now, func() { h.WatchFailed() })
		require.Less(t, last, noticeTerm+settings.DrainGrace-unnoticedSilence)
		require.Greater(t, last, 3.0)
	}
}

// What an agent has counts as known four seconds after the configuration has moved to its address, even if it does not
// answer.
func TestLeaseAfterMoveToAnotherAddress(t *testing.T) {
	for localAgent, term := range map[bool]float64{false: noticeTerm, true: movedTerm} {
		h, d := newWatchingHarness(localAgent)
		h.WatchMoved()
		moved := h.now
		h.advance(1.5)
		h.ListCurrentUntil(moved)
		h.WatchFailed()
		last := h.lastCallWithin(d, 20, moved, func() { h.WatchFailed() })
		require.Less(t, last, term+h.settings.DrainGrace-0.15)
		require.Greater(t, last, term)
	}
}

// A list in the configuration does not become overdue, and neither does that of a host that sends it unasked.
func TestListThatIsNotPolledHasNoLease(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	h.WatchSilent()
	h.WatchBroken()
	require.Greater(t, h.lastCallWithin(d, 20, h.now, func() {}), 19.9)
}
