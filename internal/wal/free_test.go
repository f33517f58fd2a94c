package wal

import (
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// Freeing a file costs by what is recorded in it, not by all that is owed. It is judged by bytes allocated.
func TestFreeingAFileCostsByWhatItHolds(t *testing.T) {
	allocated := func(others int) uint64 {
		l := open(t, t.TempDir())
		defer l.Close()
		kept := take(t, l, "kept", 100)
		require.NoError(t, l.rotate())
		for i := range others {
			e := &Entry{Seq: uint64(1000 + i), file: l.files[len(l.files)-1].number}
			l.entries[e.Seq] = e
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		require.NoError(t, l.free())
		runtime.ReadMemStats(&after)
		require.Equal(t, l.files[len(l.files)-1].number, kept.file, "it is recorded anew")
		return after.TotalAlloc - before.TotalAlloc
	}
	require.Less(t, allocated(100_000), allocated(10)+100_000)
}

func TestAFileThatAnEarlierProcessWroteIsFreedWithWhatItOwes(t *testing.T) {
	dir := t.TempDir()
	l := open(t, dir)
	take(t, l, "first", 100)
	require.NoError(t, l.RecordDone(take(t, l, "over", 100).Seq))
	take(t, l, "second", 100)
	require.NoError(t, l.Close())
	l = open(t, dir)
	for len(l.files) > 1 {
		require.NoError(t, l.free())
	}
	require.NoError(t, l.Close())
	require.Equal(t, []string{"first", "second"}, owed(t, dir))
}
