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

// learning is an owner with a module and a folder, no sockets.
func learning(folder string) (*eventLoop, *bytes.Buffer) {
	var said bytes.Buffer
	order := &Config{Folder: folder, Names: settings.Names{Types: []string{"new-order"}, Kinds: []string{"large"}}}
	order.Scheduler = scheduler.Settings{Types: []scheduler.MessageType{{LatencyObjective: 3, TimeToLive: 16}}, Forwarders: 200, ConcurrencyLimit: 3, QueueCapacity: 19}
	o := &eventLoop{config: order, telemetry: telemetry{log: zerolog.New(&said)}, endpoints: newEndpointTable()}
	o.endpoints.sweepAt = minSweep
	o.scheduler = scheduler.New(order.Scheduler, 7, 100, silentHost{})
	o.endpoints.restoredLatencies = readLearnt(folder, order.shape(), &o.telemetry.log)
	return o, &said
}

func TestCallTimesOutlastARestartAndWhatIsMalformedIsPassedOver(t *testing.T) {
	folder := t.TempDir()
	old, _ := learning(folder)
	times := make([]float64, 16)
	times[9] = 40
	require.True(t, old.scheduler.RestoreLatencies(old.destination(7), times))
	old.destination(8) // nothing was measured there
	old.saveLatencies()

	fresh, _ := learning(folder)
	require.Len(t, fresh.endpoints.restoredLatencies, 1)
	require.Equal(t, old.endpoints.destinations[7].Latencies(), fresh.destination(7).Latencies())
	require.Empty(t, fresh.endpoints.restoredLatencies, "given once")
	require.Nil(t, fresh.destination(8).Latencies())

	unheard, _ := learning(folder) // a process that hears of no destination keeps what it was given
	unheard.saveLatencies()
	again, _ := learning(folder)
	require.Equal(t, old.endpoints.destinations[7].Latencies(), again.destination(7).Latencies())

	file := filepath.Join(folder, learntFile)
	good, err := os.ReadFile(file)
	require.NoError(t, err)
	for why, text := range map[string]string{
		"cut or spoilt":           strings.Replace(string(good), "7 ", "9 ", 1),
		"cut or spoilt ":          string(good[:len(good)-3]),
		"not of this form":        "something else",
		"not of this form ":       "",
		"of other types or kinds": strings.Replace(string(good), "new-order", "avisering", 1),
	} {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		o, said := learning(folder)
		require.Empty(t, o.endpoints.restoredLatencies)
		require.Contains(t, said.String(), strings.TrimSpace(why))
	}
	require.NoError(t, os.Remove(file))
	o, said := learning(folder)
	require.Empty(t, o.endpoints.restoredLatencies)
	require.Empty(t, said.String(), "a first start is nothing to speak of")
}
