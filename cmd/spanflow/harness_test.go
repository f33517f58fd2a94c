package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// The tests start the built program and talk to it over sockets.

const (
	arrivalTimeout   = 20 * time.Second        // for a call or a notice to arrive
	terminationBound = 3700 * time.Millisecond // from SIGTERM to the end; then the platform may send SIGKILL
	noKey            = "0000000000000000"      // the ordering key of messages without one
)

// Texts of log lines that tests wait for.
const (
	logNoticesUnanswered = "notices not answered"
	logReloaded          = "configuration reloaded"
	logReloadFailed      = "configuration not reloaded"
	logStopping          = `"message":"stopping"`
	logHandingOver       = `"message":"handing over"`
	logWatchEnded        = "watch ended"
	logLatenciesRestored = "learned latencies restored"
	logLatenciesIgnored  = "learned latencies ignored"
	logRecoveryDone      = `"message":"recovered messages settled"`
	logDrainChanged      = `"message":"endpoint drained or restored"`
	logAgentListReceived = `"message":"endpoint list of the agent received, calls begin"`
)

var (
	program  string          // path of the built program
	raceFlag = "-race=false" // passed to the build
)

func TestMain(m *testing.M) {
	if crowd := os.Getenv(crowdVariable); crowd != "" {
		if err := runCrowd(crowd); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	folder, err := emulator.BuildPrograms(raceFlag, ".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(folder, "spanflow")
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

const settings = `{"Azs":["a"],"Kinds":["single","several"],"Classes":[
{"Name":"ticket","Group":"all","Idempotency":"dedup","Sequential":true,"Slo":3000,"HardLimit":24000,"MemorySpan":15000},
{"Name":"payment","Idempotency":"fragile","Slo":3000,"HardLimit":20000},
{"Name":"status","Idempotency":"retryable","Slo":3000,"HardLimit":20000}],
"Extra":{"CallsOut":8,"KindBatch":[1,10]},"Guarantees":{"Cold":10000,"ColdFrom":0.2,"FallMultiple":2,"KeyRest":100},
"Limits":{"AttemptsCap":6,"MaxOpen":%d,"RetryAfter":true,"MaxRetryAfter":2000,"ConnIdle":10000,"ConnectTimeout":1500},
"Report":{"Fields":["x0","x1"]},"Discovery":"ask","WeightKind":"silent","NInstances":1,"Tenants":[]}`

// harness is a forwarder that is configured by the platform's environment variables, with a discovery service and one
// endpoint. The endpoint belongs to destination 7. Destination 9 has only an endpoint in state leaving.
type harness struct {
	t             *testing.T
	discovery     *emulator.Discovery
	endpoint      *emulator.Endpoint
	stateFolder   string
	configFile    string // written by the latest call of environment
	address       string // address for clients in the configuration
	listen        string // address for clients
	queueCapacity int
	diskMB        int
	memoryMB      int
	sockets       int
	replacements  []string          // pairs of a text in the settings and its replacement
	knownList     []byte            // the last known list in the configuration; nil means discovery's current one
	listenSocket  *os.File          // the clients' socket if forwarders inherit it
	process       *emulator.Process // the process started last
}

// newHarness starts everything except the forwarder. The kind of the destinations is "single", or "several" if a call
// may carry several messages.
func newHarness(t *testing.T, kind string) *harness {
	h := &harness{
		t: t, stateFolder: t.TempDir(), address: "127.0.0.1:0", queueCapacity: 100, diskMB: 3, memoryMB: 192, sockets: 256,
	}
	var err error
	h.endpoint, err = emulator.NewEndpoint("", nil)
	require.NoError(t, err)
	h.discovery, err = emulator.NewDiscovery("",
		emulator.Entry{UID: "s1", Endpoint: h.endpoint.Addr, Zone: "a", Kind: kind, Destination: 7, State: "active"},
		emulator.Entry{UID: "s0", Endpoint: "127.0.0.1:9", Zone: "a", Kind: kind, Destination: 9, State: "leaving"})
	require.NoError(t, err)
	return h
}

// activeEntry returns an entry of discovery's list that makes the endpoint an active endpoint of a destination.
func (h *harness) activeEntry(uid string, destination int) emulator.Entry {
	return emulator.Entry{
		UID: uid, Endpoint: h.endpoint.Addr, Zone: "a", Kind: "single", Destination: destination, State: "active",
	}
}

// environment writes the configuration file and returns the environment variables that the platform sets.
func (h *harness) environment() []string {
	replaced := strings.NewReplacer(h.replacements...).Replace(fmt.Sprintf(settings, h.queueCapacity))
	known := h.knownList
	if known == nil {
		known = h.discovery.Known()
	}
	config, err := json.Marshal(map[string]any{
		"name":      "n1",
		"listen":    h.address,
		"discovery": h.discovery.Addr,
		"seed":      "8c1f30d27a5be964",
		"limits":    map[string]any{"cores": 1, "memory_mb": h.memoryMB, "sockets": h.sockets, "disk_mb": h.diskMB},
		"known":     json.RawMessage(known),
		"settings":  json.RawMessage(replaced),
	})
	require.NoError(h.t, err)
	h.configFile = filepath.Join(h.t.TempDir(), "config.json")
	require.NoError(h.t, os.WriteFile(h.configFile, config, 0o600))
	return []string{"PROXY_CONFIG=" + h.configFile, "PROXY_STATE=" + h.stateFolder, "PROXY_DISCOVERY=" + h.discovery.Addr}
}

// start starts the forwarder, waits until it serves clients and connects a client.
func (h *harness) start() *emulator.Client {
	h.t.Helper()
	command := exec.Command(program)
	command.Env = append(os.Environ(), h.environment()...)
	h.process = emulator.StartProcess(h.t, command)
	h.listen = h.process.AwaitReady(h.t)
	return h.client()
}

// client connects to the forwarder and exchanges a PING with it.
func (h *harness) client() *emulator.Client {
	c, err := emulator.NewClient(h.listen)
	require.NoError(h.t, err)
	h.requireReply(c, emulator.Command("PING"), "+PONG")
	return c
}

// requireReply sends raw bytes and requires the answer want.
func (h *harness) requireReply(c *emulator.Client, raw, want string) {
	h.t.Helper()
	got, err := c.Send(raw)
	require.NoError(h.t, err)
	require.Equal(h.t, want, got)
}

// put submits a message and requires the answer want.
func (h *harness) put(c *emulator.Client, key, id, options, want string) {
	h.t.Helper()
	h.requireReply(c, emulator.Command("MSG.PUT", key, id, options, "body of "+id), want)
}

// awaitLog waits until the forwarder's log contains text.
func (h *harness) awaitLog(text string) {
	h.t.Helper()
	h.process.Log.Await(h.t, text)
}

// kill ends the forwarder by SIGKILL.
func (h *harness) kill() { h.process.Kill() }

// stop ends the forwarder by SIGTERM and requires that it ends in time.
func (h *harness) stop() {
	h.t.Helper()
	signalled := time.Now()
	require.NoError(h.t, h.process.Signal(syscall.SIGTERM))
	require.NoError(h.t, h.process.Wait(), "the program must exit by itself with status 0")
	require.Less(h.t, time.Since(signalled), terminationBound)
}

// reload makes the forwarder read its configuration again and waits for a new log line that contains text.
func (h *harness) reload(text string) {
	h.t.Helper()
	h.process.Reload(h.t, text)
}

// nextCall waits for the next call at the endpoint.
func (h *harness) nextCall() emulator.Call {
	h.t.Helper()
	return awaitNext(h, h.endpoint.Calls, "call")
}

func (h *harness) nextNotice() emulator.Notice {
	h.t.Helper()
	return awaitNext(h, h.discovery.Notices, "notice")
}

// awaitNext takes the next arrival from a channel. If nothing arrives within arrivalTimeout, it fails the test with a
// message that names what was expected.
func awaitNext[T any](h *harness, arrivals <-chan T, what string) T {
	h.t.Helper()
	select {
	case arrival := <-arrivals:
		return arrival
	case <-time.After(arrivalTimeout):
		h.t.Fatalf("no %s arrived; log:\n%s", what, h.process.Log)
	}
	panic("unreachable")
}
