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

// To endpoints, discovery and operators, the two processes of an upgrade are one forwarder. The answers, lists and
// commands that the predecessor has received from them apply to the successor too, although the successor starts with
// the endpoint list in its configuration, which may be out of date.

// Guards against an upgrade after which an endpoint gets calls although the predecessor's list marked it as leaving.
func TestEndpointDrainedDuringUpgradeGetsNoCall(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		t.Run(fmt.Sprint("discovery reachable ", reachable), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, "single")
			h.listenSocket = h.inheritedSocket()
			predecessor := h.startWithAdmin(h.listenSocket)
			predecessor.AwaitReady(t)
			successor := h.startSuccessor(h.listenSocket)
			leaving := h.activeEntry("s1", 7)
			leaving.State = "leaving"
			h.discovery.Set(leaving)
			c := h.client()
			h.awaitList(c)
			h.put(c, noKey, "d1", "c=status,d=20000,dest=7", "+OK")
			c.Close()
			h.requireNoCall() // the predecessor has the new list
			h.discovery.SetListUnavailable(!reachable)
			require.NoError(t, predecessor.Signal(syscall.SIGTERM))
			require.NoError(t, predecessor.Wait())
			successor.AwaitReady(t)
			h.requireNoCall()
		})
	}
}

// awaitList waits until the forwarder has the current list.
func (h *harness) awaitList(c *emulator.Client) {
	h.t.Helper()
	const destination = 8 // a new destination, whose messages are rejected until the forwarder knows its endpoint
	h.discovery.Set(h.activeEntry("latest", destination))
	known := func() bool {
		answer, err := c.Put(noKey, "latest", fmt.Sprintf("c=status,d=20000,dest=%d", destination), "b")
		require.NoError(h.t, err)
		return answer == "+OK"
	}
	require.Eventually(h.t, known, arrivalTimeout, 5*time.Millisecond)
	require.Equal(h.t, "latest", h.nextCall().ID)
}

const (
	capacity          = 5.0                     // calls per second that the endpoint accepts after its slow start
	submitInterval    = 200 * time.Millisecond  // between two messages, at the endpoint's capacity
	slowStartObserved = 1500 * time.Millisecond // period observed, from the moment when the successor owns the folder
	outageDuration    = 4 * time.Second         // the scheduler does not treat less than 3 s as an outage
)

// slowStartBudget returns the maximum number of calls that an endpoint may get within slowStartObserved after its
// recovery. This is the number N that follows from the settings of the harness, plus a margin for random variation of
// 3 * sqrt(N) + 3; the constant is added because N is below 30.
func slowStartBudget() int {
	const overloadMultiple, slowStartShare, slowStartSeconds = 2, 0.2, 10
	share := slowStartShare + (1-slowStartShare)*slowStartObserved.Seconds()/2/slowStartSeconds // on average
	n := overloadMultiple * capacity * share * slowStartObserved.Seconds()
	return int(n + 3*math.Sqrt(n) + 3)
}

// Guards against an upgrade in which the successor does not know of ejected endpoints and slow starts, and sends all
// queued messages at once.
func TestRecoveringEndpointIsNotOverloadedAcrossUpgrade(t *testing.T) {
	for name, upgrade := range map[string]func(*harness, *adminProcess) *adminProcess{
		"failing until the upgrade":                upgradeWhileFailing,
		"restored by operators before the upgrade": upgradeAfterRestore,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, "single")
			h.listenSocket = h.inheritedSocket()
			predecessor := h.startWithAdmin(h.listenSocket)
			predecessor.AwaitReady(t)
			h.submitEvery(submitInterval, 2*time.Second, "before")
			upgrade(h, predecessor).AwaitReady(t)
			require.LessOrEqual(t, h.callsWithin(slowStartObserved), slowStartBudget())
		})
	}
}

// upgradeWhileFailing makes the endpoint fail all calls until the predecessor has ended.
func upgradeWhileFailing(h *harness, predecessor *adminProcess) *adminProcess {
	h.endpoint.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Status: http.StatusInternalServerError} })
	h.submitEvery(submitInterval/2, outageDuration, "failing")
	predecessor.Log.Await(h.t, "> sick")
	successor := h.startSuccessor(h.listenSocket)
	require.NoError(h.t, predecessor.Signal(syscall.SIGTERM))
	require.NoError(h.t, predecessor.Wait())
	h.endpoint.Do(nil)
	return successor
}

// upgradeAfterRestore drains the endpoint by an admin command and restores it just before the upgrade.
func upgradeAfterRestore(h *harness, predecessor *adminProcess) *adminProcess {
	code, text := callAdmin(h.t, predecessor.admin, "POST", "/_targets/detach?name=s1")
	require.Equal(h.t, http.StatusOK, code, text)
	h.submitEvery(submitInterval/2, outageDuration, "drained")
	code, text = callAdmin(h.t, predecessor.admin, "POST", "/_targets/attach?name=s1")
	require.Equal(h.t, http.StatusOK, code, text)
	return h.upgrade(predecessor, h.listenSocket, func() {})
}

// submitEvery submits messages for destination 7 at an interval until duration is over.
func (h *harness) submitEvery(interval, duration time.Duration, prefix string) {
	h.t.Helper()
	c := h.client()
	defer c.Close()
	for i := range int(duration / interval) {
		h.put(c, noKey, fmt.Sprint(prefix, i), "c=status,d=20000,dest=7", "+OK")
		time.Sleep(interval)
	}
}

// callsWithin counts the calls that the endpoint gets within duration, starting now.
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

// Guards against an upgrade that loses a Retry-After if the predecessor is killed before its calls end.
func TestRetryAfterIsKeptWhenPredecessorIsKilledDuringHandover(t *testing.T) {
	const retryAfter = 3 * time.Second
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
	predecessor := h.startWithAdmin(h.listenSocket)
	predecessor.AwaitReady(t)
	successor := h.startSuccessor(h.listenSocket)
	c := h.client()
	h.put(c, noKey, "out", "c=status,d=20000,dest=8", "+OK")
	h.put(c, noKey, "d1", "c=status,d=20000,dest=7", "+OK")
	c.Close()
	require.Equal(t, "d1", h.nextCall().ID)
	rejectedAt := time.Now()
	h.endpoint.Do(nil)
	predecessor.Log.Await(t, `"result":"waiting"`)
	require.NoError(t, predecessor.Signal(syscall.SIGTERM))
	predecessor.Log.Await(t, logHandingOver)
	time.Sleep(200 * time.Millisecond)
	predecessor.Kill()
	successor.AwaitReady(t)
	require.Equal(t, "d1", h.nextCall().ID)
	require.GreaterOrEqual(t, time.Since(rejectedAt), retryAfter)
}
