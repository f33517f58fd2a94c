package wal

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEmptyFolderHasNothingPending(t *testing.T) {
	require.Empty(t, pendingIDs(t, t.TempDir()))
}

func TestReopenRestoresPendingEntries(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir)
	a, b := appendMessage(t, l, "a", 3), appendMessage(t, l, "b", 3)
	c, d := appendMessage(t, l, "c", 3), appendMessage(t, l, "d", 3)
	require.NoError(t, l.RecordAttempt(a.Seq, 10, 1))
	require.NoError(t, l.RecordAttemptEnd(a.Seq, AttemptMayHaveRun))
	require.NoError(t, l.RecordAttempt(a.Seq, 20, 2))
	require.NoError(t, l.RecordAttempt(b.Seq, 30, 1))
	require.NoError(t, l.RecordAttemptEnd(b.Seq, AttemptNotRun))
	require.NoError(t, l.RecordDone(c.Seq))
	require.NoError(t, l.RecordAnswer(d.Seq, Rejected, 700))
	require.NoError(t, l.Close())
	l = openLog(t, dir)
	got := l.Pending()
	require.Len(t, got, 3)
	require.Equal(t, Entry{Seq: 1, Key: 5, Destination: 7, Type: "ticket", ID: "a", IdempotencyKey: "m", Expiry: 99,
		Attempts: 2, FirstRanAt: 10,
		FirstRanZone: 1, AttemptStartedAt: 20, AttemptZone: 2, Body: make([]byte, 3), segment: 1}, *got[0])
	require.Equal(t, []any{1, int64(0), int64(0)}, []any{got[1].Attempts, got[1].FirstRanAt, got[1].AttemptStartedAt})
	require.Equal(t, []any{Rejected, 700}, []any{got[2].Answer, got[2].RetryAfter})
	require.Equal(t, uint64(5), appendMessage(t, l, "e", 3).Seq, "sequence numbers are not reused")
}

// An attempt that ended without cost leaves the message as many attempts as before, also behind a restart.
func TestUncountedAttemptIsNotCountedAfterReopen(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir)
	a := appendMessage(t, l, "a", 3)
	for at, end := range map[int64]AttemptEnd{10: AttemptNotRun, 20: AttemptUncounted, 30: AttemptUncounted} {
		require.NoError(t, l.RecordAttempt(a.Seq, at, 1))
		require.NoError(t, l.RecordAttemptEnd(a.Seq, end))
	}
	require.Equal(t, 1, l.Pending()[0].Attempts)
	require.NoError(t, l.Close())
	got := openLog(t, dir).Pending()
	require.Equal(t, []any{1, int64(0), int64(0)}, []any{got[0].Attempts, got[0].FirstRanAt, got[0].AttemptStartedAt})
}

func TestFullLogStillRecordsAttempts(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir)
	var entries []*Entry
	for {
		e := &Entry{Type: "ticket", ID: fmt.Sprint(len(entries)), Body: make([]byte, 5000)}
		if err := l.Append(e); err != nil {
			require.ErrorIs(t, err, ErrFull)
			break
		}
		entries = append(entries, e)
	}
	require.Greater(t, len(entries)*5000, l.Capacity()*9/10)
	for _, e := range entries {
		for at := range 20 {
			require.NoError(t, l.RecordAttempt(e.Seq, int64(at+1), 0))
			require.NoError(t, l.RecordAttemptEnd(e.Seq, AttemptNotRun))
		}
	}
	for _, e := range entries[1:] {
		require.NoError(t, l.RecordDone(e.Seq))
	}
	appendMessage(t, l, "new", 5000)
	l.Close()
	require.Equal(t, []string{"0", "new"}, pendingIDs(t, dir))
}

func TestOpenWithTooSmallLimitFails(t *testing.T) {
	_, err := Open(t.TempDir(), 100_000)
	require.ErrorIs(t, err, ErrLimitTooSmall)
}
