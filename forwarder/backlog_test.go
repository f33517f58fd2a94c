package forwarder_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/forwarder"
	"spanflow/internal/emulator"
)

func TestStoredMessagesAreDeliveredInOrder(t *testing.T) {
	const count = 600
	f := newBacklogFixture(t)
	f.endpoints[0].Do(answer500)
	f.start()
	f.fill(0, 0, count)
	require.Greater(t, f.stored().Messages, count-100, "all but those in the window are on disk")
	require.Equal(t, "+OK", f.put(1, 101, count), "other destinations are served meanwhile")
	require.Eventually(t, func() bool { return f.delivered() == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, "-ERR", f.put(0, 1, 3)[:4], "the id of a stored message is rejected")
	f.mu.Lock()
	f.deliveries = nil
	f.mu.Unlock()
	f.endpoints[0].Do(f.serve)
	f.requireEachOnceInOrder(count)
	require.Zero(t, f.stored().Messages)
}

func TestRestartWhileLoadingStoredMessagesLosesNone(t *testing.T) {
	const count = 2000
	f := newBacklogFixture(t)
	f.endpoints[0].Do(answer500)
	f.start()
	f.fill(0, 0, count/2)
	f.stop()
	f.start()
	f.fill(0, count/2, count)
	f.endpoints[0].Do(f.serve)
	require.Eventually(t, func() bool { return f.delivered() > 100 }, time.Minute, time.Millisecond)
	f.stop()
	f.start()
	f.requireEachOnceInOrder(count)
}

func TestFullStoreRefusesWithRetryAfter(t *testing.T) {
	f := newBacklogFixture(t)
	f.adjust = func(b *forwarder.Backlog) { b.DestinationBytes = 20_000 }
	f.endpoints[0].Do(answer500)
	f.endpoints[1].Do(answer500)
	f.start()
	number := 0
	answer := "+OK"
	for ; answer == "+OK" && number < 1000; number++ {
		answer = f.put(0, 1+number%7, number)
	}
	require.Contains(t, answer, "-BUSY")
	require.Less(t, number, 500)
	accepted := number - 1
	f.fill(1, 1000, 1050) // the other destination has not reached its limit
	f.endpoints[0].Do(f.serve)
	require.Eventually(t, func() bool { return f.delivered() == accepted }, time.Minute, 10*time.Millisecond)
	require.Equal(t, "+OK", f.put(0, 1, 2000), "the destination is below its limit again")
}

func TestStoredMessagesAreAnsweredBeforeExpiry(t *testing.T) {
	const count = 400
	f := newBacklogFixture(t)
	f.timeToLive = 12 * time.Second
	f.endpoints[0].Do(answer500)
	f.start()
	begun := time.Now()
	f.fill(0, 0, count)
	require.Greater(t, f.stored().Messages, count-100)
	answered := map[string]bool{}
	for len(answered) < count {
		select {
		case n := <-f.discovery.Notices:
			require.False(t, answered[n.ID], "one final answer for each")
			answered[n.ID] = true
			require.Equal(t, "returned", n.State)
		case <-time.After(20 * time.Second):
			require.Fail(t, "missing answers", "%d of %d", len(answered), count)
		}
		if time.Since(begun) < f.timeToLive/2 {
			require.Equal(t, "+OK", f.put(1, 101, 10_000+len(answered)))
		}
	}
	require.Less(t, time.Since(begun), f.timeToLive+time.Second)
	require.Zero(t, f.stored().Messages)
}

// Messages for unreachable destinations that a start recovers into memory must not count as demand of its first
// seconds. Otherwise it would call these destinations many times a second.
func TestRecoveredWindowsDoNotCountAsDemand(t *testing.T) {
	const count = 400
	f := newBacklogFixture(t)
	f.adjust = func(b *forwarder.Backlog) { b.Window, b.Behind = 200, 200 }
	var tries atomic.Int64
	f.endpoints[0].Do(func(emulator.Call) emulator.Reply {
		tries.Add(1)
		return emulator.Reply{Status: 500}
	})
	f.start()
	f.fill(0, 0, count)
	f.stop()
	tries.Store(0)
	f.start()
	time.Sleep(4 * time.Second)
	require.Positive(t, tries.Load())
	require.Less(t, tries.Load(), int64(20), "about one call per second")
}
