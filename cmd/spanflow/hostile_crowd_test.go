package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

const (
	crowdVariable    = "TEST_HOSTILE_CROWD" // environment variable with the crowd that a process of this program runs
	crowdStarted     = "hostile clients connect"
	crowdDialTimeout = time.Second
)

// hostileClientCount is a number of hostile clients of a kind, which connect again whenever their connections end.
type hostileClientCount struct {
	Kind  string // key of hostileClients
	Count int
}

// hostileCrowd describes the hostile clients of one process.
type hostileCrowd struct {
	Address string // of the forwarder
	Clients []hostileClientCount
}

// crowdProcess is a running process of hostile clients. They have a process of their own, so that an ordinary client of
// the test does not wait until the test program gives it a turn among hundreds of them.
type crowdProcess struct {
	process *emulator.Process
	input   io.Closer // the process ends when the test program does
}

// startCrowd starts hostile clients that connect to the forwarder, and returns when they begin to.
func (h *harness) startCrowd(clients ...hostileClientCount) *crowdProcess {
	h.t.Helper()
	description, err := json.Marshal(hostileCrowd{Address: h.listen, Clients: clients})
	require.NoError(h.t, err)
	self, err := os.Executable()
	require.NoError(h.t, err)
	command := exec.Command(self)
	command.Env = append(os.Environ(), crowdVariable+"="+string(description))
	input, err := command.StdinPipe()
	require.NoError(h.t, err)
	crowd := &crowdProcess{process: emulator.StartProcess(h.t, command), input: input}
	crowd.process.Log.Await(h.t, crowdStarted)
	return crowd
}

// end ends the process. The kernel closes its connections.
func (c *crowdProcess) end() {
	c.process.Kill()
	_ = c.input.Close()
}

// runCrowd runs the crowd of a description until the standard input ends. The clients get at most half of the processors,
// so that the forwarder has the one that it is meant to have.
func runCrowd(description string) error {
	var crowd hostileCrowd
	if err := json.Unmarshal([]byte(description), &crowd); err != nil {
		return fmt.Errorf("%s: %w", crowdVariable, err)
	}
	runtime.GOMAXPROCS(max(1, runtime.NumCPU()/2))
	_, _ = fmt.Fprintln(os.Stderr, crowdStarted)
	number := 0
	for _, clients := range crowd.Clients {
		for range clients.Count {
			go runHostileClient(hostileClients[clients.Kind], crowd.Address, number)
			number++
		}
	}
	_, err := io.Copy(io.Discard, os.Stdin)
	return err
}

// runHostileClient runs a hostile client on one connection after another.
func runHostileClient(hostile hostileClient, address string, number int) {
	for attempt := 0; ; attempt++ {
		if conn, err := net.DialTimeout("tcp", address, crowdDialTimeout); err == nil {
			hostile(conn, number, attempt)
			_ = conn.Close()
		}
		time.Sleep(hostilePause)
	}
}
