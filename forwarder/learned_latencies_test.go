package forwarder

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"spanflow/internal/settings"
	"spanflow/internal/statefile"
	"spanflow/scheduler"
)

type silentHost struct{}

func (silentHost) Send(*scheduler.Message, *scheduler.Endpoint, float64) {}
func (silentHost) Reject(*scheduler.Message, float64)                    {}
func (silentHost) Fail(*scheduler.Message)                               {}
func (silentHost) CancelUnsent(*scheduler.Endpoint)                      {}
func (silentHost) CloseIdle(*scheduler.Endpoint)                         {}
func (silentHost) ReleaseEndpoint(*scheduler.Endpoint)                   {}
func (silentHost) Wake(float64)                                          {}
func (silentHost) WatchEndpoints()                                       {}
func (silentHost) Log(string)                                            {}

// latencyOwner is an event loop with a scheduler and a folder, without sockets, and what it logs.
func latencyOwner(folder string) (*eventLoop, *bytes.Buffer) {
	var logged bytes.Buffer
	order := &Config{Folder: folder, Names: settings.Names{Types: []string{"new-order"}, Kinds: []string{"large"}}}
	order.Scheduler = scheduler.Settings{Types: []scheduler.MessageType{{LatencyObjective: 3, TimeToLive: 16}}, Forwarders: 200, ConcurrencyLimit: 3, QueueCapacity: 19}
	o := &eventLoop{config: order, telemetry: telemetry{log: zerolog.New(&logged)}, endpoints: newEndpointTable()}
	o.endpoints.sweepAt = minSweep
	o.scheduler = scheduler.New(order.Scheduler, 7, 100, silentHost{})
	o.endpoints.restoredLatencies = readLatencies(folder, order.latencyDeployment(), &o.telemetry.log)
	return o, &logged
}

func TestLatenciesOutlastRestartAndUnusableFileIsIgnored(t *testing.T) {
	folder := t.TempDir()
	old, _ := latencyOwner(folder)
	times := make([]float64, 16)
	times[9] = 40
	require.True(t, old.scheduler.RestoreLatencies(old.destination(7), times))
	old.destination(8) // nothing was measured there
	old.writeLatencies()

	fresh, _ := latencyOwner(folder)
	require.Len(t, fresh.endpoints.restoredLatencies, 1)
	require.Equal(t, old.endpoints.destinations[7].Latencies(), fresh.destination(7).Latencies())
	require.Empty(t, fresh.endpoints.restoredLatencies, "given once")
	require.Nil(t, fresh.destination(8).Latencies())

	unheard, _ := latencyOwner(folder) // a process that hears of no destination keeps what it was given
	unheard.writeLatencies()
	again, _ := latencyOwner(folder)
	require.Equal(t, old.endpoints.destinations[7].Latencies(), again.destination(7).Latencies())

	file := filepath.Join(folder, statefile.LatenciesFile)
	good, err := os.ReadFile(file)
	require.NoError(t, err)
	for _, unusable := range []struct {
		text string
		err  error
	}{
		{strings.Replace(string(good), "7 ", "9 ", 1), statefile.ErrLatenciesChecksum},
		{string(good[:len(good)-3]), statefile.ErrLatenciesChecksum},
		{"something else", statefile.ErrLatenciesFormat},
		{"", statefile.ErrLatenciesFormat},
		{strings.Replace(string(good), "new-order", "delivery-note", 1), statefile.ErrLatenciesDeployment},
	} {
		require.NoError(t, os.WriteFile(file, []byte(unusable.text), 0o600))
		o, logged := latencyOwner(folder)
		require.Empty(t, o.endpoints.restoredLatencies)
		require.Contains(t, logged.String(), unusable.err.Error())
	}
	require.NoError(t, os.Remove(file))
	o, logged := latencyOwner(folder)
	require.Empty(t, o.endpoints.restoredLatencies)
	require.Empty(t, logged.String(), "a first start logs nothing")
}
