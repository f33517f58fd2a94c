package wal

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRestoreKeepsSequenceNumbers(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir)
	a := appendMessage(t, l, "a", 3)
	require.Equal(t, uint64(2), l.NextSeq())
	b := appendMessage(t, l, "b", 3)
	require.Equal(t, uint64(3), b.Seq)
	require.NoError(t, l.RecordDone(a.Seq)) // as for a message moved to the backlog store
	require.NoError(t, l.Restore(&Entry{Seq: a.Seq, ID: "a", Type: "ticket", Attempts: 2, FirstRanAt: 7, FirstRanZone: 1,
		Body: []byte("x")}))
	require.NoError(t, l.Restore(&Entry{Seq: 2, ID: "c", Type: "ticket"}))
	require.NoError(t, l.Restore(&Entry{Seq: 2, ID: "c", Type: "ticket", Attempts: 1}), "recorded twice")
	l.Reserve(40)
	l.Close()
	l = openLog(t, dir)
	defer l.Close()
	got := l.Pending()
	require.Len(t, got, 3)
	require.Equal(t, []any{uint64(1), "a", 2, int64(7)}, []any{got[0].Seq, got[0].ID, got[0].Attempts, got[0].FirstRanAt})
	require.Equal(t, []any{uint64(2), "c", 1}, []any{got[1].Seq, got[1].ID, got[1].Attempts})
	require.Equal(t, uint64(4), appendMessage(t, l, "d", 3).Seq)
}

func TestRestoreIntoFullLogKeepsPendingEntries(t *testing.T) {
	l := openLog(t, t.TempDir())
	defer l.Close()
	entry := appendMessage(t, l, "a", 3)
	for l.pending+5104 < l.Capacity() {
		appendMessage(t, l, "filling", 5000)
	}
	require.ErrorIs(t, l.Restore(&Entry{Seq: 1000, Body: make([]byte, 6000)}), ErrFull)
	require.ErrorIs(t, l.Restore(&Entry{Seq: 1000, Body: make([]byte, maxPayload)}), ErrFull)
	require.Nil(t, l.Entry(1000))
	require.Same(t, entry, l.Entry(entry.Seq))
}

func TestEntryKeepsItsFrontend(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir)
	require.NoError(t, l.Append(&Entry{ID: "a", Type: "ticket", Frontend: "proxy", CallerWaits: true, Body: []byte("b")}))
	require.NoError(t, l.Append(&Entry{ID: "b", Type: "ticket"}))
	require.ErrorIs(t, l.Append(&Entry{ID: "c", Frontend: string(make([]byte, maxFrontendName+1))}), ErrFull)
	l.Close()
	l = openLog(t, dir)
	defer l.Close()
	pending := l.Pending()
	require.Equal(t, []any{"proxy", true}, []any{pending[0].Frontend, pending[0].CallerWaits})
	require.Equal(t, []any{"", false}, []any{pending[1].Frontend, pending[1].CallerWaits})
}

func TestFailedWriteRecordsNothing(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir)
	l.active.Close() // makes all writes fail
	require.Error(t, l.Append(&Entry{ID: "a"}))
	require.Empty(t, l.Pending())
}

func restoredEntry(seq uint64, size int) *Entry {
	return &Entry{Seq: seq, Key: 3, Destination: 4, Tenant: 1, Type: "order", ID: "id", IdempotencyKey: "k", Expiry: 99,
		Attempts: 2, FirstRanAt: 55, FirstRanZone: 1,
		Body: make([]byte, size), Frontend: "web", CallerWaits: true}
}

func TestRestoreAcrossReopen(t *testing.T) {
	dir := t.TempDir()
	l, err := Open(dir, 1<<20)
	require.NoError(t, err)
	require.NoError(t, l.Append(&Entry{ID: "one"}))
	require.Equal(t, uint64(2), l.NextSeq(), "for a message in the backlog store")
	require.NoError(t, l.Restore(restoredEntry(40, 10)))
	require.NoError(t, l.Restore(restoredEntry(2, 10)))
	require.NoError(t, l.Restore(restoredEntry(40, 100)), "recorded twice")
	last := &Entry{ID: "last"}
	require.NoError(t, l.Append(last))
	require.Equal(t, uint64(41), last.Seq)
	l.Reserve(7)
	require.Equal(t, uint64(42), l.NextSeq())
	l.Reserve(100)
	require.Equal(t, uint64(101), l.NextSeq())
	require.NoError(t, l.RecordDone(2))
	pendingBytes := l.pending
	require.NoError(t, l.Close())

	l, err = Open(dir, 1<<20)
	require.NoError(t, err)
	defer l.Close()
	require.Equal(t, pendingBytes, l.pending)
	pending := l.Pending()
	require.Len(t, pending, 3)
	want := restoredEntry(40, 100)
	want.segment = pending[1].segment
	require.Equal(t, want, pending[1])
}

func TestRestoreFailsWhenFull(t *testing.T) {
	l, err := Open(t.TempDir(), 2<<20)
	require.NoError(t, err)
	defer l.Close()
	seq := uint64(1)
	for ; err == nil; seq++ {
		err = l.Restore(restoredEntry(seq, 60<<10))
	}
	require.ErrorIs(t, err, ErrFull)
	require.NoError(t, l.Restore(restoredEntry(1, 60<<10)), "an entry that is in the log already takes no more space")
	require.ErrorIs(t, l.Restore(restoredEntry(seq, 80<<10)), ErrFull)
	require.NoError(t, l.RecordDone(1))
	require.NoError(t, l.Restore(restoredEntry(seq, 60<<10)))
}

// failingFile is a segment file whose writes fail with err unless err is nil.
type failingFile struct {
	segmentFile
	err error
}

func (f *failingFile) Write(b []byte) (int, error) {
	if f.err != nil {
		return 0, f.err
	}
	return f.segmentFile.Write(b)
}

// failWrites makes the log's writes fail until err of the returned file is set to nil.
func failWrites(l *Log) *failingFile {
	f := &failingFile{l.active, syscall.EIO}
	l.active = f
	return f
}

// The log used to drop an entry whose end could not be recorded, and a second RecordDone did nothing. The next start
// then found the entry pending. A delivered message was sent again, a message with a final answer got another one, and
// a message moved to the backlog store stayed in both.
func TestFailedEndRecordIsRetried(t *testing.T) {
	for name, later := range map[string]func(*Log) error{
		"recorded again": func(l *Log) error { return l.RecordDone(1) },
		"retried":        (*Log).RetryDone,
		"closed":         func(*Log) error { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			l := openLog(t, dir)
			appendMessage(t, l, "a", 3)
			appendMessage(t, l, "b", 3)
			file := failWrites(l)
			require.ErrorIs(t, l.RecordDone(1), syscall.EIO)
			require.ErrorIs(t, l.RecordDone(1), syscall.EIO, "the end is still not recorded")
			require.ErrorIs(t, l.RetryDone(), syscall.EIO)
			require.Len(t, l.Pending(), 1)
			file.err = nil
			require.NoError(t, later(l))
			require.NoError(t, l.Close())
			l = openLog(t, dir)
			defer l.Close()
			require.Len(t, l.Pending(), 1)
			require.Equal(t, "b", l.Pending()[0].ID)
		})
	}
}

func TestRetryDoneLeavesRestoredEntryPending(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir)
	appendMessage(t, l, "a", 3)
	file := failWrites(l)
	require.ErrorIs(t, l.RecordDone(1), syscall.EIO)
	file.err = nil
	require.NoError(t, l.Restore(&Entry{Seq: 1, ID: "a", Type: "ticket"}))
	require.NoError(t, l.RetryDone())
	require.NoError(t, l.Close())
	l = openLog(t, dir)
	defer l.Close()
	require.Len(t, l.Pending(), 1)
}

func TestFreeingASegmentDropsItsUnrecordedEnds(t *testing.T) {
	l := openLog(t, t.TempDir())
	defer l.Close()
	appendMessage(t, l, "a", 3)
	file := failWrites(l)
	require.ErrorIs(t, l.RecordDone(1), syscall.EIO)
	file.err = nil
	require.Len(t, l.unrecorded, 1)
	for first := l.segments[0].number; l.segments[0].number == first; {
		m := appendMessage(t, l, "filling", 5000)
		require.NoError(t, l.RecordDone(m.Seq))
	}
	require.Empty(t, l.unrecorded)
}
