package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Rare situations: recovered messages, a watch that falls silent, a list that has not arrived yet.

func TestTriesRecoveredMessageThoughLittleTimeIsLeft(t *testing.T) {
	h := newHarness(socketSettings())
	d := h.addDestination(0, 0)
	slow := make([]float64, len(d.latency.counts))
	slow[d.latency.bin(4)] = 5
	require.True(t, h.RestoreLatencies(d, slow))
	owed, fresh := &Message{Dest: d}, &Message{Dest: d}
	h.Recover(owed, status, 0.3, RecoveredState{})
	h.Accept(fresh, status, 0.3)
	fresh.lifetime = 20 // it waited here for most of its time to live
	h.reconcile()
	require.Equal(t, "rejected", h.answers[fresh], "calls mostly take longer")
	require.Empty(t, h.answers[owed])
	require.Equal(t, owed, h.sent[0].message)
	h.advance(0.4)
	require.Equal(t, "rejected", h.answers[owed], "tried, and answered in its time")
}

func TestKeepsRecoveredMessageDespiteEarlierRetryAfter(t *testing.T) {
	h := newHarness(socketSettings())
	d := h.addDestination(0, 0)
	owed := &Message{Dest: d}
	h.Recover(owed, status, 2, RecoveredState{})
	h.BlockUntil(d.endpoints[0], h.now+30)
	h.reconcile()
	require.Empty(t, h.answers, "it is held as long as there is time: another endpoint may come")
	sibling := &Endpoint{ID: 9}
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: sibling, Destination: d, Kind: 0, State: Ready}})
	sibling.route = &Route{refilledAt: h.now}
	h.advance(0.4)
	require.Equal(t, owed, h.sent[0].message)
}

// Of hundreds of recovered messages, those that would arrive too late leave the slots to those that are in time.
func TestRejectsRecoveredMessageThatWouldArriveLate(t *testing.T) {
	h := newHarness(socketSettings())
	d := h.addDestination(0, 0)
	owed := &Message{Dest: d}
	h.Recover(owed, status, 4, RecoveredState{})
	h.BlockUntil(d.endpoints[0], h.now+3.8)
	h.advance(3.9) // calls take 0.9 s, as far as is known
	require.Empty(t, h.sent)
	require.Equal(t, "rejected", h.answers[owed])
}

func TestDoesNotShedRecoveredMessages(t *testing.T) {
	h := newHarness(socketSettings())
	d := h.NewDestination(1)
	owed := map[*Message]bool{}
	for range h.settings.QueueCapacity {
		message := &Message{Dest: d}
		owed[message] = true
		h.Recover(message, status, 20, RecoveredState{})
	}
	h.reconcile()
	require.Empty(t, h.answers)
	require.False(t, admits(h, 1, 8), "nothing is admitted meanwhile")
}

func TestPollsSoonAfterWatchFallsSilent(t *testing.T) {
	asks := testSettings
	asks.PollEndpoints, asks.PollWithin, asks.Forwarders = true, 10, 300
	for seed := range uint64(50) {
		h := newSeededHarness(asks, seed)
		h.reconcile()
		require.Equal(t, 1, h.polls, "nothing known: at once")
		h.advance(5)
		h.WatchSilent()
		h.advance(1.02)
		require.Equal(t, 2, h.polls, "it was silent for three seconds when that was noticed, and six count as told")
	}
}

func TestWaitsForAgentsListBeforeSending(t *testing.T) {
	told := socketSettings()
	told.PollEndpoints, told.LocalAgent, told.Forwarders = true, true, 300
	h := newHarness(told)
	d := h.addDestination(0, 0) // as last known: by now it may drain
	h.accept(d, status, 0)
	h.reconcile()
	require.Equal(t, 1, h.polls, "nobody else asks this agent: no need to spread")
	require.Empty(t, h.sent)
	h.now += 0.01
	h.reconcile()
	h.UpdateEndpoints(true, []EndpointUpdate{{Endpoint: d.endpoints[0], Destination: d, Kind: 0, State: Draining}})
	h.advance(1)
	require.Empty(t, h.sent)

	h = newHarness(told)
	d = h.addDestination(0, 0)
	h.accept(d, status, 0)
	h.advance(0.02)
	h.PollTimedOut() // discovery is down: the agent knows nothing either
	h.advance(0.02)
	require.Len(t, h.sent, 1)
}

func TestPollsAgentWithoutBackoff(t *testing.T) {
	told := socketSettings()
	told.PollEndpoints, told.LocalAgent, told.Forwarders = true, true, 300
	h := newHarness(told)
	h.addDestination(0, 0)
	h.reconcile()
	for n := range 10 { // each poll fails at once
		require.Equal(t, n+1, h.polls)
		h.PollTimedOut()
		h.advance(0.56)
	}
}

func TestDeliveryAtDeadlineIsNotifiedAndItsKeyWaits(t *testing.T) {
	h := newHarness(socketSettings())
	d := h.addDestination(0, 0)
	onEdge := func(noticed bool, ends float64) *Message {
		message := &Message{Dest: d, Key: 5, AnsweredByNotice: noticed}
		h.Accept(message, ticket, 1)
		h.reconcile()
		h.now += ends
		h.SetTime(h.now)
		h.endAttempt(message, Delivered, 0)
		h.reconcile()
		return message
	}
	require.Empty(t, h.answers[onEdge(true, 0.8)], "in its time by any clock")
	require.Empty(t, h.answers[onEdge(false, 0.98)], "nobody judges it by another clock")
	first := onEdge(true, 0.98)
	require.Equal(t, "abandoned", h.answers[first])
	next := h.accept(d, ticket, 5)
	h.advance(0.2)
	require.NotEqual(t, next, h.sent[len(h.sent)-1].message, "the one before may count as open until its end is heard")
	h.NoticeAcknowledged(first)
	h.advance(0.04)
	require.Equal(t, next, h.sent[len(h.sent)-1].message)
	require.Equal(t, "abandoned", h.answers[first], "once")
}

// Whatever a failed, rejected or timed-out poll allows, a change counts as known six seconds after discovery had it and
// could be reached. A connection that is never established takes a second and a half of that.
func TestPollsSoonAfterDiscoveryOutage(t *testing.T) {
	const toldIn, failsIn = 6.0, 1.5
	asks := testSettings
	asks.PollEndpoints = true
	for _, within := range []float64{0, 2, 10} { // not stated, short, and long
		for _, forwarders := range []int{1, 3, 30, 500} {
			asks.PollWithin, asks.Forwarders = within, forwarders
			for seed := range uint64(20) {
				h := newSeededHarness(asks, seed)
				h.reconcile()
				for n := range 12 {
					require.Equal(t, n+1, h.polls, "%d forwarders, asked within %v", forwarders, within)
					h.WatchBroken()
					h.advance(toldIn - failsIn - 0.9) // what is left is for the answer
				}
			}
		}
	}
}

// The window in which an endpoint knows a repeat may be as short as a second, on days of restarts too: what may have
// run is neither sent nor still waited for beyond it, and whatever is past its window is answered as a failure, once.
func TestKeepsShortDeduplicationWindowOverRestart(t *testing.T) {
	const window, life = 1.0, 20.0
	short := socketSettings()
	short.Types = append([]MessageType{}, short.Types...)
	short.Types[ticket].DeduplicationWindow = window
	for age := 0.0; age < 1.6; age += 0.04 { // of the call that was in flight when the process was killed
		h := newHarness(short)
		d := h.addDestination(0, 0, 0)
		message, ran := &Message{Dest: d, Key: 5}, h.now-age
		h.Recover(message, ticket, life, RecoveredState{Attempts: 1, FirstRanAt: ran})
		h.reconcile()
		for h.now < 100+life {
			h.advance(0.02)
			if n := len(h.sent); n > 0 && message.call != nil && h.now >= h.sent[n-1].at+h.sent[n-1].timeout {
				h.endAttempt(message, TimedOut, 0)
			}
		}
		for _, s := range h.sent {
			require.Less(t, s.at, ran+window, "killed %.2f s into its call", age)
			require.Less(t, s.at+s.timeout, ran+window+0.001, "killed %.2f s into its call", age)
		}
		final := []string{"abandoned", "rejected"}
		require.Contains(t, final, h.answers[message], "once, killed %.2f s into its call", age)
		if age > window+0.01 {
			require.Equal(t, "abandoned", h.answers[message], "a repeat is not harmless any more")
		}
		if age < 0.3 {
			require.NotEmpty(t, h.sent, "there was time")
		}
	}
}

// Guards against report 54762d: after a restart the next message of a key was sent at once.
func TestPausesKeysAfterRestart(t *testing.T) {
	h := newHarness(testSettings)
	h.PauseKeys()
	d := h.addDestination(0, 0)
	tried, next := &Message{Dest: d, Key: 5}, &Message{Dest: d, Key: 6}
	h.Recover(tried, ticket, 20, RecoveredState{Attempts: 1, FirstRanAt: h.now - 1})
	h.Recover(next, ticket, 20, RecoveredState{})
	fresh, unordered := h.accept(d, ticket, 7), h.accept(d, status, 0)
	h.reconcile()
	require.ElementsMatch(t, []*Message{tried, unordered}, []*Message{h.sent[0].message, h.sent[1].message})
	h.endAttempts(d, Delivered)
	h.advance(testSettings.KeyCooldown - 0.01)
	require.Len(t, h.sent, 2)
	h.advance(0.05)
	require.ElementsMatch(t, []*Message{next, fresh}, []*Message{h.sent[2].message, h.sent[3].message})
	h.endAttempts(d, Delivered)
	late := h.accept(d, ticket, 8)
	h.reconcile()
	require.Same(t, late, h.sent[4].message, "only what comes within the cooldown waits")
}
