package forwarder

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"spanflow/scheduler"
	"spanflow/transport"
)

// The time until the list is polled again depends on how the watch ended.
func TestNextPollTimeDependsOnHowWatchEnded(t *testing.T) {
	const pollWithin, failures, seeds = 100, 8, 20
	config := &Config{Scheduler: scheduler.Settings{
		Types:            []scheduler.MessageType{{TimeToLive: 20, LatencyObjective: 3}},
		ConcurrencyLimit: 4,
		QueueCapacity:    40,
		Forwarders:       24,
		PollEndpoints:    true,
		PollWithin:       pollWithin,
	}}
	longest := func(how transport.WatchEnd) (wait float64) {
		for seed := range uint64(seeds) {
			host, now := &recordingHost{}, 100.0
			loop := newTestLoop(config, seed, host, zerolog.Nop())
			loop.scheduler.SetTime(now)
			loop.scheduler.Reconcile()
			require.Equal(t, 1, host.watches)
			for n := range failures {
				loop.scheduler.SetTime(now)
				loop.handle(watchEnded{reason: "ended by the test", how: how})
				loop.scheduler.Reconcile()
				wait = max(wait, host.wakeIn)
				now += host.wakeIn + 0.001
				loop.scheduler.SetTime(now)
				loop.scheduler.TimerFired()
				loop.scheduler.Reconcile()
				require.Equal(t, n+2, host.watches)
			}
		}
		return wait
	}
	require.Less(t, longest(transport.WatchSilent), 1.0, "a list without updates counts as stale after six seconds")
	require.Less(t, longest(transport.WatchBroken), 3.6, "the list counts as stale six seconds after discovery was last reachable")
	require.Less(t, longest(transport.WatchFailed), 3.6, "the same if it cannot be reached")
	require.Less(t, longest(transport.WatchTimeout), 5.6, "also if polls wait in discovery's queue")
	require.Greater(t, longest(transport.WatchTimeout), 5.0, "otherwise discovery gets more polls than it can answer")
}
