package main

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// The process is killed with one message delivered, one in progress that may run again, one in progress that must not,
// and one queued behind another message of its key. The next process ends each message exactly once and in order.
func TestKilledForwarderRecoversAcceptedMessages(t *testing.T) {
	h := newHarness(t, "single")
	hold := make(chan struct{})
	h.endpoint.Do(func(c emulator.Call) emulator.Reply {
		if c.ID == "done" {
			return emulator.Reply{}
		}
		return emulator.Reply{Hold: hold}
	})
	c := h.start()
	h.put(c, noKey, "done", "c=status,d=20000,dest=7", "+OK")
	require.Equal(t, "done", h.nextCall().ID)
	h.put(c, "5", "k1", "c=ticket,d=20000,dest=7,k=m1", "+OK")
	require.Equal(t, "k1", h.nextCall().ID)
	h.put(c, noKey, "pay", "c=payment,d=20000,dest=7", "+OK")
	require.Equal(t, "pay", h.nextCall().ID)
	h.put(c, "5", "k2", "c=ticket,d=20000,dest=7,k=m2", "+OK")
	h.kill()
	h.endpoint.Do(nil)
	h.start()
	require.Equal(t, emulator.Notice{ID: "pay", State: "failed"}, h.nextNotice())
	require.Equal(t, []string{"k1", "k2"}, []string{h.nextCall().ID, h.nextCall().ID})
	h.stop()
	require.Empty(t, h.endpoint.Calls)
	require.Empty(t, h.discovery.Notices)
	require.True(t, h.process.Log.Has(`"owed":0`), h.process.Log.String())
}

func TestUnacknowledgedNoticeIsSentAgainAfterRestart(t *testing.T) {
	h := newHarness(t, "single")
	h.endpoint.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Break: true} })
	h.discovery.SetUnresponsive(true)
	c := h.start()
	h.put(c, noKey, "p1", "c=payment,d=20000,dest=7", "+OK")
	h.nextCall()
	h.awaitLog(logNoticesUnanswered)
	h.kill()
	h.discovery.SetUnresponsive(false)
	h.start()
	require.Equal(t, emulator.Notice{ID: "p1", State: "failed"}, h.nextNotice())
	require.Empty(t, h.endpoint.Calls)
}

func TestStoppingForwarderFinishesCallsAndKeepsRemainingMessages(t *testing.T) {
	h := newHarness(t, "single")
	hold := make(chan struct{})
	h.endpoint.Do(func(c emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	c := h.start()
	h.put(c, noKey, "out", "c=status,d=20000,dest=7", "+OK")
	h.nextCall()
	h.put(c, noKey, "far", "c=status,d=20000,dest=9", "+OK") // the destination has no active endpoint yet
	require.NoError(t, h.process.Signal(syscall.SIGTERM))
	h.awaitLog(logStopping)
	h.put(c, noKey, "late", "c=status,d=20000,dest=7", "+OK")
	h.put(h.client(), noKey, "later", "c=status,d=20000,dest=7", "+OK")
	close(hold)
	require.ElementsMatch(t, []string{"late", "later"}, []string{h.nextCall().ID, h.nextCall().ID})
	_, err := c.ReadReply()
	require.Error(t, err, "the client is disconnected so that it uses another forwarder")
	require.NoError(t, h.process.Wait())
	require.True(t, h.process.Log.Has(`"owed":1`), h.process.Log.String())
	h.discovery.Set(h.activeEntry("s2", 9))
	h.start()
	require.Equal(t, "far", h.nextCall().ID)
}

func TestRestartAttemptsAndCountsUntriedMessages(t *testing.T) {
	h := newHarness(t, "single")
	hold := make(chan struct{})
	h.endpoint.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	c := h.start()
	ids := map[string]bool{}
	for i := range 20 { // some of these are in progress and the others are queued
		id := string(rune('a' + i))
		ids[id] = true
		h.put(c, noKey, id, "c=status,d=20000,dest=7", "+OK")
	}
	require.NotEmpty(t, h.nextCall().ID)
	h.kill()
	for len(h.endpoint.Calls) > 0 {
		<-h.endpoint.Calls
	}
	h.endpoint.Do(nil)
	h.start()
	for len(ids) > 0 {
		delete(ids, h.nextCall().ID)
	}
	line := h.process.Log.Await(t, logRecoveryDone)
	require.Contains(t, line, `"recovered":20,`)
	require.Contains(t, line, `"uncalled":0,`)
	require.Empty(t, h.discovery.Notices)
}

func TestRestartClearsRetryAfter(t *testing.T) {
	h := newHarness(t, "single")
	h.endpoint.Do(func(emulator.Call) emulator.Reply {
		return emulator.Reply{Status: 429, Fields: map[string]string{"Retry-After": "3600"}}
	})
	c := h.start()
	h.put(c, noKey, "rejected", "c=status,d=20000,dest=7", "+OK")
	require.Equal(t, "rejected", h.nextCall().ID)
	require.NoError(t, h.process.Signal(syscall.SIGTERM))
	h.put(c, noKey, "untried", "c=status,d=20000,dest=9", "+OK") // its destination has no active endpoint yet
	require.NoError(t, h.process.Wait())
	require.True(t, h.process.Log.Has(`"owed":`))
	h.discovery.Set(h.activeEntry("s0", 9))
	h.endpoint.Do(nil)
	h.start()
	for h.nextCall().ID != "untried" {
	}
	h.put(h.client(), noKey, "fresh", "c=status,d=20000,dest=7", "+OK")
	require.Equal(t, "fresh", h.nextCall().ID, "Retry-After applied only to the process before the restart")
}

// SIGHUP and SIGTERM arrive several times in mixed order, before and while the process stops.
func TestRepeatedSignalsStopProcessOnceAndLoseNoMessage(t *testing.T) {
	h := newHarness(t, "single")
	hold := make(chan struct{})
	h.endpoint.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	c := h.start()
	h.put(c, noKey, "out", "c=status,d=20000,dest=7", "+OK")
	require.Equal(t, "out", h.nextCall().ID)
	for _, signal := range []syscall.Signal{
		syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP,
	} {
		require.NoError(t, h.process.Signal(signal))
	}
	h.awaitLog(logStopping)
	h.put(c, noKey, "late", "c=status,d=20000,dest=7", "+OK")
	close(hold)
	require.NoError(t, h.process.Wait())
	require.Equal(t, 1, h.process.Log.Count(logStopping))
	h.endpoint.Do(nil)
	h.start()
	for id := ""; id != "late"; id = h.nextCall().ID {
	}
	require.Empty(t, h.discovery.Notices)
}
