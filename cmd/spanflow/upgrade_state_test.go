package main

import (
	"fmt"
	"math"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// To endpoints, discovery and operators the two processes of an upgrade are one forwarder: what the first was told
// binds the second, which has the list as it was when its configuration was written.

// Guards against an upgrade that forgets a drain by the list, of which the first process was told.
func TestEndpointThatBeganToDrainDuringUpgradeGetsNoCall(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		t.Run(fmt.Sprint("discovery reachable ", reachable), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, "single")
			h.listenSocket = h.inheritedSocket()
			first := h.startWithAdmin(h.listenSocket)
			first.AwaitReady(t)
			second := h.startBeside(h.listenSocket)
			leaving := h.activeEntry("s1", 7)
			leaving.State = "leaving"
			h.discovery.Set(leaving)
			c := h.client()
			h.awaitList(c)
			h.put(c, zero, "d1", "c=status,d=20000,dest=7", "+OK")
			c.Close()
			h.requireNoCall() // the first process was told
			h.discovery.SetListUnavailable(!reachable)
			require.NoError(t, first.Signal(syscall.SIGTERM))
			require.NoError(t, first.Wait())
			second.AwaitReady(t)
			h.requireNoCall()
		})
	}
}

// awaitList waits until the forwarder has the present list.
func (h *harness) awaitList(c *emulator.Client) {
	h.t.Helper()
	const destination = 8 // new: messages for it are refused until its endpoint is known
	h.discovery.Set(h.activeEntry("latest", destination))
	known := func() bool {
		answer, err := c.Put(zero, "latest", fmt.Sprintf("c=status,d=20000,dest=%d", destination), "b")
		require.NoError(h.t, err)
		return answer == "+OK"
	}
	require.Eventually(h.t, known, arrivalTimeout, 5*time.Millisecond)
	require.Equal(h.t, "latest", h.nextCall().ID)
}

const (
	capacity       = 5.0                     // calls a second that the endpoint takes when it is warm
	submitInterval = 200 * time.Millisecond  // between two messages: its capacity
	coldObserved   = 1500 * time.Millisecond // from the moment at which the next process has the folder
	failingFor     = 4 * time.Second         // a silence of under three seconds is no outage to the scheduler
)

// slowStartBudget is the number of calls that may reach a cold endpoint within coldObserved from its return: N by the
// settings of the harness, and 3 x root of N + 3 for chance, as N is under 30.
func slowStartBudget() int {
	const overloadMultiple, slowStartShare, slowStartSeconds = 2, 0.2, 10
	share := slowStartShare + (1-slowStartShare)*coldObserved.Seconds()/2/slowStartSeconds // on average
	n := overloadMultiple * capacity * share * coldObserved.Seconds()
	return int(n + 3*math.Sqrt(n) + 3)
}

// Guards against an upgrade that forgets ejections and slow starts: all that waited went out at once.
func TestReturningEndpointIsNotOverloadedAcrossUpgrade(t *testing.T) {
	for name, play := range map[string]func(*harness, *adminProcess) *adminProcess{
		"failing until the upgrade":                upgradeWhileFailing,
		"restored by operators before the upgrade": upgradeAfterRestore,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, "single")
			h.listenSocket = h.inheritedSocket()
			first := h.startWithAdmin(h.listenSocket)
			first.AwaitReady(t)
			h.submitEvery(submitInterval, 2*time.Second, "before")
			play(h, first).AwaitReady(t)
			require.LessOrEqual(t, h.callsWithin(coldObserved), slowStartBudget())
		})
	}
}

// upgradeWhileFailing has the endpoint fail all calls until the first process has ended.
func upgradeWhileFailing(h *harness, first *adminProcess) *adminProcess {
	h.endpoint.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Status: http.StatusInternalServerError} })
	h.submitEvery(submitInterval/2, failingFor, "failing")
	first.Log.Await(h.t, "> sick")
	second := h.startBeside(h.listenSocket)
	require.NoError(h.t, first.Signal(syscall.SIGTERM))
	require.NoError(h.t, first.Wait())
	h.endpoint.Do(nil)
	return second
}

// upgradeAfterRestore has operators drain the endpoint, and restore it just before the upgrade.
func upgradeAfterRestore(h *harness, first *adminProcess) *adminProcess {
	code, text := callAdmin(h.t, first.admin, "POST", "/_targets/detach?name=s1")
	require.Equal(h.t, http.StatusOK, code, text)
	h.submitEvery(submitInterval/2, failingFor, "drained")
	code, text = callAdmin(h.t, first.admin, "POST", "/_targets/attach?name=s1")
	require.Equal(h.t, http.StatusOK, code, text)
	return h.upgrade(first, h.listenSocket, func() {})
}

// submitEvery submits messages for destination 7 at an interval.
func (h *harness) submitEvery(interval, duration time.Duration, prefix string) {
	h.t.Helper()
	c := h.client()
	defer c.Close()
	for i := range int(duration / interval) {
		h.put(c, zero, fmt.Sprint(prefix, i), "c=status,d=20000,dest=7", "+OK")
		time.Sleep(interval)
	}
}

// callsWithin counts the calls that the endpoint gets from now on.
func (h *harness) callsWithin(duration time.Duration) (calls int) {
	for len(h.endpoint.Calls) > 0 {
		<-h.endpoint.Calls
	}
	for end := time.After(duration); ; {
		select {
		case <-h.endpoint.Calls:
			calls++
		case <-end:
			return calls
		}
	}
}

// Guards against an upgrade that forgets a Retry-After if the first process is killed before its calls end.
func TestRetryAfterIsKeptWhenFirstProcessIsKilledWhileHandingOver(t *testing.T) {
	const wait = 3 * time.Second
	h := newHarness(t, "single")
	h.listenSocket = h.inheritedSocket()
	hanging, err := emulator.NewEndpoint("", func(emulator.Call) emulator.Reply {
		return emulator.Reply{Hold: make(chan struct{})}
	})
	require.NoError(t, err)
	entry := h.activeEntry("hanging", 8)
	entry.Endpoint = hanging.Addr
	h.discovery.Set(entry)
	h.endpoint.Do(func(emulator.Call) emulator.Reply {
		return emulator.Reply{Status: http.StatusTooManyRequests, Fields: map[string]string{"Retry-After": "3"}}
	})
	first := h.startWithAdmin(h.listenSocket)
	first.AwaitReady(t)
	second := h.startBeside(h.listenSocket)
	c := h.client()
	h.put(c, zero, "out", "c=status,d=20000,dest=8", "+OK")
	h.put(c, zero, "d1", "c=status,d=20000,dest=7", "+OK")
	c.Close()
	require.Equal(t, "d1", h.nextCall().ID)
	told := time.Now()
	h.endpoint.Do(nil)
	first.Log.Await(t, `"result":"waiting"`)
	require.NoError(t, first.Signal(syscall.SIGTERM))
	first.Log.Await(t, logHandingOver)
	time.Sleep(200 * time.Millisecond)
	first.Kill()
	second.AwaitReady(t)
	require.Equal(t, "d1", h.nextCall().ID)
	require.GreaterOrEqual(t, time.Since(told), wait)
}
