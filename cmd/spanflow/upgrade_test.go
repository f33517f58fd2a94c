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

// A second process starts beside the first on the same socket and folder and is ready, and the first gets SIGTERM:
// every message submitted before, during and after reaches the endpoint once, and none is rejected.
func TestUpgradeBesideRunningProcessLosesNoMessage(t *testing.T) {
	h := newHarness(t, "single")
	hold := make(chan struct{})
	var once sync.Once
	h.endpoint.Do(func(c emulator.Call) emulator.Reply {
		if c.ID == "d5" { // out while the first process gets SIGTERM
			return emulator.Reply{Hold: hold}
		}
		return emulator.Reply{}
	})
	socket := h.inheritedSocket()
	first := h.startWithAdmin(socket)
	first.AwaitReady(t)

	sent := 0
	put := func(n int) {
		for range n {
			c, err := emulator.NewClient(h.listen)
			require.NoError(t, err)
			got, err := c.Put(zero, fmt.Sprint("d", sent), "c=status,d=8000,dest=7", "b")
			require.NoError(t, err)
			require.Equal(t, "+OK", got, "d%d", sent)
			c.Close()
			sent++
		}
	}
	put(10)
	second := h.upgrade(first, socket, func() {
		put(10) // accepted by the first and kept for the second, or accepted by the second
		once.Do(func() { close(hold) })
	})
	put(10)
	seen := map[string]int{}
	for len(seen) < sent {
		select {
		case c := <-h.endpoint.Calls:
			seen[c.ID]++
		case <-time.After(10 * time.Second):
			t.Fatalf("%d of %d messages came; first:\n%s\nsecond:\n%s", len(seen), sent, first.Log.String(), second.Log.String())
		}
	}
	for id, n := range seen {
		require.Equal(t, 1, n, "%s came %d times", id, n)
	}
	require.True(t, first.Log.Has(logHandingOver))
}

// The mode of a socket belongs to all processes that share it. Here the one that handed it down puts it back into
// blocking mode, as starting a second process with it does, so that accepting waits in the system for a connection that
// does not come. Closing the socket waited for that: the event loop stood still from the line "handing over" on, to the
// kill.
func TestProcessHandsOverThoughItsSocketWasPutIntoBlockingMode(t *testing.T) {
	h := newHarness(t, "single")
	socket := h.inheritedSocket()
	first := h.startWithAdmin(socket)
	first.AwaitReady(t)
	require.NoError(t, syscall.SetNonblock(int(socket.Fd()), false))
	c := h.client() // after it the process waits for the next connection
	defer c.Close()
	h.put(c, zero, "d1", "c=status,d=8000,dest=7", "+OK")
	h.nextCall()
	h.stop()
	require.True(t, first.Log.Has(logHandingOver))
	require.True(t, first.Log.Has(`"message":"end"`), first.Log.String())
}

// An endpoint that operators drain gets nothing new, also from the process that replaces the first, until it is
// undrained; an unknown id is answered with an error.
func TestDrainedEndpointStaysDrainedAcrossUpgrade(t *testing.T) {
	h := newHarness(t, "single")
	socket := h.inheritedSocket()
	first := h.startWithAdmin(socket)
	first.AwaitReady(t)
	code, text := callAdmin(t, first.admin, "POST", "/_targets/detach?name=nobody")
	require.Equal(t, http.StatusNotFound, code, text)
	for range 2 { // two drain commands need one to undrain
		code, text = callAdmin(t, first.admin, "POST", "/_targets/detach?name=s1")
		require.Equal(t, http.StatusOK, code, text)
	}
	c := h.client()
	h.put(c, zero, "d1", "c=status,d=20000,dest=7", "+OK")
	c.Close()
	second := h.upgrade(first, socket, func() {})
	c = h.client()
	h.put(c, zero, "d2", "c=status,d=20000,dest=7", "+OK")
	h.requireNoCall()
	code, text = callAdmin(t, second.admin, "POST", "/_targets/attach?name=s1")
	require.Equal(t, http.StatusOK, code, text)
	got := []string{h.nextCall().ID, h.nextCall().ID}
	require.ElementsMatch(t, []string{"d1", "d2"}, got)
}

// An endpoint answers the first process with Retry-After; the process that replaces it in an upgrade sends again only
// after that time.
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
	first := h.startWithAdmin(socket)
	first.AwaitReady(t)
	c := h.client()
	h.put(c, zero, "d1", "c=status,d=20000,dest=7", "+OK")
	c.Close()
	require.Equal(t, "d1", h.nextCall().ID) // answered with Retry-After
	h.upgrade(first, socket, func() {})
	again := h.nextCall()
	require.Equal(t, "d1", again.ID)
	waited := time.Since(time.Unix(0, rejectedAt.Load()))
	require.GreaterOrEqual(t, waited, 3*time.Second, "sent again before Retry-After is over")
}

// Operators call the new process of an upgrade while the old one still owns the folder: an endpoint drained there gets
// nothing from the old one either, and nothing from the new one, until it is undrained.
func TestDrainCommandToNewProcessReachesOldOne(t *testing.T) {
	h := newHarness(t, "single")
	h.listenSocket = h.inheritedSocket()
	first := h.startWithAdmin(h.listenSocket)
	first.AwaitReady(t)
	second := h.startBeside(h.listenSocket)
	code, text := callAdmin(t, second.admin, "POST", "/_targets/detach?name=nobody")
	require.Equal(t, http.StatusNotFound, code, text)
	for range 2 {
		code, text = callAdmin(t, second.admin, "POST", "/_targets/detach?name=s1")
		require.Equal(t, http.StatusOK, code, text)
	}
	first.Log.Await(t, logDrainChanged)
	c := h.client()
	h.put(c, zero, "d1", "c=status,d=20000,dest=7", "+OK")
	c.Close()
	h.requireNoCall()
	got := adminVars(t, second.admin)
	require.Equal(t, "1|g", got["proxy.out_of_rotation"], "it knows of the command though it serves nobody yet")
	require.Equal(t, "0|c", got["proxy.fulfilled.status"])
	require.Equal(t, "1|g", adminVars(t, first.admin)["proxy.open_requests"])

	require.NoError(t, first.Signal(syscall.SIGTERM))
	require.NoError(t, first.Wait())
	second.AwaitReady(t)
	h.requireNoCall()
	code, text = callAdmin(t, second.admin, "POST", "/_targets/attach?name=s1")
	require.Equal(t, http.StatusOK, code, text)
	require.Equal(t, "d1", h.nextCall().ID)
}

// The old process hangs and is killed before it reads the commands spooled for it: the new one applies them itself
// before it sends anything. The command that makes the new process a lame duck also holds.
func TestDrainCommandUnreadByOldProcessAppliesToNewOne(t *testing.T) {
	h := newHarness(t, "single")
	h.listenSocket = h.inheritedSocket()
	first := h.startWithAdmin(h.listenSocket)
	first.AwaitReady(t)
	c := h.client()
	second := h.startBeside(h.listenSocket)
	require.NoError(t, first.Signal(syscall.SIGSTOP))
	code, text := callAdmin(t, second.admin, "POST", "/_targets/detach?name=s1")
	require.Equal(t, http.StatusOK, code, text)
	code, text = callAdmin(t, second.admin, "POST", "/_lameduck/on")
	require.Equal(t, http.StatusOK, code, text)
	first.Kill()
	c.Close()
	second.AwaitReady(t)
	require.Equal(t, "1|g", adminVars(t, second.admin)["proxy.out_of_rotation"])
	code, text = callAdmin(t, second.admin, "POST", "/_lameduck/off")
	require.Equal(t, http.StatusOK, code, text)
	c = h.client()
	h.put(c, zero, "d1", "c=status,d=20000,dest=7", "+OK")
	h.requireNoCall()
	require.True(t, second.Log.Has(`"lameduck":true`))
	require.False(t, first.Log.Has(logDrainChanged))
}
