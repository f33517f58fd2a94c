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

// A message is in the log and in the store, as its process was killed while it came back, and the store cannot be
// written: served all the same, it would be delivered twice.
func TestAForwarderDoesNotStartWhileAMoveThatWasCutShortCannotBeEnded(t *testing.T) {
	const count = 100
	r := newBacklogRig(t)
	r.targets[0].Do(failing)
	r.start()
	r.fill(0, 0, count)
	r.stop()

	store, err := backlog.Open(backlog.OS{}, r.store, backlog.Bounds{Bytes: 64 << 20})
	require.NoError(t, err)
	head, err := store.Head(backlog.Lane{}, 3)
	require.NoError(t, err)
	require.Len(t, head, 3)
	require.NoError(t, store.Close())
	log, err := wal.Open(r.state, 64e6)
	require.NoError(t, err)
	for _, m := range head {
		require.NoError(t, log.Restore(&wal.Entry{Seq: m.Seq, Key: m.Key, Type: m.Type, ID: m.ID, Expiry: m.Expiry, Body: m.Body}))
	}
	require.NoError(t, log.Close())
	segments, err := filepath.Glob(filepath.Join(r.store, "*.backlog"))
	require.NoError(t, err)
	obstacle := filepath.Join(r.store, fmt.Sprintf("%010d.backlog", len(segments)+1))
	require.NoError(t, os.MkdirAll(filepath.Join(obstacle, "full"), 0o700))

	text := fmt.Appendf(nil, backlogOrder, r.discovery.Addr, r.state, r.discovery.Known(), r.life.Milliseconds())
	order, err := forwarder.ReadConfig(text, func(string) string { return "" })
	require.NoError(t, err)
	order.Backlog = &forwarder.Backlog{Folder: r.store, Bytes: 64 << 20, Window: 10, Behind: 20}
	r.targets[0].Do(r.serve)
	ended := make(chan error, 1)
	go func() {
		ended <- forwarder.Run(t.Context(), order, nil, io.Discard, func(string) { ended <- nil })
	}()
	require.ErrorContains(t, <-ended, "backlog: open "+obstacle)
	require.Zero(t, r.delivered())

	require.NoError(t, os.RemoveAll(obstacle))
	r.start()
	r.requireAllInOrder(count)
}

// Messages that are answered and whose notices nobody takes must not keep others out of memory.
func TestUnheardNoticesOfManyThatExpiredDoNotHoldUpFreshOnes(t *testing.T) {
	const count = 2500 // more than are held in memory
	r := newBacklogRig(t)
	r.life = 8 * time.Second
	r.targets[0].Do(failing)
	r.discovery.SetUnresponsive(true)
	r.start()
	begun := time.Now()
	r.fill(0, 0, count)
	require.Eventually(t, func() bool { return r.stored().Messages == 0 }, 20*time.Second, 20*time.Millisecond)
	require.Greater(t, time.Since(begun), r.life/2)
	for number := range 20 {
		require.Equal(t, "+OK", r.put(1, 101, 10_000+number))
	}
	require.Eventually(t, func() bool { return r.delivered() == 20 }, 3*time.Second, time.Millisecond)
	r.discovery.SetUnresponsive(false)
	answered := map[string]bool{}
	for len(answered) < count {
		select {
		case n := <-r.discovery.Notices:
			require.False(t, answered[n.ID], "one final answer for each")
			answered[n.ID] = true
		case <-time.After(20 * time.Second):
			require.Fail(t, "missing answers", "%d of %d", len(answered), count)
		}
	}
}

// The same where the messages expire in memory, none of them stored.
func TestUnheardNoticesOfManyThatExpiredInMemoryDoNotHoldUpFreshOnes(t *testing.T) {
	const count = 1900
	r := newBacklogRig(t)
	r.life = 6 * time.Second
	r.change = func(b *forwarder.Backlog) { b.Window, b.Behind = 1800, 1800 }
	r.targets[0].Do(failing)
	r.discovery.SetUnresponsive(true)
	r.start()
	r.fill(0, 0, count)
	time.Sleep(r.life)
	for number := range 20 {
		require.Equal(t, "+OK", r.put(1, 101, 10_000+number))
	}
	require.Eventually(t, func() bool { return r.delivered() == 20 }, 3*time.Second, time.Millisecond)
}
