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

// newLatencyLoop returns an event loop with the learned latencies of a folder, and its log output.
func newLatencyLoop(folder string) (*eventLoop, *bytes.Buffer) {
	var logged bytes.Buffer
	config := &Config{
		Folder: folder,
		Names:  settings.Names{Types: []string{"new-order"}, Kinds: []string{"large"}},
		Scheduler: scheduler.Settings{
			Types:            []scheduler.MessageType{{LatencyObjective: 3, TimeToLive: 16}},
			Forwarders:       200,
			ConcurrencyLimit: 3,
			QueueCapacity:    19,
		},
	}
	loop := newTestLoop(config, 7, discardHost{}, zerolog.New(&logged))
	loop.endpoints.restoredLatencies = readLatencies(folder, config.latencyDeployment(), &loop.telemetry.log)
	return loop, &logged
}

func TestLatenciesSurviveRestartAndInvalidFileIsIgnored(t *testing.T) {
	folder := t.TempDir()
	old, _ := newLatencyLoop(folder)
	times := make([]float64, 16)
	times[9] = 40
	require.True(t, old.scheduler.RestoreLatencies(old.destination(7), times))
	old.destination(8) // nothing was measured there
	old.writeLatencies()
	awaitStateFiles(t, old)

	fresh, _ := newLatencyLoop(folder)
	require.Len(t, fresh.endpoints.restoredLatencies, 1)
	require.Equal(t, old.endpoints.destinations[7].Latencies(), fresh.destination(7).Latencies())
	require.Empty(t, fresh.endpoints.restoredLatencies, "moved to the destination")
	require.Nil(t, fresh.destination(8).Latencies())

	unknown, _ := newLatencyLoop(folder) // a process that knows no destination keeps the latencies that it has read
	unknown.writeLatencies()
	awaitStateFiles(t, unknown)
	again, _ := newLatencyLoop(folder)
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
		loop, logged := newLatencyLoop(folder)
		require.Empty(t, loop.endpoints.restoredLatencies)
		require.Contains(t, logged.String(), unusable.err.Error())
	}
	require.NoError(t, os.Remove(file))
	loop, logged := newLatencyLoop(folder)
	require.Empty(t, loop.endpoints.restoredLatencies)
	require.Empty(t, logged.String(), "a first start logs nothing")
}
