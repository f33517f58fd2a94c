package main

import (
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

const (
	lameDuckPeriod = time.Second // for which a forwarder is pinged after what was done to it
	pongReply      = "+PONG"
)

// lameDuckTest is a forwarder that is switched to lame duck mode, and what its clients' load balancer sees.
type lameDuckTest struct {
	*harness
	process *adminProcess

	mu    sync.Mutex
	pongs []time.Time
}

func newLameDuckTest(t *testing.T) *lameDuckTest {
	l := &lameDuckTest{harness: newHarness(t, "single")}
	l.listenSocket = l.inheritedSocket()
	l.process = l.startWithAdmin(l.listenSocket)
	l.process.AwaitReady(t)
	return l
}

// pingUntil pings the forwarder on new connections, as the load balancer does, until end is closed.
func (l *lameDuckTest) pingUntil(end <-chan struct{}) {
	for !stopped(end) {
		if c, err := emulator.NewClient(l.listen); err == nil {
			_ = c.SetDeadline(time.Now().Add(clientPatience))
			if reply, err := c.Send(emulator.Command("PING")); err == nil && reply == pongReply {
				l.mu.Lock()
				l.pongs = append(l.pongs, time.Now())
				l.mu.Unlock()
			}
			_ = c.Close()
		}
		pause(probeInterval, end)
	}
}

// requirePings pings the forwarder for a while and requires that it says yes, or that it does not.
func (l *lameDuckTest) requirePings(yes bool, what string) {
	l.t.Helper()
	l.mu.Lock()
	l.pongs = nil
	l.mu.Unlock()
	time.Sleep(lameDuckPeriod)
	l.mu.Lock()
	defer l.mu.Unlock()
	require.Equal(l.t, yes, len(l.pongs) > 0, "%s; log:\n%s", what, l.harness.process.Log)
}

// operate drains or restores the endpoint.
func (l *lameDuckTest) operate(operation string) {
	l.t.Helper()
	status, text := callAdmin(l.t, l.process.admin, "POST", "/_targets/"+operation+"?name=s1")
	require.Equal(l.t, http.StatusOK, status, text)
}

func (l *lameDuckTest) upgradeOnce() {
	l.process = l.upgrade(l.process, l.listenSocket, func() {})
}

func (l *lameDuckTest) restart(end func()) {
	end()
	l.process = l.startWithAdmin(l.listenSocket)
	l.process.AwaitReady(l.t)
}

func (l *lameDuckTest) kill() { l.process.Kill() }

func (l *lameDuckTest) terminate() {
	require.NoError(l.t, l.process.Signal(syscall.SIGTERM))
	require.NoError(l.t, l.process.Wait())
}

// Guards against review case 9: an upgrade ended the emptying of a forwarder, and PING was answered +PONG. An endpoint is
// drained as well, and stays so.
func TestLameDuckModeIsKeptUntilSecondCall(t *testing.T) {
	for name, event := range map[string]func(l *lameDuckTest){
		"upgrade":                  (*lameDuckTest).upgradeOnce,
		"two upgrades":             func(l *lameDuckTest) { l.upgradeOnce(); l.upgradeOnce() },
		"SIGTERM":                  func(l *lameDuckTest) { l.restart(l.terminate) },
		"SIGKILL":                  func(l *lameDuckTest) { l.restart(l.kill) },
		"SIGKILL, then an upgrade": func(l *lameDuckTest) { l.restart(l.kill); l.upgradeOnce() },
		"SIGKILL in place of the upgrade's SIGTERM": func(l *lameDuckTest) {
			successor := l.startSuccessor(l.listenSocket)
			l.process.Kill()
			l.process = successor
			successor.AwaitReady(l.t)
		},
		"reload": func(l *lameDuckTest) { l.reload(logReloaded) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newLameDuckTest(t)
			l.lameDuck(l.process, "on")
			l.operate("detach")
			end := make(chan struct{})
			var pinging sync.WaitGroup
			pinging.Go(func() { l.pingUntil(end) })
			event(l)
			l.requirePings(false, "lame duck mode is on")
			require.Equal(t, "1|g", adminVars(t, l.process.admin)["proxy.lame_duck"])
			require.Equal(t, "1|g", adminVars(t, l.process.admin)["proxy.out_of_rotation"], "the endpoint is drained")
			l.lameDuck(l.process, "off")
			l.operate("attach")
			l.requirePings(true, "lame duck mode is off")
			require.Equal(t, "0|g", adminVars(t, l.process.admin)["proxy.lame_duck"])
			event(l)
			l.requirePings(true, "lame duck mode stays off")
			require.Equal(t, "0|g", adminVars(t, l.process.admin)["proxy.out_of_rotation"], "the endpoint stays restored")
			close(end)
			pinging.Wait()
		})
	}
}

// Calls that reach either process of an upgrade count in the order in which they are made.
func TestLameDuckCallsAtEitherProcessOfUpgrade(t *testing.T) {
	for calls, on := range map[string]bool{
		"new on":                  true,
		"old on":                  true,
		"new on, old off":         false,
		"old on, new off":         false,
		"new on, new off":         false,
		"old on, new off, old on": true,
		"new on, old off, new on": true,
	} {
		t.Run(calls, func(t *testing.T) {
			t.Parallel()
			l := newLameDuckTest(t)
			successor := l.startSuccessor(l.listenSocket)
			processes := map[string]*adminProcess{"old": l.process, "new": successor}
			for call := range strings.SplitSeq(calls, ", ") {
				process, word, _ := strings.Cut(call, " ")
				l.lameDuck(processes[process], word)
			}
			end := make(chan struct{})
			var pinging sync.WaitGroup
			pinging.Go(func() { l.pingUntil(end) })
			time.Sleep(lameDuckPeriod) // the old process takes up commands from the folder now and then
			l.requirePings(!on, "at the old process")
			require.NoError(t, l.process.Signal(syscall.SIGTERM))
			require.NoError(t, l.process.Wait())
			successor.AwaitReady(t)
			l.requirePings(!on, "at the new process")
			close(end)
			pinging.Wait()
		})
	}
}

// A call that reaches the new process while the old one hands over counts.
func TestLameDuckCallWhileHandingOver(t *testing.T) {
	l := newLameDuckTest(t)
	hold := make(chan struct{})
	l.endpoint.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	c := l.client()
	l.put(c, noKey, "out", "c=status,d=20000,dest=7", "+OK")
	l.nextCall()
	successor := l.startSuccessor(l.listenSocket)
	require.NoError(t, l.process.Signal(syscall.SIGTERM))
	l.process.Log.Await(t, logHandingOver)
	l.lameDuck(successor, "on")
	close(hold)
	require.NoError(t, l.process.Wait())
	successor.AwaitReady(t)
	reply, err := l.clientWithoutPing().Send(emulator.Command("PING"))
	require.NoError(t, err)
	require.NotEqual(t, pongReply, reply)
}

func (h *harness) clientWithoutPing() *emulator.Client {
	c, err := emulator.NewClient(h.listen)
	require.NoError(h.t, err)
	return c
}

// A call that cannot be recorded is answered with no and changes nothing.
func TestLameDuckCallThatCannotBeRecordedIsRefused(t *testing.T) {
	l := newLameDuckTest(t)
	removed := l.stateFolder + ".away"
	require.NoError(t, os.Rename(l.stateFolder, removed))
	status, text := callAdmin(t, l.process.admin, "POST", "/_lameduck/on")
	require.Equal(t, http.StatusInternalServerError, status, text)
	require.NoError(t, os.Rename(removed, l.stateFolder))
	l.requireReply(l.client(), emulator.Command("PING"), pongReply)
	l.lameDuck(l.process, "on")
}
