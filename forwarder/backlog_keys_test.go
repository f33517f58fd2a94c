package forwarder_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/backlog"
	"spanflow/internal/emulator"
)

// delivery gives the ids of messages that were delivered, in order.
func (r *backlogRig) delivery() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.order)
}

// A key may be used with several destinations: its messages still go one after another.
func TestAKeyOfSeveralDestinationsKeepsItsOrderWhileOneIsStored(t *testing.T) {
	r := newBacklogRig(t)
	r.targets[0].Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Status: 503} })
	r.start()
	r.fill(0, 0, 100)
	const key = 50
	require.Equal(t, "+OK", r.put(0, key, 100))
	require.Positive(t, r.stored().Messages)
	require.Regexp(t, `^-BUSY.*[1-9]`, r.put(1, key, 101), "message 101 waits for message 100: a time to come back")
	require.Equal(t, "+OK", r.put(1, 51, 102))
	require.Eventually(t, func() bool { return r.delivered() > 0 }, 5*time.Second, time.Millisecond)
	require.Equal(t, []string{messageID(102)}, r.delivery(), "others are served meanwhile")

	r.stop()
	r.start()
	require.Contains(t, r.put(1, key, 101), "-BUSY", "nor does a restart let it pass")
	r.targets[0].Do(r.serve)
	require.Eventually(t, func() bool { return slices.Contains(r.delivery(), messageID(100)) }, time.Minute, time.Millisecond)
	require.Equal(t, "+OK", r.put(1, key, 101))
	require.Eventually(t, func() bool { return r.delivered() == 103 }, time.Minute, time.Millisecond)
	order := r.delivery()
	require.Less(t, slices.Index(order, messageID(100)), slices.Index(order, messageID(101)))
	require.Zero(t, r.stored().Messages)
}

// A message is not stored while a later one of its key, for another destination, is in memory: that would go first.
func TestAMessageIsNotStoredBeforeALaterOneOfItsKey(t *testing.T) {
	const key, first, second, count = 50, 12, 13, 18
	r := newBacklogRig(t)
	gate := make(chan struct{})
	r.targets[0].Do(func(c emulator.Call) emulator.Reply {
		<-gate
		return failing(c)
	})
	r.start()
	for number := range count {
		switch number {
		case first:
			require.Equal(t, "+OK", r.put(0, key, number))
		case second:
			require.Equal(t, "+OK", r.put(1, key, number))
		default:
			require.Equal(t, "+OK", r.put(0, 100+number, number))
		}
	}
	require.Zero(t, r.stored().Messages)
	close(gate)
	require.Eventually(t, func() bool { return r.stored().Messages > 0 }, 20*time.Second, time.Millisecond)
	time.Sleep(200 * time.Millisecond) // what is not stored then is held back
	require.Equal(t, []string{messageID(14), messageID(15), messageID(16), messageID(17)}, r.storedIDs(0))
	require.Equal(t, "+OK", r.put(1, 51, count))
	require.Eventually(t, func() bool { return r.delivered() > 0 }, 5*time.Second, time.Millisecond)
	require.Equal(t, []string{messageID(count)}, r.delivery(), "others are served meanwhile")
	r.targets[0].Do(r.serve)
	require.Eventually(t, func() bool { return r.delivered() == count+1 }, time.Minute, time.Millisecond)
	order := r.delivery()
	require.Less(t, slices.Index(order, messageID(first)), slices.Index(order, messageID(second)))
}

// The same where one between them, of the earlier one's lane, has been answered and its notice is not heard.
func TestAMessageIsNotStoredBeforeALaterOneOfItsKeyBehindAnAnsweredOne(t *testing.T) {
	const key, first, expiring, second, count = 50, 12, 13, 14, 19
	r := newBacklogRig(t)
	r.discovery.SetUnresponsive(true)
	gate := make(chan struct{})
	r.targets[0].Do(func(c emulator.Call) emulator.Reply {
		<-gate
		return failing(c)
	})
	r.start()
	for number := range count {
		switch number {
		case first:
			require.Equal(t, "+OK", r.put(0, key, number))
		case expiring:
			life := r.life
			r.life = 2 * time.Second
			require.Equal(t, "+OK", r.put(0, key, number))
			r.life = life
		case second:
			require.Equal(t, "+OK", r.put(1, key, number))
		default:
			require.Equal(t, "+OK", r.put(0, 100+number, number))
		}
	}
	time.Sleep(3 * time.Second) // one expires
	close(gate)
	require.Eventually(t, func() bool { return len(r.storedIDs(0)) > 0 }, 20*time.Second, time.Millisecond)
	time.Sleep(200 * time.Millisecond) // what is not stored then is held back
	require.Equal(t, []string{messageID(15), messageID(16), messageID(17), messageID(18)}, r.storedIDs(0))
	r.discovery.SetUnresponsive(false)
	r.targets[0].Do(r.serve)
	require.Eventually(t, func() bool { return r.delivered() == count-1 }, time.Minute, time.Millisecond)
	order := r.delivery()
	require.NotContains(t, order, messageID(expiring))
	require.Less(t, slices.Index(order, messageID(first)), slices.Index(order, messageID(second)))
}

// The same where the later one is stored, for a destination that comes back first.
func TestAMessageIsNotStoredWhileALaterOneOfItsKeyIsStoredElsewhere(t *testing.T) {
	const key, first, second, count, others = 50, 12, 13, 18, 40
	r := newBacklogRig(t)
	r.targets[1].Do(failing)
	gate := make(chan struct{})
	r.targets[0].Do(func(c emulator.Call) emulator.Reply {
		<-gate
		return failing(c)
	})
	r.start()
	for number := count; number < count+others; number++ {
		require.Equal(t, "+OK", r.put(1, 1000+number, number))
	}
	for number := range count {
		switch number {
		case first:
			require.Equal(t, "+OK", r.put(0, key, number))
		case second:
			require.Equal(t, "+OK", r.put(1, key, number))
		default:
			require.Equal(t, "+OK", r.put(0, 100+number, number))
		}
	}
	require.Contains(t, r.storedIDs(1), messageID(second))
	require.Empty(t, r.storedIDs(0))
	close(gate)
	require.Eventually(t, func() bool { return len(r.storedIDs(0)) > 0 }, 20*time.Second, time.Millisecond)
	time.Sleep(200 * time.Millisecond) // what is not stored then is held back
	require.Equal(t, []string{messageID(14), messageID(15), messageID(16), messageID(17)}, r.storedIDs(0))
	r.targets[1].Do(r.serve)
	require.Eventually(t, func() bool { return r.delivered() == others }, time.Minute, time.Millisecond)
	require.NotContains(t, r.delivery(), messageID(second))
	r.targets[0].Do(r.serve)
	require.Eventually(t, func() bool { return r.delivered() == count+others }, time.Minute, time.Millisecond)
	order := r.delivery()
	require.Less(t, slices.Index(order, messageID(first)), slices.Index(order, messageID(second)))
}

// storedIDs gives the ids of stored messages for a destination, in the order of taking.
func (r *backlogRig) storedIDs(destination uint64) (ids []string) {
	view, err := backlog.Inspect(backlog.OS{}, r.store)
	require.NoError(r.t, err)
	defer view.Close()
	ofDestination := func(lane backlog.Lane) bool { return lane.Destination == destination }
	require.NoError(r.t, view.Each(ofDestination, func(m *backlog.Message) error {
		ids = append(ids, m.ID)
		return nil
	}))
	return ids
}
