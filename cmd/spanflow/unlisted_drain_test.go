package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// unlistedTest is a forwarder and an endpoint of destination 7 that discovery does not list yet. The other endpoint of the
// destination does not answer, so that the new one would get calls at once.
type unlistedTest struct {
	*harness
	process *adminProcess
	late    *emulator.Endpoint
}

func newUnlistedTest(t *testing.T) *unlistedTest {
	u := &unlistedTest{harness: newHarness(t, "single")}
	u.listenSocket = u.inheritedSocket()
	var err error
	u.late, err = emulator.NewEndpoint("", nil)
	require.NoError(t, err)
	u.process = u.startWithAdmin(u.listenSocket)
	u.process.AwaitReady(t)
	return u
}

// operate makes an operators' call and requires the status want.
func (u *unlistedTest) operate(p *adminProcess, operation string, want int) {
	u.t.Helper()
	status, text := callAdmin(u.t, p.admin, "POST", "/_targets/"+operation+"?name=late")
	require.Equal(u.t, want, status, text)
}

// list makes discovery list the endpoint in place of the other one, and submits messages for the destination.
func (u *unlistedTest) list() {
	u.discovery.Remove("s1")
	entry := u.activeEntry("late", 7)
	entry.Endpoint = u.late.Addr
	u.discovery.Set(entry)
	c := u.client()
	defer c.Close()
	u.awaitList(c)
	u.put(c, noKey, "m", "c=status,d=20000,dest=7", "+OK")
}

// Guards against an endpoint that operators drain before its entry has come: it got calls once it was listed (found by the
// second review).
func TestEndpointDrainedBeforeItIsListedGetsNoCall(t *testing.T) {
	for name, event := range map[string]func(u *unlistedTest){
		"listed at once": func(*unlistedTest) {},
		"upgrade":        (*unlistedTest).upgradeOnce,
		"SIGKILL": func(u *unlistedTest) {
			u.process.Kill()
			u.process = u.startWithAdmin(u.listenSocket)
			u.process.AwaitReady(u.t)
		},
		"SIGTERM": func(u *unlistedTest) {
			require.NoError(u.t, u.process.Signal(syscall.SIGTERM))
			require.NoError(u.t, u.process.Wait())
			u.process = u.startWithAdmin(u.listenSocket)
			u.process.AwaitReady(u.t)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := newUnlistedTest(t)
			u.operate(u.process, "detach", http.StatusNotFound) // an id that nobody has is owed a no
			event(u)
			u.list()
			require.Never(t, func() bool { return len(u.late.Calls) > 0 }, noCallPeriod, 10*time.Millisecond)
			event(u)
			require.Never(t, func() bool { return len(u.late.Calls) > 0 }, noCallPeriod, 10*time.Millisecond)
			u.operate(u.process, "attach", http.StatusOK)
			require.Equal(t, "m", awaitNext(u.harness, u.late.Calls, "call to the restored endpoint").ID)
		})
	}
}

func (u *unlistedTest) upgradeOnce() {
	u.process = u.upgrade(u.process, u.listenSocket, func() {})
}

// The new process of an upgrade has an older list. A call at it reaches the process that has the folder.
func TestDrainAtSuccessorOfEndpointThatItDoesNotKnow(t *testing.T) {
	for _, listedBefore := range []bool{true, false} {
		u := newUnlistedTest(t)
		successor := u.startSuccessor(u.listenSocket)
		if listedBefore {
			entry := u.activeEntry("late", 8)
			entry.Endpoint = u.late.Addr
			u.discovery.Set(entry)
			listed := func() bool { return adminVars(t, u.process.admin)["proxy.registry_entries"] == "3|g" }
			require.Eventually(t, listed, arrivalTimeout, 10*time.Millisecond)
		}
		u.operate(successor, "detach", http.StatusNotFound)
		time.Sleep(noCallPeriod)
		u.list()
		require.Never(t, func() bool { return len(u.late.Calls) > 0 }, noCallPeriod, 10*time.Millisecond)
	}
}

// A drain that is called back before the endpoint is listed has no effect, and neither has one of an id that is never listed.
func TestPendingDrainEndsWithCallBack(t *testing.T) {
	u := newUnlistedTest(t)
	u.operate(u.process, "detach", http.StatusNotFound)
	u.operate(u.process, "attach", http.StatusNotFound)
	u.list()
	require.Equal(t, "m", awaitNext(u.harness, u.late.Calls, "call").ID)
}
