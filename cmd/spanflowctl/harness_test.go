package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// The tests start the built programs, spanflow with spanflowctl in the same folder, and talk to them over sockets.

// Texts of log lines that tests wait for.
const (
	logReloaded        = "configuration reloaded"
	logReloadedConsole = "INF configuration reloaded"
)

var programFolder string // folder of the built programs

func TestMain(m *testing.M) {
	var err error
	if programFolder, err = emulator.BuildPrograms("../spanflow", "."); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(programFolder)
	os.Exit(code)
}

// spanflow runs a command and returns its standard output and standard error, combined, and its exit code.
func spanflow(args ...string) (string, int) {
	out, err := exec.Command(filepath.Join(programFolder, "spanflow"), args...).CombinedOutput()
	if e, ok := err.(*exec.ExitError); ok {
		return string(out), e.ExitCode()
	}
	return string(out), 0
}

// harness is a forwarder configured by a TOML file, and a receiver of notices.
type harness struct {
	t          *testing.T
	folder     string // holds the configuration file and the forwarder's folders
	configFile string
	listen     string // address for clients
	discovery  *emulator.Discovery
	process    *emulator.Process
}

func newHarness(t *testing.T) *harness {
	folder := t.TempDir()
	h := &harness{t: t, folder: folder, configFile: filepath.Join(folder, "c.toml"), listen: emulator.FreeAddress(t)}
	var err error
	h.discovery, err = emulator.NewDiscovery("")
	require.NoError(t, err)
	return h
}

// newEndpoint starts an endpoint that answers every call with 200.
func (h *harness) newEndpoint() *emulator.Endpoint {
	h.t.Helper()
	endpoint, err := emulator.NewEndpoint("", nil)
	require.NoError(h.t, err)
	return endpoint
}

// replaceConfig replaces the configuration file atomically.
func (h *harness) replaceConfig(text string) {
	h.t.Helper()
	require.NoError(h.t, os.WriteFile(h.configFile+".new", []byte(text), 0o600))
	require.NoError(h.t, os.Rename(h.configFile+".new", h.configFile))
}

// backlogFolder returns the path of the backlog if its folder in the configuration is "stored".
func (h *harness) backlogFolder() string { return filepath.Join(h.folder, "stored") }

// start starts the forwarder and waits until it serves clients.
func (h *harness) start(flags ...string) {
	h.t.Helper()
	args := append([]string{"run", "--config", h.configFile}, flags...)
	h.process = emulator.StartProcess(h.t, exec.Command(filepath.Join(programFolder, "spanflow"), args...))
	h.process.AwaitReady(h.t)
}

// kill ends the forwarder by SIGKILL.
func (h *harness) kill() { h.process.Kill() }

// terminate ends the forwarder by SIGTERM, requires exit status 0 and returns how long that took.
func (h *harness) terminate() time.Duration {
	h.t.Helper()
	signalled := time.Now()
	require.NoError(h.t, h.process.Signal(syscall.SIGTERM))
	require.NoError(h.t, h.process.Wait(), h.process.Log.String())
	return time.Since(signalled)
}

// sendReload makes the forwarder read its configuration again and does not wait for it.
func (h *harness) sendReload() {
	h.t.Helper()
	require.NoError(h.t, h.process.Signal(syscall.SIGHUP))
}

// awaitLog waits until the forwarder's log contains text.
func (h *harness) awaitLog(text string) {
	h.t.Helper()
	h.process.Log.Await(h.t, text)
}

// client connects to the forwarder. The connection is closed at the end of the test.
func (h *harness) client() *emulator.Client {
	h.t.Helper()
	c, err := emulator.NewClient(h.listen)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = c.Close() })
	return c
}

const singleTemplate = `name = "n1"
[ledger]
folder = "state"
disk = "3MB"
[discovery]
notices = %q
[[fronts]]
listen = %q
[[types]]
name = "status"
repeat = "replayable"
agreed = "3s"
life = "20s"
[[types]]
name = "ticket"
repeat = "numbered"
in_order = true
agreed = "3s"
life = "20s"
memory = "15s"
[[targets]]
uid = "t1"
address = %q
dest = 7
`

// singleHarness is a forwarder with one endpoint, which belongs to destination 7.
type singleHarness struct {
	*harness
	endpoint *emulator.Endpoint
}

func newSingleHarness(t *testing.T) *singleHarness {
	h := &singleHarness{harness: newHarness(t)}
	h.endpoint = h.newEndpoint()
	h.writeConfig("")
	return h
}

// startSingle starts a forwarder with the configuration singleTemplate.
func startSingle(t *testing.T) *singleHarness {
	t.Helper()
	h := newSingleHarness(t)
	h.start()
	return h
}

// writeConfig writes the configuration singleTemplate followed by more TOML.
func (h *singleHarness) writeConfig(more string) {
	h.t.Helper()
	h.replaceConfig(fmt.Sprintf(singleTemplate, h.discovery.Addr, h.listen, h.endpoint.Addr) + more)
}

// put submits a message over a new connection and requires that it is accepted.
func (h *singleHarness) put(id, options string) {
	h.t.Helper()
	c, err := emulator.NewClient(h.listen)
	require.NoError(h.t, err)
	defer c.Close()
	answer, err := c.Put("0000000000000005", id, options, "hello")
	require.NoError(h.t, err)
	require.Equal(h.t, "+OK", answer)
}
