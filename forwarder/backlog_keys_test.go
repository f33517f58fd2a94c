package forwarder_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// Messages of a key are sent one after another, even if they are for different destinations.
func TestKeyKeepsOrderAcrossDestinationsWhileOneIsStored(t *testing.T) {
	f := newBacklogFixture(t)
	f.endpoints[0].Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Status: 503} })
	f.start()
	f.fill(0, 0, 100)
	const key = 50
	require.Equal(t, "+OK", f.put(0, key, 100))
	require.Positive(t, f.stored().Messages)
	require.Regexp(t, `^-BUSY.*[1-9]`, f.put(1, key, 101), "message 101 must follow message 100, so it is refused with a retry-after")
	require.Equal(t, "+OK", f.put(1, 51, 102))
	require.Eventually(t, func() bool { return f.delivered() > 0 }, 5*time.Second, time.Millisecond)
	require.Equal(t, []string{messageID(102)}, f.deliveredIDs(), "messages of other keys are served meanwhile")

	f.stop()
	f.start()
	require.Contains(t, f.put(1, key, 101), "-BUSY", "it is still refused after a restart")
	f.endpoints[0].Do(f.serve)
	require.Eventually(t, func() bool { return slices.Contains(f.deliveredIDs(), messageID(100)) }, time.Minute, time.Millisecond)
	require.Equal(t, "+OK", f.put(1, key, 101))
	require.Eventually(t, func() bool { return f.delivered() == 103 }, time.Minute, time.Millisecond)
	order := f.deliveredIDs()
	require.Less(t, slices.Index(order, messageID(100)), slices.Index(order, messageID(101)))
	require.Zero(t, f.stored().Messages)
}

// A message is not stored while a later one of its key for another destination is in memory, as the later one would be
// sent first.
func TestSpillKeepsKeyOrderAcrossDestinations(t *testing.T) {
	const key, first, second, count = 50, 12, 13, 18
	f := newBacklogFixture(t)
	release := make(chan struct{})
	f.endpoints[0].Do(func(c emulator.Call) emulator.Reply {
		<-release
		return answer500(c)
	})
	f.start()
	for number := range count {
		switch number {
		case first:
			require.Equal(t, "+OK", f.put(0, key, number))
		case second:
			require.Equal(t, "+OK", f.put(1, key, number))
		default:
			require.Equal(t, "+OK", f.put(0, 100+number, number))
		}
	}
	require.Zero(t, f.stored().Messages)
	close(release)
	require.Eventually(t, func() bool { return f.stored().Messages > 0 }, 20*time.Second, time.Millisecond)
	time.Sleep(200 * time.Millisecond) // messages that are not stored by then are kept in memory
	require.Equal(t, []string{messageID(14), messageID(15), messageID(16), messageID(17)}, f.storedIDs(0))
	require.Equal(t, "+OK", f.put(1, 51, count))
	require.Eventually(t, func() bool { return f.delivered() > 0 }, 5*time.Second, time.Millisecond)
	require.Equal(t, []string{messageID(count)}, f.deliveredIDs(), "messages of other keys are served meanwhile")
	f.endpoints[0].Do(f.serve)
	require.Eventually(t, func() bool { return f.delivered() == count+1 }, time.Minute, time.Millisecond)
	order := f.deliveredIDs()
	require.Less(t, slices.Index(order, messageID(first)), slices.Index(order, messageID(second)))
}

// Like TestSpillKeepsKeyOrderAcrossDestinations, but with a third message between the two, in the lane of the earlier
// one. It has been answered, and its notice is not acknowledged.
func TestSpillKeepsKeyOrderPastAnsweredMessage(t *testing.T) {
	const key, first, expiring, second, count = 50, 12, 13, 14, 19
	f := newBacklogFixture(t)
	f.discovery.SetUnresponsive(true)
	release := make(chan struct{})
	f.endpoints[0].Do(func(c emulator.Call) emulator.Reply {
		<-release
		return answer500(c)
	})
	f.start()
	for number := range count {
		switch number {
		case first:
			require.Equal(t, "+OK", f.put(0, key, number))
		case expiring:
			usual := f.timeToLive
			f.timeToLive = 2 * time.Second
			require.Equal(t, "+OK", f.put(0, key, number))
			f.timeToLive = usual
		case second:
			require.Equal(t, "+OK", f.put(1, key, number))
		default:
			require.Equal(t, "+OK", f.put(0, 100+number, number))
		}
	}
	time.Sleep(3 * time.Second) // the message with the short time to live expires
	close(release)
	require.Eventually(t, func() bool { return len(f.storedIDs(0)) > 0 }, 20*time.Second, time.Millisecond)
	time.Sleep(200 * time.Millisecond) // messages that are not stored by then are kept in memory
	require.Equal(t, []string{messageID(15), messageID(16), messageID(17), messageID(18)}, f.storedIDs(0))
	f.discovery.SetUnresponsive(false)
	f.endpoints[0].Do(f.serve)
	require.Eventually(t, func() bool { return f.delivered() == count-1 }, time.Minute, time.Millisecond)
	order := f.deliveredIDs()
	require.NotContains(t, order, messageID(expiring))
	require.Less(t, slices.Index(order, messageID(first)), slices.Index(order, messageID(second)))
}

// Like TestSpillKeepsKeyOrderAcrossDestinations, but the later message is stored, and its destination becomes reachable
// first.
func TestSpillKeepsKeyOrderWithLaterMessageStored(t *testing.T) {
	const key, first, second, count, others = 50, 12, 13, 18, 40
	f := newBacklogFixture(t)
	f.endpoints[1].Do(answer500)
	release := make(chan struct{})
	f.endpoints[0].Do(func(c emulator.Call) emulator.Reply {
		<-release
		return answer500(c)
	})
	f.start()
	for number := count; number < count+others; number++ {
		require.Equal(t, "+OK", f.put(1, 1000+number, number))
	}
	for number := range count {
		switch number {
		case first:
			require.Equal(t, "+OK", f.put(0, key, number))
		case second:
			require.Equal(t, "+OK", f.put(1, key, number))
		default:
			require.Equal(t, "+OK", f.put(0, 100+number, number))
		}
	}
	require.Contains(t, f.storedIDs(1), messageID(second))
	require.Empty(t, f.storedIDs(0))
	close(release)
	require.Eventually(t, func() bool { return len(f.storedIDs(0)) > 0 }, 20*time.Second, time.Millisecond)
	time.Sleep(200 * time.Millisecond) // messages that are not stored by then are kept in memory
	require.Equal(t, []string{messageID(14), messageID(15), messageID(16), messageID(17)}, f.storedIDs(0))
	f.endpoints[1].Do(f.serve)
	require.Eventually(t, func() bool { return f.delivered() == others }, time.Minute, time.Millisecond)
	require.NotContains(t, f.deliveredIDs(), messageID(second))
	f.endpoints[0].Do(f.serve)
	require.Eventually(t, func() bool { return f.delivered() == count+others }, time.Minute, time.Millisecond)
	order := f.deliveredIDs()
	require.Less(t, slices.Index(order, messageID(first)), slices.Index(order, messageID(second)))
}
