package backlog

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestInspectReadsAStoreInUse(t *testing.T) {
	dir := t.TempDir()
	bounds := Bounds{Bytes: 64 << 10, SegmentBytes: 2 << 10}
	s, err := Open(OS{}, dir, bounds)
	require.NoError(t, err)
	_, err = Open(OS{}, dir, bounds)
	var locked *LockedError
	require.ErrorAs(t, err, &locked)
	require.Equal(t, os.Getpid(), locked.PID)
	require.ErrorContains(t, err, fmt.Sprintf("pid %d", os.Getpid()))

	for seq := uint64(1); seq <= 30; seq++ {
		require.NoError(t, s.Append(testMessage(testLanes[seq%2], seq)))
	}
	view, err := Inspect(OS{}, dir)
	require.NoError(t, err)
	stats, err := view.Stats()
	require.NoError(t, err)
	require.Equal(t, 30, stats.Messages)
	require.Equal(t, map[uint64]int{1: 30}, map[uint64]int{1: stats.Destinations[1].Messages})
	require.Equal(t, 15, stats.Tenants[1].Messages)
	require.Equal(t, int64(1), stats.Oldest)
	require.Equal(t, int64(2), stats.Tenants[1].Oldest)
	require.Equal(t, [stateCount]int{5, 10, 15}, stats.States)
	require.Equal(t, s.Bytes(), stats.Bytes)
	var seen []uint64
	require.NoError(t, view.Each(func(l Lane) bool { return l == testLanes[1] }, func(m *Message) error {
		seen = append(seen, m.Seq)
		return nil
	}))
	require.Equal(t, headSeqs(t, s, testLanes[1], 100), seen)

	for _, lane := range testLanes { // frees segments that the view still refers to
		ms, err := s.Head(lane, 100)
		require.NoError(t, err)
		require.NoError(t, s.Release(refsOf(ms)))
	}
	require.NoError(t, view.Close())
	err = view.Each(func(Lane) bool { return true }, func(*Message) error { return nil })
	require.ErrorIs(t, err, ErrChanged)
	view, err = Inspect(OS{}, dir)
	require.NoError(t, err)
	require.Zero(t, view.store.Messages())
	require.NoError(t, s.Close())

	_, err = Inspect(OS{}, filepath.Join(dir, "none"))
	require.ErrorIs(t, err, os.ErrNotExist)
}
