package main

import (
	"fmt"
	"net/http"
	"strings"
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
	u.add(7)
	c := u.client()
	defer c.Close()
	u.awaitList(c)
	u.put(c, noKey, "m", "c=status,d=20000,dest=7", "+OK")
}

// add makes discovery list the endpoint for a destination.
func (u *unlistedTest) add(destination int) {
	entry := u.activeEntry("late", destination)
	entry.Endpoint = u.late.Addr
	u.discovery.Set(entry)
}

// awaitEntries waits until the process that has the folder has a list with a number of entries.
func (u *unlistedTest) awaitEntries(entries int) {
	u.t.Helper()
	want := fmt.Sprintf("%d|g", entries)
	listed := func() bool { return adminVars(u.t, u.process.admin)["proxy.registry_entries"] == want }
	require.Eventually(u.t, listed, arrivalTimeout, 10*time.Millisecond)
}

// Guards against an endpoint that operators drain before its entry has come: it got calls once it was listed (found by the
// second review).
func TestEndpointDrainedBeforeItIsListedGetsNoCall(t *testing.T) {
	for name, event := range map[string]func(u *unlistedTest){
		"listed at once": func(*unlistedTest) {},
		"reload":         func(u *unlistedTest) { u.reload(logReloaded) },
		"upgrade":        (*unlistedTest).upgradeOnce,
		"two upgrades":   func(u *unlistedTest) { u.upgradeOnce(); u.upgradeOnce() },
		"SIGKILL in place of the upgrade's SIGTERM": func(u *unlistedTest) {
			successor := u.startSuccessor(u.listenSocket)
			u.process.Kill()
			u.process = successor
			successor.AwaitReady(u.t)
		},
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
			u.add(8)
			u.awaitEntries(3)
		}
		u.operate(successor, "detach", http.StatusNotFound)
		time.Sleep(noCallPeriod)
		u.list()
		require.Never(t, func() bool { return len(u.late.Calls) > 0 }, noCallPeriod, 10*time.Millisecond)
	}
}

// Guards against calls that took effect in another order: the process that holds the folder took up what its successor had
// been told only after a later call of its own.
func TestDrainCallsAtEitherProcessOfUpgradeCountInOrder(t *testing.T) {
	for calls, drained := range map[string]bool{
		"new detach":                         true,
		"old detach":                         true,
		"new detach, old attach":             false,
		"old detach, new attach":             false,
		"new detach, new attach":             false,
		"old detach, new attach, old detach": true,
		"new detach, old attach, new detach": true,
	} {
		for listed, status := range map[bool]int{true: http.StatusOK, false: http.StatusNotFound} {
			t.Run(fmt.Sprintf("%s, listed %v", calls, listed), func(t *testing.T) {
				t.Parallel()
				u := newUnlistedTest(t)
				if listed {
					u.add(7)
					u.awaitEntries(3)
				}
				successor := u.startSuccessor(u.listenSocket)
				processes := map[string]*adminProcess{"old": u.process, "new": successor}
				for call := range strings.SplitSeq(calls, ", ") {
					process, operation, _ := strings.Cut(call, " ")
					u.operate(processes[process], operation, status)
				}
				require.NoError(t, u.process.Signal(syscall.SIGTERM))
				require.NoError(t, u.process.Wait())
				successor.AwaitReady(t)
				u.list()
				if drained {
					require.Never(t, func() bool { return len(u.late.Calls) > 0 }, noCallPeriod, 10*time.Millisecond)
					return
				}
				require.Equal(t, "m", awaitNext(u.harness, u.late.Calls, "call").ID)
			})
		}
	}
}

// The order also holds while the old process hands over: it still has the folder.
func TestOperatorsCallsWhileHandingOverCountInOrder(t *testing.T) {
	u := newUnlistedTest(t)
	hold := make(chan struct{})
	u.endpoint.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	u.put(u.client(), noKey, "held", "c=status,d=20000,dest=7", "+OK")
	u.nextCall()
	successor := u.startSuccessor(u.listenSocket)
	require.NoError(t, u.process.Signal(syscall.SIGTERM))
	u.process.Log.Await(t, logHandingOver)
	u.operate(successor, "detach", http.StatusNotFound)
	u.operate(u.process, "attach", http.StatusNotFound)
	u.lameDuck(successor, "on")
	u.lameDuck(u.process, "off")
	close(hold)
	require.NoError(t, u.process.Wait())
	successor.AwaitReady(t)
	u.requireReply(u.client(), emulator.Command("PING"), pongReply)
	u.endpoint.Do(nil)
	u.list()
	require.Equal(t, "m", awaitNext(u.harness, u.late.Calls, "call").ID)
}

// A drain that is called back before the endpoint is listed has no effect, and neither has one of an id that is never listed.
func TestPendingDrainEndsWithCallBack(t *testing.T) {
	u := newUnlistedTest(t)
	u.operate(u.process, "detach", http.StatusNotFound)
	u.operate(u.process, "attach", http.StatusNotFound)
	u.list()
	require.Equal(t, "m", awaitNext(u.harness, u.late.Calls, "call").ID)
}
