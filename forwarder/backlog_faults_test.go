package forwarder_test

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/forwarder"
	"spanflow/internal/backlog"
	"spanflow/internal/wal"
)

// The process was killed while a message was being loaded: the message is both in the write-ahead log and in the store,
// and the store cannot be written. A forwarder that served now would deliver the message twice.
func TestStartFailsIfInterruptedMoveCannotBeResolved(t *testing.T) {
	const count = 100
	f := newBacklogFixture(t)
	f.endpoints[0].Do(answer500)
	f.start()
	f.fill(0, 0, count)
	f.stop()

	store, err := backlog.Open(backlog.OS{}, f.store, backlog.Bounds{Bytes: 64 << 20})
	require.NoError(t, err)
	head, err := store.Head(backlog.Lane{}, 3)
	require.NoError(t, err)
	require.Len(t, head, 3)
	require.NoError(t, store.Close())
	walLog, err := wal.Open(f.folder, 64e6)
	require.NoError(t, err)
	for _, m := range head {
		entry := &wal.Entry{Seq: m.Seq, Key: m.Key, Type: m.Type, ID: m.ID, Expiry: m.Expiry, Body: m.Body}
		require.NoError(t, walLog.Restore(entry))
	}
	require.NoError(t, walLog.Close())
	segments, err := filepath.Glob(filepath.Join(f.store, "*.backlog"))
	require.NoError(t, err)
	obstacle := filepath.Join(f.store, fmt.Sprintf("%010d.backlog", len(segments)+1))
	require.NoError(t, os.MkdirAll(filepath.Join(obstacle, "full"), 0o700))

	config := f.config()
	f.endpoints[0].Do(f.serve)
	ended := make(chan error, 1)
	go func() {
		ended <- forwarder.Run(t.Context(), config, nil, io.Discard, func(string) { ended <- nil })
	}()
	require.ErrorContains(t, <-ended, "backlog: open "+obstacle)
	require.Zero(t, f.delivered())

	require.NoError(t, os.RemoveAll(obstacle))
	f.start()
	f.requireEachOnceInOrder(count)
}

// Guards against messages that were answered on expiry, and whose notices are not acknowledged, keeping new messages
// out of memory.
func TestUnacknowledgedNoticesDoNotBlockNewMessages(t *testing.T) {
	const count = 2500 // more than are held in memory
	f := newBacklogFixture(t)
	f.timeToLive = 8 * time.Second
	f.endpoints[0].Do(answer500)
	f.discovery.SetUnresponsive(true)
	f.start()
	begun := time.Now()
	f.fill(0, 0, count)
	require.Eventually(t, func() bool { return f.stored().Messages == 0 }, 20*time.Second, 20*time.Millisecond)
	require.Greater(t, time.Since(begun), f.timeToLive/2)
	for number := range 20 {
		require.Equal(t, "+OK", f.put(1, 101, 10_000+number))
	}
	require.Eventually(t, func() bool { return f.delivered() == 20 }, 3*time.Second, time.Millisecond)
	f.discovery.SetUnresponsive(false)
	answered := map[string]bool{}
	for len(answered) < count {
		select {
		case n := <-f.discovery.Notices:
			require.False(t, answered[n.ID], "one final answer for each")
			answered[n.ID] = true
		case <-time.After(20 * time.Second):
			require.Fail(t, "missing answers", "%d of %d", len(answered), count)
		}
	}
}

// Like TestUnacknowledgedNoticesDoNotBlockNewMessages, but the messages expire in memory and none is stored.
func TestUnacknowledgedNoticesInMemoryDoNotBlockNewMessages(t *testing.T) {
	const count = 1900
	f := newBacklogFixture(t)
	f.timeToLive = 6 * time.Second
	f.adjust = func(b *forwarder.Backlog) { b.Window, b.Behind = 1800, 1800 }
	f.endpoints[0].Do(answer500)
	f.discovery.SetUnresponsive(true)
	f.start()
	f.fill(0, 0, count)
	time.Sleep(f.timeToLive)
	for number := range 20 {
		require.Equal(t, "+OK", f.put(1, 101, 10_000+number))
	}
	require.Eventually(t, func() bool { return f.delivered() == 20 }, 3*time.Second, time.Millisecond)
}
