package wal

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func restored(seq uint64, size int) *Entry {
	return &Entry{Seq: seq, Key: 3, Destination: 4, Tenant: 1, Type: "order", ID: "id", IdempotencyKey: "k", Expiry: 99, Attempts: 2, FirstRanAt: 55, FirstRanZone: 1,
		Body: make([]byte, size), Frontend: "web", CallerWaits: true}
}

func TestRestoreKeepsNumberAndHistory(t *testing.T) {
	dir := t.TempDir()
	l, err := Open(dir, 1<<20)
	require.NoError(t, err)
	require.NoError(t, l.Append(&Entry{ID: "one"}))
	require.Equal(t, uint64(2), l.NextSeq(), "given to the store")
	require.NoError(t, l.Restore(restored(40, 10)))
	require.NoError(t, l.Restore(restored(2, 10)))
	require.NoError(t, l.Restore(restored(40, 100)), "again: the latest counts")
	last := &Entry{ID: "last"}
	require.NoError(t, l.Append(last))
	require.Equal(t, uint64(41), last.Seq)
	l.Reserve(7)
	require.Equal(t, uint64(42), l.NextSeq())
	l.Reserve(100)
	require.Equal(t, uint64(101), l.NextSeq())
	require.NoError(t, l.RecordDone(2))
	live := l.live
	require.NoError(t, l.Close())

	l, err = Open(dir, 1<<20)
	require.NoError(t, err)
	defer l.Close()
	require.Equal(t, live, l.live)
	owed := l.Pending()
	require.Len(t, owed, 3)
	want := restored(40, 100)
	want.file = owed[1].file
	require.Equal(t, want, owed[1])
}

func TestRestoreIsRefusedWhenFull(t *testing.T) {
	l, err := Open(t.TempDir(), 2<<20)
	require.NoError(t, err)
	defer l.Close()
	seq := uint64(1)
	for ; err == nil; seq++ {
		err = l.Restore(restored(seq, 60<<10))
	}
	require.ErrorIs(t, err, ErrFull)
	require.NoError(t, l.Restore(restored(1, 60<<10)), "what is there already takes no more room")
	require.ErrorIs(t, l.Restore(restored(seq, 80<<10)), ErrFull)
	require.NoError(t, l.RecordDone(1))
	require.NoError(t, l.Restore(restored(seq, 60<<10)))
}
