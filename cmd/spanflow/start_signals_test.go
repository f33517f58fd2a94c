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

// These tests guard against a fault in which SIGTERM and SIGHUP were caught before the configuration was read, but
// SIGTERM took effect only after startup.

const logWaitingForFolder = "waiting for the folder"

// launch starts the forwarder with additional environment variables and does not wait until it serves clients.
func (h *harness) launch(files []*os.File, variables ...string) {
	h.t.Helper()
	command := exec.Command(program)
	command.Env = append(os.Environ(), append(h.environment(), variables...)...)
	command.ExtraFiles = files
	h.process = emulator.StartProcess(h.t, command)
}

func TestSIGTERMWhileReadingConfigurationEndsStartup(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "single")
	h.environment()
	require.NoError(t, os.Rename(h.configFile, h.configFile+".old"))
	file := emulator.NewSlowFile(t, h.configFile)
	command := exec.Command(program)
	command.Env = append(os.Environ(), "PROXY_CONFIG="+h.configFile, "PROXY_STATE="+h.stateFolder)
	h.process = emulator.StartProcess(t, command)
	defer file.AwaitReader().Close()
	require.NoError(t, h.process.Signal(syscall.SIGHUP))
	h.stop()
}

func TestSignalsWhileWaitingForFolder(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "single")
	socket := h.inheritedSocket()
	predecessor := h.startWithAdmin(socket)
	predecessor.AwaitReady(t)
	h.launch([]*os.File{socket}, "PROXY_INHERITED_FD=3")
	h.awaitLog(logWaitingForFolder)
	for range 2 {
		require.NoError(t, h.process.Signal(syscall.SIGHUP))
	}
	h.stop()
	require.False(t, h.process.Log.Has(emulator.ReadyLine))

	h.launch([]*os.File{socket}, "PROXY_INHERITED_FD=3")
	h.awaitLog(logWaitingForFolder)
	for range 2 {
		require.NoError(t, h.process.Signal(syscall.SIGHUP))
	}
	successor := h.process
	h.process = predecessor.Process
	h.stop()
	h.process = successor
	h.process.AwaitReady(t)
	h.process.Log.AwaitCount(t, logReloaded, 1)
	h.client()
	h.stop()
	require.Equal(t, 1, h.process.Log.Count(logReloaded), "one reload for all earlier signals")
}

func TestSIGTERMDuringRecoveryEndsStartup(t *testing.T) {
	t.Parallel()
	h := newHarness(t, "single")
	file := emulator.NewSlowFile(t, filepath.Join(h.stateFolder, statefile.LatenciesFile))
	h.launch(nil)
	defer file.AwaitReader().Close()
	h.stop()
	require.False(t, h.process.Log.Has(emulator.ReadyLine))
}
