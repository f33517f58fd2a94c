package commands

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/backlog"
)

// writer appends and releases messages in one lane until it is stopped, so that segments are created and freed.
type writer struct {
	stop chan struct{}
	done sync.WaitGroup
	err  error
}

func startWriter(store *backlog.Store, lane backlog.Lane, next uint64) *writer {
	w := &writer{stop: make(chan struct{})}
	w.done.Go(func() {
		for ; w.err == nil; next++ {
			select {
			case <-w.stop:
				return
			default:
			}
			if w.err = store.Append(newMessage(lane, next)); w.err == nil && store.LaneMessages(lane) > 20 {
				var head []*backlog.Message
				if head, w.err = store.Head(lane, 1); w.err == nil {
					w.err = store.Release([]backlog.Ref{head[0].Ref()})
				}
			}
		}
	})
	return w
}

func (w *writer) finish(t *testing.T) {
	close(w.stop)
	w.done.Wait()
	require.NoError(t, w.err)
}

// While a process writes to a store and frees segments, each read must return every message that stays stored exactly
// once and in order, and the writer must not fail.
func TestStoreIsReadWhileItIsWritten(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "backlog")
	store := openStore(t, folder, storeBounds)
	defer store.Close()
	quietLane, busyLane := backlog.Lane{Destination: 7, Tenant: 1}, backlog.Lane{Destination: 5}
	const quietMessages = 50
	want := make([]string, quietMessages)
	for i := range want {
		m := newMessage(quietLane, uint64(i+1))
		want[i] = m.ID
		require.NoError(t, store.Append(m))
	}
	freed := lastSegment(t, folder)
	w := startWriter(store, busyLane, 1000)
	reads := 0
	for began := time.Now(); time.Since(began) < time.Second; reads++ {
		out, code := run("backlog", "list", "-f", folder, "--dest", "7", "--json")
		require.Equal(t, 0, code, out)
		require.Equal(t, want, listedIDs(t, out))
		out, code = run("backlog", "list", "-f", folder, "--dest", "5", "--json")
		require.Equal(t, 0, code, out)
		previous := 0
		for _, id := range listedIDs(t, out) {
			seq := 0
			_, err := fmt.Sscanf(id, "id-%d", &seq)
			require.NoError(t, err)
			require.Greater(t, seq, previous)
			previous = seq
		}
		out, code = run("backlog", "show", "id-50", "-f", folder)
		require.Equal(t, 0, code, out)
		out, code = run("backlog", "stat", "-f", folder, "--json")
		require.Equal(t, 0, code, out)
		require.Contains(t, out, fmt.Sprintf(`"owner_pid": %d`, os.Getpid()))
		out, code = run("backlog", "verify", "-f", folder)
		require.Equal(t, 0, code, out)
	}
	w.finish(t)
	require.NoFileExists(t, freed, "segments must be freed during the test")
	t.Logf("%d rounds of reads", reads)
}

// If segments are freed after a store is opened and before they are read, the store is opened again and reading resumes
// after the last message.
func TestListResumesAfterSegmentsAreFreed(t *testing.T) {
	const messages = 400
	folder := filepath.Join(t.TempDir(), "backlog")
	store := openStore(t, folder, storeBounds)
	defer store.Close()
	lane := backlog.Lane{Destination: 7}
	var refs []backlog.Ref
	for seq := range uint64(messages) {
		m := newMessage(lane, seq+1)
		require.NoError(t, store.Append(m))
		refs = append(refs, m.Ref())
	}
	names, err := filepath.Glob(filepath.Join(folder, "*.backlog"))
	require.NoError(t, err)
	require.Greater(t, len(names), 3)
	free := func() error {
		for i := 20; i < messages/2; i += 10 { // the first 20 messages stay
			if err := store.Release(refs[i : i+10]); err != nil {
				return err
			}
		}
		for seq := range uint64(messages) { // compaction frees segments in proportion to the bytes written
			m := newMessage(backlog.Lane{Destination: 5}, 1000+seq)
			if err := store.Append(m); err != nil {
				return err
			}
			if err := store.Release([]backlog.Ref{m.Ref()}); err != nil {
				return err
			}
		}
		return nil
	}
	var seen []uint64
	err = eachStored(folder, &backlogFilter{}, func(m *backlog.Message) error {
		if seen = append(seen, m.Seq); len(seen) == 10 {
			return free()
		}
		return nil
	})
	require.NoError(t, err)
	require.NoFileExists(t, names[1])
	var want []uint64
	for seq := uint64(1); seq <= messages; seq++ {
		if seq <= 20 || seq > messages/2 {
			want = append(want, seq)
		}
	}
	// Some released messages may still be listed, because the segment that was already open stays readable.
	var retained []uint64
	for i, seq := range seen {
		if i > 0 {
			require.Greater(t, seq, seen[i-1], "each message once and in order")
		}
		if seq <= 20 || seq > messages/2 {
			retained = append(retained, seq)
		}
	}
	require.Equal(t, want, retained)
	require.Less(t, len(seen), messages, "released messages in freed segments must not be listed")
}
