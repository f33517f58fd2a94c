package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSendsRecoveredMessageWithLittleTimeLeft(t *testing.T) {
	h := newHarness(durableSettings())
	d := h.addDestination(0, 0)
	slow := make([]float64, len(d.latency.counts))
	slow[d.latency.bin(4)] = 5
	require.True(t, h.RestoreLatencies(d, slow))
	recovered, fresh := &Message{Dest: d}, &Message{Dest: d}
	h.Recover(recovered, status, 0.3, RecoveredState{})
	h.Accept(fresh, status, 0.3)
	fresh.lifetime = 20 // it was queued for most of its time to live
	h.reconcile()
	require.Equal(t, "rejected", h.answers[fresh], "most calls take longer")
	require.Empty(t, h.answers[recovered])
	require.Equal(t, recovered, h.sent[0].message)
	h.advance(0.4)
	require.Equal(t, "rejected", h.answers[recovered], "the call did not end, and the message is answered at its deadline")
}

func TestKeepsRecoveredMessageDespiteEarlierRetryAfter(t *testing.T) {
	h := newHarness(durableSettings())
	d := h.addDestination(0, 0)
	recovered := &Message{Dest: d}
	h.Recover(recovered, status, 2, RecoveredState{})
	h.BlockUntil(d.endpoints[0], h.now+30)
	h.reconcile()
	require.Empty(t, h.answers, "the message is held as long as there is time, because another endpoint may be listed")
	sibling := &Endpoint{ID: 9}
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: sibling, Destination: d, Kind: 0, State: Ready}})
	sibling.route = &Route{refilledAt: h.now}
	h.advance(0.4)
	require.Equal(t, recovered, h.sent[0].message)
}

// Recovered messages that would arrive too late are not sent, because there may be hundreds of them and they would take
// the slots of messages that are in time.
func TestRejectsRecoveredMessageThatWouldArriveLate(t *testing.T) {
	h := newHarness(durableSettings())
	d := h.addDestination(0, 0)
	recovered := &Message{Dest: d}
	h.Recover(recovered, status, 4, RecoveredState{})
	h.BlockUntil(d.endpoints[0], h.now+3.8)
	h.advance(3.9) // calls are assumed to take 0.9 s
	require.Empty(t, h.sent)
	require.Equal(t, "rejected", h.answers[recovered])
}

func TestDoesNotShedRecoveredMessages(t *testing.T) {
	h := newHarness(durableSettings())
	d := h.NewDestination(1)
	recovered := map[*Message]bool{}
	for range h.settings.QueueCapacity {
		message := &Message{Dest: d}
		recovered[message] = true
		h.Recover(message, status, 20, RecoveredState{})
	}
	h.reconcile()
	require.Empty(t, h.answers)
	require.False(t, admits(h, 1, 8), "no message is admitted while the queue is full")
}

func TestPollsSoonAfterWatchFallsSilent(t *testing.T) {
	settings := testSettings
	settings.PollEndpoints, settings.PollWithin, settings.Forwarders = true, 10, 300
	for seed := range uint64(50) {
		h := newSeededHarness(settings, seed)
		h.reconcile()
		require.Equal(t, 1, h.polls, "polls at once without a list")
		h.advance(5)
		h.WatchSilent()
		h.advance(1.02)
		require.Equal(t, 2, h.polls, "the silence was noticed after three seconds, and changes count as known after six")
	}
}

func TestWaitsForAgentsListBeforeSending(t *testing.T) {
	settings := durableSettings()
	settings.PollEndpoints, settings.LocalAgent, settings.Forwarders = true, true, 300
	h := newHarness(settings)
	d := h.addDestination(0, 0) // from the last known list; the endpoint may be draining by now
	h.accept(d, status, 0)
	h.reconcile()
	require.Equal(t, 1, h.polls, "polls of a local agent are not spread, as no other forwarder polls it")
	require.Empty(t, h.sent)
	h.now += 0.01
	h.reconcile()
	h.UpdateEndpoints(true, []EndpointUpdate{{Endpoint: d.endpoints[0], Destination: d, Kind: 0, State: Draining}})
	h.advance(1)
	require.Empty(t, h.sent)

}

// Guards against review case 2: a process that was started during an outage of discovery went by its last known list after
// the first failed poll, although its agent had a newer one, and called an address that belonged to another destination.
func TestNoCallBeforeAgentsListDespiteOtherEvents(t *testing.T) {
	settings := durableSettings()
	settings.PollEndpoints, settings.LocalAgent, settings.Forwarders = true, true, 300
	for name, event := range map[string]func(*harness, *Destination){
		"poll timed out": func(h *harness, _ *Destination) { h.PollTimedOut() },
		"watch broken":   func(h *harness, _ *Destination) { h.WatchBroken() },
		"watch silent":   func(h *harness, _ *Destination) { h.WatchSilent() },
		"endpoint drained": func(h *harness, other *Destination) {
			h.OverrideEndpoint(EndpointUpdate{Endpoint: other.endpoints[0], Destination: other, State: Draining})
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(settings)
			d, other := h.addDestination(0, 0), h.addDestination(0, 0)
			h.accept(d, status, 0)
			h.reconcile()
			for range 20 {
				h.advance(0.4)
				event(h, other)
			}
			h.advance(0.4)
			require.Empty(t, h.sent)
			require.Empty(t, h.answers, "the message is held as long as there is time")
			require.True(t, h.AwaitsList())
			replacement := &Endpoint{ID: 9}
			h.UpdateEndpoints(true, []EndpointUpdate{{Endpoint: replacement, Destination: d, State: Ready}})
			h.advance(newEndpointSpread + 0.1)
			require.False(t, h.AwaitsList())
			require.Len(t, h.sent, 1)
			require.Same(t, replacement, h.sent[0].endpoint)
		})
	}
}

func TestPollsAgentWithoutBackoff(t *testing.T) {
	settings := durableSettings()
	settings.PollEndpoints, settings.LocalAgent, settings.Forwarders = true, true, 300
	h := newHarness(settings)
	h.addDestination(0, 0)
	h.reconcile()
	for n := range 10 { // each poll fails at once
		require.Equal(t, n+1, h.polls)
		h.PollTimedOut()
		h.advance(0.56)
	}
}

// Guards against polls of a local agent that come only after the grace of a drain: what the agent has counts as known while
// no watch is open.
func TestPollsAgentWithinDrainGrace(t *testing.T) {
	settings := durableSettings()
	settings.PollEndpoints, settings.LocalAgent = true, true
	for _, grace := range []float64{0, 0.25, 0.5, 2} {
		settings.DrainGrace = grace
		limit := 0.55 // not stated
		if grace > 0 {
			limit = min(limit, grace/2) // the other half is for the answer and a pause of the process
		}
		for _, forwarders := range []int{1, 24, 300} {
			settings.Forwarders = forwarders
			h := newHarness(settings)
			h.addDestination(0, 0)
			h.reconcile()
			for n := range 50 {
				if n%2 == 0 {
					h.WatchBroken()
				} else {
					h.PollTimedOut()
				}
				require.Less(t, h.NextPollIn(), limit, "grace %v", grace)
				h.advance(limit)
			}
		}
	}
}

func TestNotifiesOfDeliveryAtDeadline(t *testing.T) {
	h := newHarness(durableSettings())
	d := h.addDestination(0, 0)
	deliver := func(byNotice bool, after float64) *Message {
		message := &Message{Dest: d, Key: 5, AnsweredByNotice: byNotice}
		h.Accept(message, ticket, 1)
		h.reconcile()
		h.now += after
		h.SetTime(h.now)
		h.endAttempt(message, Delivered, 0)
		h.reconcile()
		return message
	}
	require.Empty(t, h.answers[deliver(true, 0.8)], "in time by the client's clock, too")
	require.Empty(t, h.answers[deliver(false, 0.98)], "no client judges it by another clock")
	first := deliver(true, 0.98)
	require.Equal(t, "abandoned", h.answers[first])
	next := h.accept(d, ticket, 5)
	h.advance(0.2)
	require.NotEqual(t, next, h.sent[len(h.sent)-1].message,
		"the previous message may count as unfinished until its notice is acknowledged")
	h.NoticeAcknowledged(first)
	h.advance(0.04)
	require.Equal(t, next, h.sent[len(h.sent)-1].message)
	require.Equal(t, "abandoned", h.answers[first], "answered only once")
}

// A change of the list counts as known six seconds after discovery has it and is reachable, even if polls fail. A
// connection that is never established takes one and a half of these seconds.
func TestPollsSoonAfterDiscoveryOutage(t *testing.T) {
	const knownAfter, failsAfter = 6.0, 1.5
	settings := testSettings
	settings.PollEndpoints = true
	for _, within := range []float64{0, 2, 10} { // not stated, short, and long
		for _, forwarders := range []int{1, 3, 30, 500} {
			settings.PollWithin, settings.Forwarders = within, forwarders
			for seed := range uint64(20) {
				h := newSeededHarness(settings, seed)
				h.reconcile()
				for n := range 12 {
					require.Equal(t, n+1, h.polls, "%d forwarders, PollWithin %v", forwarders, within)
					h.WatchBroken()
					h.advance(knownAfter - failsAfter - 0.9) // the remaining time is for the answer
				}
			}
		}
	}
}

// The deduplication window may be as short as a second. Even after a restart, a message that may have run is neither
// sent nor in a call beyond its window. After the window, the message fails, with a single final answer.
func TestKeepsShortDeduplicationWindowAfterRestart(t *testing.T) {
	const window, timeToLive = 1.0, 20.0
	settings := durableSettings()
	settings.Types = append([]MessageType{}, settings.Types...)
	settings.Types[ticket].DeduplicationWindow = window
	for age := 0.0; age < 1.6; age += 0.04 { // age of the call that was in flight when the process was killed
		h := newHarness(settings)
		d := h.addDestination(0, 0, 0)
		message, firstRanAt := &Message{Dest: d, Key: 5}, h.now-age
		h.Recover(message, ticket, timeToLive, RecoveredState{Attempts: 1, FirstRanAt: firstRanAt})
		h.reconcile()
		for h.now < 100+timeToLive {
			h.advance(0.02)
			if n := len(h.sent); n > 0 && message.call != nil && h.now >= h.sent[n-1].at+h.sent[n-1].timeout {
				h.endAttempt(message, TimedOut, 0)
			}
		}
		for _, s := range h.sent {
			require.Less(t, s.at, firstRanAt+window, "killed %.2f s into its call", age)
			require.Less(t, s.at+s.timeout, firstRanAt+window+0.001, "killed %.2f s into its call", age)
		}
		finalAnswers := []string{"abandoned", "rejected"}
		require.Contains(t, finalAnswers, h.answers[message], "answered once, killed %.2f s into its call", age)
		if age > window+0.01 {
			require.Equal(t, "abandoned", h.answers[message], "a repeat is no longer harmless")
		}
		if age < 0.3 {
			require.NotEmpty(t, h.sent, "there was enough time for a repeat")
		}
	}
}

// Guards against a fault of report 54762d: after a restart, the next message of a key was sent at once, although an
// earlier one might still be running.
func TestPausesKeysAfterRestart(t *testing.T) {
	h := newHarness(testSettings)
	h.PauseKeys()
	d := h.addDestination(0, 0)
	attempted, untried := &Message{Dest: d, Key: 5}, &Message{Dest: d, Key: 6}
	h.Recover(attempted, ticket, 20, RecoveredState{Attempts: 1, FirstRanAt: h.now - 1})
	h.Recover(untried, ticket, 20, RecoveredState{})
	fresh, unordered := h.accept(d, ticket, 7), h.accept(d, status, 0)
	h.reconcile()
	require.ElementsMatch(t, []*Message{attempted, unordered}, []*Message{h.sent[0].message, h.sent[1].message})
	h.endAttempts(d, Delivered)
	h.advance(testSettings.KeyCooldown - 0.01)
	require.Len(t, h.sent, 2)
	h.advance(0.05)
	require.ElementsMatch(t, []*Message{untried, fresh}, []*Message{h.sent[2].message, h.sent[3].message})
	h.endAttempts(d, Delivered)
	late := h.accept(d, ticket, 8)
	h.reconcile()
	require.Same(t, late, h.sent[4].message, "only messages that are accepted within the cooldown are delayed")
}
