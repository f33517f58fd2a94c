package main

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

func TestReloadSwitchesDiscoveryWithoutAffectingCalls(t *testing.T) {
	h := newHarness(t, "single")
	hold := make(chan struct{})
	h.endpoint.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	h.discovery.SetUnresponsive(true)
	c := h.start()
	h.put(c, noKey, "out", "c=status,d=8000,dest=7", "+OK")
	require.Equal(t, "out", h.nextCall().ID)
	h.put(c, noKey, "s1", "c=status,d=200,dest=9", "+OK")
	h.awaitLog(logNoticesUnanswered)
	text, err := os.ReadFile(h.configFile)
	require.NoError(t, err)
	withDiscovery := func(addr string) string { return strings.Replace(string(text), h.discovery.Addr, addr, 1) }
	for _, bad := range []string{"", string(text[:len(text)/2]), withDiscovery("there")} {
		require.NoError(t, os.WriteFile(h.configFile, []byte(bad), 0o600))
		h.reload(logReloadFailed)
	}
	second, err := emulator.NewDiscovery("", h.activeEntry("s0", 9))
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(h.configFile, []byte(withDiscovery(second.Addr)), 0o600))
	h.reload(logReloaded)
	require.Equal(t, "s1", (<-second.Notices).ID)
	close(hold)
	h.put(c, noKey, "d2", "c=status,d=8000,dest=9", "+OK")
	require.Equal(t, "d2", h.nextCall().ID)
	require.Empty(t, h.discovery.Notices)
	h.stop()
	require.True(t, h.process.Log.Has(`"delivered":2`), h.process.Log.String())
}

func TestInvalidConfigurationFailsStartupWithOneLine(t *testing.T) {
	h := newHarness(t, "single")
	for _, c := range []struct{ env, message string }{
		{"PROXY_CONFIG=", "PROXY_CONFIG is not set"},
		{"PROXY_CONFIG=/nowhere", "PROXY_CONFIG: open /nowhere"},
		{"PROXY_STATE=/nowhere", "PROXY_STATE: stat /nowhere"},
		{"PROXY_DISCOVERY=here", `discovery: "here" is not an address with a port`},
	} {
		cmd := exec.Command(program)
		cmd.Env = append(append(os.Environ(), h.environment()...), c.env)
		out, err := cmd.CombinedOutput()
		require.Error(t, err)
		require.Contains(t, string(out), "spanflow: "+c.message)
		require.Equal(t, 1, strings.Count(string(out), "\n"))
	}
}

// The inherited descriptor is a file, a connected socket, not open, or not a number. The process names it in an error
// and ends before it serves clients.
func TestInvalidInheritedDescriptorFailsStartup(t *testing.T) {
	h := newHarness(t, "single")
	plain, err := os.CreateTemp(t.TempDir(), "plain")
	require.NoError(t, err)
	c, err := net.Dial("tcp", h.discovery.Addr)
	require.NoError(t, err)
	connected, err := c.(*net.TCPConn).File()
	require.NoError(t, err)
	for _, x := range []struct {
		file    *os.File
		value   string
		message string
	}{
		{plain, "3", "PROXY_INHERITED_FD: descriptor 3 is not a socket"},
		{connected, "3", "PROXY_INHERITED_FD: descriptor 3 is a socket that does not listen"},
		{nil, "199", "PROXY_INHERITED_FD: descriptor 199 is not a socket: bad file descriptor"},
		{nil, "three", "PROXY_INHERITED_FD"},
	} {
		log := emulator.NewLog()
		cmd := exec.Command(program)
		cmd.Env, cmd.Stderr = append(os.Environ(), append(h.environment(), "PROXY_INHERITED_FD="+x.value)...), log
		if x.file != nil {
			cmd.ExtraFiles = []*os.File{x.file}
		}
		require.Error(t, cmd.Run(), x.message)
		require.Contains(t, log.String(), x.message)
		require.NotContains(t, log.String(), emulator.ReadyLine)
	}
}

// A process is restarted with the same folder, another endpoint list and other settings. Undelivered messages and
// learned latencies are kept, and the first messages are sent without delay.
func TestRestartWithOtherSettingsSendsImmediately(t *testing.T) {
	h := newHarness(t, "single")
	c := h.start()
	for _, id := range []string{"d1", "d2", "d3"} {
		h.put(c, noKey, id, "c=status,d=8000,dest=7", "+OK")
		require.Equal(t, id, h.nextCall().ID)
	}
	h.put(c, noKey, "queued", "c=status,d=20000,dest=9", "+OK")
	h.stop()
	h.replacements = []string{`"NInstances":1`, `"NInstances":218`, `"CallsOut":8`, `"CallsOut":3,"Decay":"halves"`,
		`"WeightKind":"silent"`, `"WeightKind":"nominal"`, `"RetryAfter":true`, `"RetryAfter":false,"SecondCopies":true`}
	h.discovery.Set(h.activeEntry("s2", 9))
	c = h.start()
	h.awaitLog(logLatenciesRestored)
	startedAt := time.Now()
	h.put(c, noKey, "first", "c=status,d=8000,dest=7", "+OK")
	require.ElementsMatch(t, []string{"queued", "first"}, []string{h.nextCall().ID, h.nextCall().ID})
	require.Less(t, time.Since(startedAt), 3*time.Second)
	h.stop()
	require.NoError(t, os.WriteFile(filepath.Join(h.stateFolder, "learnt"), []byte("spanflow learnt 1\n cut"), 0o600))
	c = h.start()
	h.awaitLog(logLatenciesIgnored)
	h.put(c, noKey, "last", "c=status,d=8000,dest=7", "+OK")
	require.Equal(t, "last", h.nextCall().ID)
}
