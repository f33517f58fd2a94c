package forwarder

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"spanflow/scheduler"
	"spanflow/transport"
)

// wakeHost notes in how many seconds the scheduler wants to be woken, and how often it asks for the list.
type wakeHost struct {
	scheduler.Host
	in   float64
	asks int
}

func (h *wakeHost) Wake(in float64) { h.in = in }
func (h *wakeHost) WatchEndpoints() { h.asks++ }
func (h *wakeHost) Log(string)      {}

// The time until the next question for the list goes by how the watch ended.
func TestAWatchsEndDecidesHowLongTheNextQuestionWaits(t *testing.T) {
	const askWithin, failures, seeds = 100, 8, 20
	longest := func(how transport.WatchEnd) (wait float64) {
		for seed := range uint64(seeds) {
			host, now := &wakeHost{}, 100.0
			terms := scheduler.Settings{Types: []scheduler.MessageType{{TimeToLive: 20, LatencyObjective: 3}}, ConcurrencyLimit: 4, QueueCapacity: 40, Forwarders: 3, PollEndpoints: true, PollWithin: askWithin}
			o := &eventLoop{scheduler: scheduler.New(terms, seed, now, host), telemetry: telemetry{log: zerolog.Nop()}}
			o.scheduler.SetTime(now)
			o.scheduler.Reconcile()
			require.Equal(t, 1, host.asks)
			for n := range failures {
				o.scheduler.SetTime(now)
				o.handle(watchEnded{"as the test has it", how})
				o.scheduler.Reconcile()
				wait = max(wait, host.in)
				now += host.in + 0.001
				o.scheduler.SetTime(now)
				o.scheduler.TimerFired()
				o.scheduler.Reconcile()
				require.Equal(t, n+2, host.asks)
			}
		}
		return wait
	}
	require.Less(t, longest(transport.WatchSilent), 1.0, "what it missed counts as told six seconds after it fell silent")
	require.Less(t, longest(transport.WatchBroken), 3.6, "six seconds after discovery could be reached")
	require.Greater(t, longest(transport.WatchTimeout), 8.0, "discovery has more questions than it can answer")
}
