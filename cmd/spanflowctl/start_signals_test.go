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

// Signals were noted only once the configuration was read: SIGHUP 0 to 50 ms after the start ended a forwarder with 500
// endpoints 11 times of 11, and SIGTERM ended it by the signal. Here each step of a start waits for the test, so that
// the signals come while it is under way.

// launch starts the forwarder without waiting until it serves.
func (h *harness) launch() {
	h.t.Helper()
	command := exec.Command(filepath.Join(programFolder, "spanflow"), "run", "-c", h.configFile)
	h.process = emulator.StartProcess(h.t, command)
}

// slowRecovery puts a slow file in the place of the learned latencies: the forwarder waits while it recovers.
func (h *harness) slowRecovery() *emulator.SlowFile {
	h.t.Helper()
	path := filepath.Join(h.folder, "state", statefile.LatenciesFile)
	require.NoError(h.t, os.Mkdir(filepath.Dir(path), 0o700))
	return emulator.NewSlowFile(h.t, path)
}

// signal sends signals in their order.
func (h *harness) signal(signals ...syscall.Signal) {
	h.t.Helper()
	for _, s := range signals {
		require.NoError(h.t, h.process.Signal(s))
	}
}

func TestReloadsDuringAStartLeadToOneAfterIt(t *testing.T) {
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
	require.Less(t, h.terminate(), endBound)
	require.Equal(t, 1, h.process.Log.Count(logReloaded))
}

func TestSIGTERMDuringEachStepOfAStartEndsIt(t *testing.T) {
	series := map[string][]syscall.Signal{
		"alone":          {},
		"behind reloads": {syscall.SIGHUP, syscall.SIGHUP},
	}
	for name, before := range series {
		t.Run(name, func(t *testing.T) {
			t.Run("reading its configuration", func(t *testing.T) {
				t.Parallel()
				h := newSingleHarness(t)
				file := h.addSlowToken()
				h.launch()
				defer file.AwaitReader().Close()
				h.signal(before...)
				require.Less(t, h.terminate(), endBound)
			})
			t.Run("recovering", func(t *testing.T) {
				t.Parallel()
				h := newSingleHarness(t)
				file := h.slowRecovery()
				h.launch()
				defer file.AwaitReader().Close()
				h.signal(before...)
				require.Less(t, h.terminate(), endBound)
				require.NotContains(t, h.process.Log.String(), emulator.ReadyLine)
			})
			t.Run("just ready", func(t *testing.T) {
				t.Parallel()
				h := newSingleHarness(t)
				h.start()
				h.signal(before...)
				require.Less(t, h.terminate(), endBound)
				require.Contains(t, h.process.Log.String(), `"message":"end"`)
			})
		})
	}
}
