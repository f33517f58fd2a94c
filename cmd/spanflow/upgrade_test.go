package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// A successor starts with the same socket and folder. When it is ready, the predecessor gets SIGTERM. Every message
// that is submitted before, during and after the upgrade reaches the endpoint once, and none is rejected.
func TestUpgradeLosesNoMessage(t *testing.T) {
	h := newHarness(t, "single")
	hold := make(chan struct{})
	var once sync.Once
	h.endpoint.Do(func(c emulator.Call) emulator.Reply {
		if c.ID == "d5" { // in progress when the predecessor gets SIGTERM
			return emulator.Reply{Hold: hold}
		}
		return emulator.Reply{}
	})
	socket := h.inheritedSocket()
	predecessor := h.startWithAdmin(socket)
	predecessor.AwaitReady(t)

	sent := 0
	put := func(n int) {
		for range n {
			c, err := emulator.NewClient(h.listen)
			require.NoError(t, err)
			got, err := c.Put(noKey, fmt.Sprint("d", sent), "c=status,d=8000,dest=7", "b")
			require.NoError(t, err)
			require.Equal(t, "+OK", got, "d%d", sent)
			c.Close()
			sent++
		}
	}
	put(10)
	successor := h.upgrade(predecessor, socket, func() {
		put(10) // accepted by the predecessor and handed over, or accepted by the successor
		once.Do(func() { close(hold) })
	})
	put(10)
	seen := map[string]int{}
	for len(seen) < sent {
		select {
		case c := <-h.endpoint.Calls:
			seen[c.ID]++
		case <-time.After(10 * time.Second):
			t.Fatalf("%d of %d messages arrived; predecessor:\n%s\nsuccessor:\n%s",
				len(seen), sent, predecessor.Log.String(), successor.Log.String())
		}
	}
	for id, n := range seen {
		require.Equal(t, 1, n, "%s arrived %d times", id, n)
	}
	require.True(t, predecessor.Log.Has(logHandingOver))
}

// All processes that share a socket share its blocking mode. Here the parent process sets the inherited socket to
// blocking mode, as starting a second process with it also does, so that accept blocks in the kernel until a connection
// arrives. Guards against a fault in which closing the socket waited for that accept, and the event loop was blocked
// from the log line "handing over" until the process was killed.
func TestHandoverCompletesWithBlockingSocket(t *testing.T) {
	h := newHarness(t, "single")
	socket := h.inheritedSocket()
	predecessor := h.startWithAdmin(socket)
	predecessor.AwaitReady(t)
	require.NoError(t, syscall.SetNonblock(int(socket.Fd()), false))
	c := h.client() // once the client is connected, the process blocks in accept
	defer c.Close()
	h.put(c, noKey, "d1", "c=status,d=8000,dest=7", "+OK")
	h.nextCall()
	h.stop()
	require.True(t, predecessor.Log.Has(logHandingOver))
	require.True(t, predecessor.Log.Has(`"message":"end"`), predecessor.Log.String())
}

// An endpoint drained by an operator gets no new calls, not even from the successor, until it is restored. A command
// with an unknown endpoint id is answered with an error.
func TestDrainedEndpointStaysDrainedAcrossUpgrade(t *testing.T) {
	h := newHarness(t, "single")
	socket := h.inheritedSocket()
	predecessor := h.startWithAdmin(socket)
	predecessor.AwaitReady(t)
	code, text := callAdmin(t, predecessor.admin, "POST", "/_targets/detach?name=nobody")
	require.Equal(t, http.StatusNotFound, code, text)
	for range 2 { // a single restore command reverses two drain commands
		code, text = callAdmin(t, predecessor.admin, "POST", "/_targets/detach?name=s1")
		require.Equal(t, http.StatusOK, code, text)
	}
	c := h.client()
	h.put(c, noKey, "d1", "c=status,d=20000,dest=7", "+OK")
	c.Close()
	successor := h.upgrade(predecessor, socket, func() {})
	c = h.client()
	h.put(c, noKey, "d2", "c=status,d=20000,dest=7", "+OK")
	h.requireNoCall()
	code, text = callAdmin(t, successor.admin, "POST", "/_targets/attach?name=s1")
	require.Equal(t, http.StatusOK, code, text)
	got := []string{h.nextCall().ID, h.nextCall().ID}
	require.ElementsMatch(t, []string{"d1", "d2"}, got)
}

// An endpoint answers the predecessor with Retry-After. The successor sends the message again only after that time.
func TestRetryAfterIsKeptAcrossUpgrade(t *testing.T) {
	h := newHarness(t, "single")
	var rejectedAt atomic.Int64
	h.endpoint.Do(func(c emulator.Call) emulator.Reply {
		if c.ID == "d1" && rejectedAt.CompareAndSwap(0, time.Now().UnixNano()) {
			return emulator.Reply{Status: 429, Fields: map[string]string{"Retry-After": "3"}}
		}
		return emulator.Reply{}
	})
	socket := h.inheritedSocket()
	predecessor := h.startWithAdmin(socket)
	predecessor.AwaitReady(t)
	c := h.client()
	h.put(c, noKey, "d1", "c=status,d=20000,dest=7", "+OK")
	c.Close()
	require.Equal(t, "d1", h.nextCall().ID) // answered with Retry-After
	h.upgrade(predecessor, socket, func() {})
	again := h.nextCall()
	require.Equal(t, "d1", again.ID)
	waited := time.Since(time.Unix(0, rejectedAt.Load()))
	require.GreaterOrEqual(t, waited, 3*time.Second, "sent again before Retry-After was over")
}

// An operator sends a drain command to the successor of an upgrade while the predecessor still owns the folder. Neither
// process sends calls to the endpoint until it is restored.
func TestDrainCommandToSuccessorReachesPredecessor(t *testing.T) {
	h := newHarness(t, "single")
	h.listenSocket = h.inheritedSocket()
	predecessor := h.startWithAdmin(h.listenSocket)
	predecessor.AwaitReady(t)
	successor := h.startSuccessor(h.listenSocket)
	code, text := callAdmin(t, successor.admin, "POST", "/_targets/detach?name=nobody")
	require.Equal(t, http.StatusNotFound, code, text)
	for range 2 {
		code, text = callAdmin(t, successor.admin, "POST", "/_targets/detach?name=s1")
		require.Equal(t, http.StatusOK, code, text)
	}
	predecessor.Log.Await(t, logDrainChanged)
	c := h.client()
	h.put(c, noKey, "d1", "c=status,d=20000,dest=7", "+OK")
	c.Close()
	h.requireNoCall()
	got := adminVars(t, successor.admin)
	require.Equal(t, "1|g", got["proxy.out_of_rotation"], "the successor knows of the command before it serves clients")
	require.Equal(t, "0|c", got["proxy.fulfilled.status"])
	require.Equal(t, "1|g", adminVars(t, predecessor.admin)["proxy.open_requests"])

	require.NoError(t, predecessor.Signal(syscall.SIGTERM))
	require.NoError(t, predecessor.Wait())
	successor.AwaitReady(t)
	h.requireNoCall()
	code, text = callAdmin(t, successor.admin, "POST", "/_targets/attach?name=s1")
	require.Equal(t, http.StatusOK, code, text)
	require.Equal(t, "d1", h.nextCall().ID)
}

// The predecessor hangs and is killed before it reads its command spool. The successor applies the spooled drain
// command itself before it sends any call. The command that puts the successor in lame duck mode takes effect too.
func TestSpooledDrainCommandAppliesToSuccessor(t *testing.T) {
	h := newHarness(t, "single")
	h.listenSocket = h.inheritedSocket()
	predecessor := h.startWithAdmin(h.listenSocket)
	predecessor.AwaitReady(t)
	c := h.client()
	successor := h.startSuccessor(h.listenSocket)
	require.NoError(t, predecessor.Signal(syscall.SIGSTOP))
	code, text := callAdmin(t, successor.admin, "POST", "/_targets/detach?name=s1")
	require.Equal(t, http.StatusOK, code, text)
	code, text = callAdmin(t, successor.admin, "POST", "/_lameduck/on")
	require.Equal(t, http.StatusOK, code, text)
	predecessor.Kill()
	c.Close()
	successor.AwaitReady(t)
	require.Equal(t, "1|g", adminVars(t, successor.admin)["proxy.out_of_rotation"])
	code, text = callAdmin(t, successor.admin, "POST", "/_lameduck/off")
	require.Equal(t, http.StatusOK, code, text)
	c = h.client()
	h.put(c, noKey, "d1", "c=status,d=20000,dest=7", "+OK")
	h.requireNoCall()
	require.True(t, successor.Log.Has(`"lameduck":true`))
	require.False(t, predecessor.Log.Has(logDrainChanged))
}
