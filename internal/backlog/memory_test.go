package backlog

import (
	"fmt"
	"path/filepath"
	"runtime"
	"testing"
	"unsafe"

	"github.com/stretchr/testify/require"
)

// liveBytes returns the size of the reachable objects on the heap.
func liveBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

const maxMessageMemory = 64 // bytes per stored message, in addition to fixedMemory

// A stored message uses at most 64 bytes of memory, independent of its size. This also holds after a restart.
func TestMemoryPerStoredMessage(t *testing.T) {
	dir := t.TempDir()
	bounds := Bounds{Bytes: 256 << 20}
	for _, n := range []int{60_000, 110_000, 130_000, 200_000} {
		before := liveBytes()
		s, err := Open(OS{}, filepath.Join(dir, fmt.Sprint(n)), bounds)
		require.NoError(t, err)
		body := make([]byte, 300)
		for seq := range n {
			m := &Message{Seq: uint64(seq + 1), Lane: Lane{uint64(seq % 100), 1},
				ID: fmt.Sprintf("an id of usual length %d", seq), Body: body,
				Expiry: int64(seq * 7919 % n)}
			if err := s.Append(m); err != nil {
				require.NoError(t, err)
			}
		}
		each := float64(liveBytes()-before-fixedMemory) / float64(n)
		require.Less(t, each, float64(maxMessageMemory), "%d appended", n)
		require.NoError(t, s.Close())
		s = nil
		before = liveBytes()
		s, err = Open(OS{}, filepath.Join(dir, fmt.Sprint(n)), bounds)
		require.NoError(t, err)
		afterReopen := float64(liveBytes()-before-fixedMemory) / float64(n)
		require.Less(t, afterReopen, float64(maxMessageMemory), "%d read", n)
		require.Equal(t, n, s.Messages())
		t.Logf("%d: %.1f bytes per message after appending, %.1f after reopening", n, each, afterReopen)
		require.NoError(t, s.Close())
		runtime.KeepAlive(s)
	}
}

const fixedMemory = 600 << 10 // bytes for buffers and 100 lanes

// Opening a store with ten times as many messages takes at most ten times as many filesystem calls and as much memory,
// even if older messages were stored after newer ones.
func TestReopenIsLinear(t *testing.T) {
	cost := func(n int) (calls, allocated float64) {
		files := newMemFS()
		bounds := Bounds{Bytes: 256 << 20}
		s := openStore(t, files, bounds)
		for seq := range n {
			number := uint64(n + seq)
			if seq%10 == 9 { // spilled
				number = uint64(n - seq)
			}
			if err := s.Append(testMessage(Lane{uint64(seq % 50), 1}, number)); err != nil {
				require.NoError(t, err)
			}
		}
		require.NoError(t, s.Close())
		files.calls = 0
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		s = openStore(t, files, bounds)
		runtime.ReadMemStats(&after)
		require.Equal(t, n, s.Messages())
		return float64(files.calls), float64(after.TotalAlloc - before.TotalAlloc)
	}
	calls, allocated := cost(10_000)
	moreCalls, moreAllocated := cost(100_000)
	require.LessOrEqual(t, moreCalls, 10*calls)
	require.LessOrEqual(t, moreAllocated, 10*allocated)
}

const maxKeyMemory = 32 // bytes that a distinct ordering key adds per stored message

// A stored message with a distinct ordering key uses at most 32 bytes more. This also holds after a restart.
func TestMemoryPerDistinctOrderingKey(t *testing.T) {
	dir := t.TempDir()
	bounds := Bounds{Bytes: 256 << 20}
	for _, n := range []int{60_000, 110_000, 130_000, 200_000} {
		before := liveBytes()
		s, err := Open(OS{}, filepath.Join(dir, fmt.Sprint(n)), bounds)
		require.NoError(t, err)
		body := make([]byte, 300)
		for seq := range n {
			m := &Message{Seq: uint64(seq + 1), Lane: Lane{uint64(seq % 100), 1},
				ID: fmt.Sprintf("an id of usual length %d", seq), Body: body,
				Expiry: int64(seq * 7919 % n), Key: uint64(seq + 1), Ordered: true}
			if err := s.Append(m); err != nil {
				require.NoError(t, err)
			}
		}
		each := float64(liveBytes()-before-fixedMemory) / float64(n)
		require.Less(t, each, float64(maxMessageMemory+maxKeyMemory), "%d appended", n)
		require.NoError(t, s.Close())
		s = nil
		before = liveBytes()
		s, err = Open(OS{}, filepath.Join(dir, fmt.Sprint(n)), bounds)
		require.NoError(t, err)
		again := float64(liveBytes()-before-fixedMemory) / float64(n)
		require.Less(t, again, float64(maxMessageMemory+maxKeyMemory), "%d read", n)
		require.Equal(t, n, s.keys.count)
		slots := 0
		for i := range s.keys.shards {
			slots += len(s.keys.shards[i].slots)
		}
		keys := float64(slots*int(unsafe.Sizeof(keySlot{}))) / float64(n)
		require.Less(t, keys, float64(maxKeyMemory))
		t.Logf("%d: %.1f bytes per message after appending, %.1f after reopening; %.1f for the key", n, each, again, keys)
		require.NoError(t, s.Close())
		runtime.KeepAlive(s)
	}
}
