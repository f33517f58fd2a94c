package wal

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestInspectDistinguishesTornEndFromDamage(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir)
	for _, id := range []string{"a", "b", "c"} {
		appendMessage(t, l, id, 100)
	}
	require.NoError(t, l.RecordAttempt(1, 5, 0))
	v, err := Inspect(dir) // while the log is open
	require.NoError(t, err)
	require.Equal(t, os.Getpid(), v.HolderPID)
	require.Empty(t, v.DamagedRecords)
	require.Len(t, v.Pending, 3)
	require.Equal(t, []string{"out", "held"}, []string{v.Pending[0].State(), v.Pending[1].State()})
	l.Close()
	intact, err := os.ReadFile(lastFile(t, dir))
	require.NoError(t, err)
	inspect := func(text []byte) *View {
		require.NoError(t, os.WriteFile(lastFile(t, dir), text, 0o600))
		v, err := Inspect(dir)
		require.NoError(t, err)
		after, _ := os.ReadFile(lastFile(t, dir))
		require.Equal(t, text, after)
		return v
	}
	v = inspect(intact[:len(intact)-40])
	require.True(t, len(v.DamagedRecords) == 1 && v.DamagedRecords[0].Torn && !v.Damaged(), v.DamagedRecords)
	damaged := bytes.Clone(intact)
	damaged[60] ^= 1 // in the first message
	v = inspect(damaged)
	require.True(t, v.Damaged(), v.DamagedRecords)
	require.Equal(t, []any{1, int64(0), 2}, []any{len(v.DamagedRecords), v.DamagedRecords[0].Offset, len(v.Pending)})
	damaged[2] = 0xff                                                 // too large a length hides the next record
	require.NoError(t, os.WriteFile(segmentPath(dir, 9), nil, 0o600)) // segment 1 is no longer the last
	require.NoError(t, os.WriteFile(segmentPath(dir, 1), damaged, 0o600))
	v, err = Inspect(dir)
	require.NoError(t, err)
	require.True(t, v.Damaged(), v.DamagedRecords)
}

func TestInspectWhileSegmentsAreFreed(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir)
	defer l.Close()
	appendMessage(t, l, "stays", 100)
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			default:
				e := &Entry{ID: "goes", Type: "ticket", Body: make([]byte, 20_000)}
				if l.Append(e) == nil {
					l.RecordDone(e.Seq)
				}
			}
		}
	}()
	for range 200 {
		v, err := Inspect(dir)
		if err != nil {
			require.ErrorIs(t, err, ErrFreedWhileRead)
			continue
		}
		require.Equal(t, "stays", v.Pending[0].ID)
		require.False(t, v.Damaged(), v.DamagedRecords)
	}
	close(stop)
	<-stopped
}
