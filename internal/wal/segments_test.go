package wal

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// Months of traffic, with other entries pending all the time and the process killed now and then.
func TestFolderStaysUnderItsLimitAndKeepsPendingEntries(t *testing.T) {
	dir := t.TempDir()
	random := rand.New(rand.NewPCG(1, 2))
	l, want := openLog(t, dir), map[uint64]int{}
	for i := range 30000 {
		if e := (&Entry{Type: "ticket", ID: "x", Body: make([]byte, random.IntN(8000))}); l.Append(e) == nil {
			want[e.Seq] = 0
		}
		for seq := range want {
			if random.IntN(3) == 0 {
				require.NoError(t, l.RecordAttempt(seq, int64(i+1), 0))
				want[seq]++
			} else if random.IntN(3) == 0 {
				require.NoError(t, l.RecordDone(seq))
				delete(want, seq)
			}
			if random.IntN(3) == 0 {
				break
			}
		}
		if i%100 == 0 {
			size := int64(0)
			files, err := os.ReadDir(dir)
			require.NoError(t, err)
			for _, f := range files {
				info, err := f.Info()
				require.NoError(t, err)
				size += diskSize(info.Size())
			}
			require.LessOrEqual(t, size, int64(testLimit))
		}
		if i%500 == 0 {
			l.Close()
			l = openLog(t, dir)
			got := map[uint64]int{}
			for _, e := range l.Pending() {
				got[e.Seq] = e.Attempts
			}
			require.Equal(t, want, got)
		}
	}
}

// Freeing a segment costs by what is recorded in it, not by all that is pending. It is judged by bytes allocated.
func TestFreeingASegmentCostsByWhatItHolds(t *testing.T) {
	allocated := func(others int) uint64 {
		l := openLog(t, t.TempDir())
		defer l.Close()
		kept := appendMessage(t, l, "kept", 100)
		require.NoError(t, l.rotate())
		for i := range others {
			e := &Entry{Seq: uint64(1000 + i), segment: l.segments[len(l.segments)-1].number}
			l.entries[e.Seq] = e
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		require.NoError(t, l.freeOldest())
		runtime.ReadMemStats(&after)
		require.Equal(t, l.segments[len(l.segments)-1].number, kept.segment, "it is recorded anew")
		return after.TotalAlloc - before.TotalAlloc
	}
	require.Less(t, allocated(100_000), allocated(10)+100_000)
}

func TestSegmentOfAnEarlierProcessIsFreedWithItsPendingEntries(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir)
	appendMessage(t, l, "first", 100)
	require.NoError(t, l.RecordDone(appendMessage(t, l, "over", 100).Seq))
	appendMessage(t, l, "second", 100)
	require.NoError(t, l.Close())
	l = openLog(t, dir)
	for len(l.segments) > 1 {
		require.NoError(t, l.freeOldest())
	}
	require.NoError(t, l.Close())
	require.Equal(t, []string{"first", "second"}, pendingIDs(t, dir))
}

// Each process begins a segment. Those of processes that wrote less than one holds are freed too, before they fill the
// log: it could record neither a message nor an end, however little is pending.
func TestManyShortProcessesDoNotFillTheWriteAheadLog(t *testing.T) {
	dir := t.TempDir()
	kept := 0
	for process := range 120 {
		l := openLog(t, dir)
		require.Len(t, l.Pending(), kept)
		appendMessage(t, l, fmt.Sprint("kept ", process), 100)
		kept++
		for i := range 30 {
			e := appendMessage(t, l, fmt.Sprintf("%d of %d", i, process), 1000)
			require.NoError(t, l.RecordDone(e.Seq), "process %d", process)
		}
		require.LessOrEqual(t, l.Used(), int64(testLimit))
		require.NoError(t, l.Close())
	}
	require.Len(t, pendingIDs(t, dir), kept)
}
