package wal

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
)

// Simulates months of traffic with a changing set of pending entries and a reopen after every 500 messages.
func TestFolderSizeStaysWithinLimit(t *testing.T) {
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

// The cost of freeing a segment, measured in allocated bytes, depends on the entries recorded in the segment and not on
// the total number of pending entries.
func TestCostOfFreeingASegment(t *testing.T) {
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
		require.Equal(t, l.segments[len(l.segments)-1].number, kept.segment, "recorded again in the last segment")
		return after.TotalAlloc - before.TotalAlloc
	}
	require.Less(t, allocated(100_000), allocated(10)+100_000)
}

func TestFreeingSegmentOfAnEarlierProcessKeepsPendingEntries(t *testing.T) {
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

// Each process starts a new segment. Small segments of short-lived processes must be freed too. Otherwise they fill the
// log, which can then record neither messages nor ends even if few messages are pending.
func TestManyShortProcessesDoNotFillTheLog(t *testing.T) {
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
