package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
	"spanflow/internal/statefile"
)

// These tests guard against a fault in which signals were handled only after the configuration was read. SIGHUP
// 0 to 50 ms after the start ended a forwarder with 500 endpoints 11 times out of 11, and SIGTERM ended it as an
// unhandled signal. In these tests, each step of startup waits for the test, so that the signals arrive during that
// step.

// launch starts the forwarder without waiting until it serves clients.
func (h *harness) launch() {
	h.t.Helper()
	command := exec.Command(filepath.Join(programFolder, "spanflow"), "run", "-c", h.configFile)
	h.process = emulator.StartProcess(h.t, command)
}

// slowRecovery replaces the file of learned latencies with a slow file, so that the forwarder waits during recovery.
func (h *harness) slowRecovery() *emulator.SlowFile {
	h.t.Helper()
	path := filepath.Join(h.folder, "state", statefile.LatenciesFile)
	require.NoError(h.t, os.Mkdir(filepath.Dir(path), 0o700))
	return emulator.NewSlowFile(h.t, path)
}

// signal sends signals in the given order.
func (h *harness) signal(signals ...syscall.Signal) {
	h.t.Helper()
	for _, s := range signals {
		require.NoError(h.t, h.process.Signal(s))
	}
}

func TestReloadsDuringStartupAreMergedIntoOne(t *testing.T) {
	t.Parallel()
	h := newSingleHarness(t)
	configuration := h.addSlowToken()
	h.launch()
	reader := configuration.AwaitReader()
	h.signal(syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP)
	configuration.finish(reader)
	configuration.finishUntil(t, h.process.Log, 1)
	h.process.AwaitReady(t)
	h.put("a", "c=status,d=5000,dest=7")
	require.Equal(t, "a", (<-h.endpoint.Calls).ID)
	require.Less(t, h.terminate(), terminationBound)
	require.Equal(t, 1, h.process.Log.Count(logReloaded))
}

func TestSIGTERMEndsEachStepOfStartup(t *testing.T) {
	series := map[string][]syscall.Signal{
		"alone":         {},
		"after reloads": {syscall.SIGHUP, syscall.SIGHUP},
	}
	for name, earlierSignals := range series {
		t.Run(name, func(t *testing.T) {
			t.Run("reading its configuration", func(t *testing.T) {
				t.Parallel()
				h := newSingleHarness(t)
				file := h.addSlowToken()
				h.launch()
				defer file.AwaitReader().Close()
				h.signal(earlierSignals...)
				require.Less(t, h.terminate(), terminationBound)
			})
			t.Run("recovering", func(t *testing.T) {
				t.Parallel()
				h := newSingleHarness(t)
				file := h.slowRecovery()
				h.launch()
				defer file.AwaitReader().Close()
				h.signal(earlierSignals...)
				require.Less(t, h.terminate(), terminationBound)
				require.NotContains(t, h.process.Log.String(), emulator.ReadyLine)
			})
			t.Run("just ready", func(t *testing.T) {
				t.Parallel()
				h := newSingleHarness(t)
				h.start()
				h.signal(earlierSignals...)
				require.Less(t, h.terminate(), terminationBound)
				require.Contains(t, h.process.Log.String(), `"message":"end"`)
			})
		})
	}
}
