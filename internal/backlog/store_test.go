package backlog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func openStore(t *testing.T, files FS, bounds Bounds) *Store {
	s, err := Open(files, testDir, bounds)
	require.NoError(t, err)
	return s
}

func seqsOf(ms []*Message) []uint64 {
	seqs := []uint64{}
	for _, m := range ms {
		seqs = append(seqs, m.Seq)
	}
	return seqs
}

func headSeqs(t *testing.T, s *Store, lane Lane, n int) []uint64 {
	ms, err := s.Head(lane, n)
	require.NoError(t, err)
	return seqsOf(ms)
}

func TestLanesAreQueuesInTheOrderOfTaking(t *testing.T) {
	s := openStore(t, newMemFS(), smallBounds)
	one, other := Lane{1, 1}, Lane{1, 2}
	for seq := uint64(10); seq < 16; seq++ {
		require.NoError(t, s.Append(testMessage(one, seq)))
		require.NoError(t, s.Append(testMessage(other, 100+seq)))
	}
	require.Equal(t, []uint64{10, 11, 12}, headSeqs(t, s, one, 3))
	require.Equal(t, []uint64{110}, headSeqs(t, s, other, 1))

	require.NoError(t, s.Append(testMessage(one, 9)), "one taken before all that is stored goes before it")
	require.NoError(t, s.Append(testMessage(one, 3)))
	require.Equal(t, []uint64{3, 9, 10, 11, 12, 13, 14, 15}, headSeqs(t, s, one, 100))

	require.ErrorIs(t, s.Append(testMessage(one, 12)), ErrStored)
	require.ErrorIs(t, s.Append(testMessage(one, 5)), ErrOrder)
	require.Equal(t, 8, s.Stored(one))
	require.Equal(t, 14, s.Messages())
	require.Equal(t, uint64(115), s.LastSeq())

	require.NoError(t, s.Release([]Ref{NewRef(one, 11, "id-11", 1), NewRef(one, 3, "id-3", 3), NewRef(one, 77, "id-77", 2), NewRef(Lane{9, 9}, 1, "id", 1)}))
	require.Equal(t, []uint64{9, 10, 12, 13, 14, 15}, headSeqs(t, s, one, 100))
	require.False(t, s.Has("id-11"))
	require.True(t, s.Has("id-12"))
	require.False(t, s.Has("id-77"))
	checkStore(t, s)

	require.NoError(t, s.Close())
	require.ErrorIs(t, s.Append(testMessage(one, 200)), ErrClosed)
	require.ErrorIs(t, s.Release(nil), ErrClosed)
}

func TestReopenFindsWhatWasStored(t *testing.T) {
	files := newMemFS()
	rng := rand.New(rand.NewPCG(1, 2))
	s := openStore(t, files, smallBounds)
	next := uint64(1)
	for round := range 40 {
		for range 60 {
			lane := Lane{uint64(rng.IntN(4)), 1}
			if rng.IntN(5) < 3 {
				if err := s.Append(testMessage(lane, next)); err != nil {
					require.ErrorIs(t, err, ErrFull)
				}
				next++
				continue
			}
			all := headSeqs(t, s, lane, 1000)
			if len(all) > 0 { // also from the middle
				seq := all[rng.IntN(len(all))]
				require.NoError(t, s.Release([]Ref{NewRef(lane, seq, fmt.Sprintf("id-%d", seq), seq%5)}))
			}
		}
		before := map[Lane][]uint64{}
		for _, lane := range s.Lanes() {
			before[lane] = headSeqs(t, s, lane, 1000)
		}
		last := s.LastSeq()
		require.NoError(t, s.Close())
		s = openStore(t, files, smallBounds)
		require.Equal(t, last, s.LastSeq(), "round %d", round)
		after := map[Lane][]uint64{}
		for _, lane := range s.Lanes() {
			after[lane] = headSeqs(t, s, lane, 1000)
		}
		require.Equal(t, before, after)
		checkStore(t, s)
	}
	require.Greater(t, s.segments[0].number, uint32(2), "segments were freed meanwhile")
}

func TestHistoryIsKept(t *testing.T) {
	s := openStore(t, newMemFS(), smallBounds)
	m := testMessage(testLanes[0], 5)
	require.NoError(t, s.Append(m))
	got, err := s.Head(testLanes[0], 1)
	require.NoError(t, err)
	require.Equal(t, []*Message{m}, got)
	empty := &Message{Seq: 6, Lane: testLanes[0], Body: []byte{}}
	require.NoError(t, s.Append(empty))
	got, err = s.Head(testLanes[0], 2)
	require.NoError(t, err)
	require.Empty(t, got[1].Body)
	require.Equal(t, Untried, got[1].State())
	require.ErrorIs(t, s.Append(&Message{Seq: 7, Lane: testLanes[0], Body: make([]byte, maxBody+1)}), ErrTooLarge)
	require.ErrorIs(t, s.Append(&Message{Seq: 7, Lane: testLanes[0], ID: string(make([]byte, maxText+1))}), ErrTooLarge)
}

func TestBoundsAreCheckedByField(t *testing.T) {
	for field, b := range map[string]Bounds{"bytes": {Bytes: 1000, SegmentBytes: 1000}, "segment_bytes": {Bytes: 1 << 40, SegmentBytes: 1 << 31},
		"open_files": {Bytes: 1 << 20, SegmentBytes: 1024, OpenFiles: -1}} {
		_, err := Open(newMemFS(), testDir, b)
		require.ErrorContains(t, err, field+":")
	}
}

// filled makes a store of several segments and closes it.
func filled(t *testing.T) *memFS {
	files := newMemFS()
	s := openStore(t, files, smallBounds)
	for seq := uint64(1); seq <= 60; seq++ {
		require.NoError(t, s.Append(testMessage(testLanes[seq%3], seq)))
		if seq%10 == 0 {
			ms, err := s.Head(testLanes[0], 1)
			require.NoError(t, err)
			require.NoError(t, s.Release(refsOf(ms)))
		}
	}
	require.Greater(t, len(s.segments), 4)
	require.NoError(t, s.Close())
	return files
}

func segmentFiles(files *memFS) []string {
	var names []string
	for name := range files.files {
		if _, ok := segmentNumber(filepath.Base(name)); ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Whatever byte of a store is altered, it is refused by the name of the file, and nothing is changed in it.
func TestDamageIsRefusedByName(t *testing.T) {
	whole := filled(t)
	names := segmentFiles(whole)
	for i, name := range names {
		for at := 0; at < len(whole.files[name]); at += 3 {
			files := whole.reboot()
			files.files[name][at] ^= 0x10
			_, err := Open(files, testDir, smallBounds)
			var damage *DamageError
			var version *VersionError
			if !errors.As(err, &version) {
				require.ErrorAs(t, err, &damage, "%s byte %d", name, at)
				if i == 0 || damage.File == name {
					require.Equal(t, name, damage.File)
				}
			}
			require.False(t, files.locked)
			files.files[name][at] ^= 0x10
			require.Equal(t, whole.files, files.files, "nothing was changed")
			_, err = Open(files, testDir, smallBounds)
			require.NoError(t, err)
		}
	}
}

func TestCutOrMissingSegmentIsRefused(t *testing.T) {
	whole := filled(t)
	names := segmentFiles(whole)
	middle := names[len(names)/2]
	for _, cut := range []int{0, 10, segmentHeader, segmentHeader + 5, len(whole.files[middle]) - 1} {
		files := whole.reboot()
		files.files[middle] = files.files[middle][:cut]
		_, err := Open(files, testDir, smallBounds)
		var damage *DamageError
		require.ErrorAs(t, err, &damage)
		require.Equal(t, middle, damage.File)
	}
	files := whole.reboot()
	delete(files.files, middle)
	_, err := Open(files, testDir, smallBounds)
	require.ErrorContains(t, err, middle+": byte 0: missing")
	_, err = Inspect(files, testDir)
	require.ErrorContains(t, err, "missing")
	_, err = Verify(files, testDir)
	require.ErrorContains(t, err, "missing")
}

func TestNewerVersionIsRefused(t *testing.T) {
	files := filled(t)
	names := segmentFiles(files)
	files.files[names[1]][8] = segmentVersion + 1
	_, err := Open(files, testDir, smallBounds)
	var version *VersionError
	require.ErrorAs(t, err, &version)
	require.Equal(t, VersionError{File: names[1], Version: segmentVersion + 1}, *version)
}

// Wherever a kill cuts the last segment, what was whole before is there, and the store goes on.
func TestTornTailIsNoDamage(t *testing.T) {
	whole := filled(t)
	names := segmentFiles(whole)
	last := names[len(names)-1]
	most := -1
	for cut := 0; cut <= len(whole.files[last]); cut++ {
		files := whole.reboot()
		files.files[last] = files.files[last][:cut]
		s := openStore(t, files, smallBounds)
		checkStore(t, s)
		require.GreaterOrEqual(t, s.Messages()+2, most, "a release may come back alive or not, a message in the cut is gone")
		most = s.Messages()
		require.NoError(t, s.Append(testMessage(testLanes[0], 1000)))
		want := headSeqs(t, s, testLanes[0], 1000)
		require.NoError(t, s.Close())
		s = openStore(t, files, smallBounds)
		require.Equal(t, want, headSeqs(t, s, testLanes[0], 1000), "cut at %d", cut)
		reports, err := Verify(files, testDir)
		require.NoError(t, err)
		for _, r := range reports {
			require.NoError(t, r.Fault)
		}
	}
}

func TestVerifyNamesEachFault(t *testing.T) {
	files := filled(t)
	names := segmentFiles(files)
	files.files[names[0]][segmentHeader+20] ^= 1
	files.files[names[2]][segmentHeader+20] ^= 1
	reports, err := Verify(files, testDir)
	require.NoError(t, err)
	require.Len(t, reports, len(names))
	for i, r := range reports {
		require.Equal(t, names[i], r.File)
		if i == 0 || i == 2 {
			require.ErrorContains(t, r.Fault, names[i]+": byte 32: a record fails its checksum")
		} else {
			require.NoError(t, r.Fault)
			require.Positive(t, r.Messages)
		}
	}
}

func TestReadOfDamagedRecordIsRefused(t *testing.T) {
	files := newMemFS()
	s := openStore(t, files, smallBounds)
	require.NoError(t, s.Append(testMessage(testLanes[0], 1)))
	files.files[segmentName(testDir, 1)][segmentHeader+60] ^= 1
	_, err := s.Head(testLanes[0], 1)
	require.ErrorContains(t, err, segmentName(testDir, 1)+": byte 32:")
	require.Equal(t, 1, s.Messages())
}

func TestFullDiskRefusesAndDrains(t *testing.T) {
	for _, capacity := range []int{6 << 10, 9 << 10, 14 << 10, 20 << 10} {
		files := newMemFS()
		files.capacity = capacity
		s := openStore(t, files, smallBounds)
		stored := map[Lane][]uint64{}
		fill := func(from uint64) (refused int) {
			for seq := from; seq < from+200; seq++ {
				lane := testLanes[seq%3]
				err := s.Append(testMessage(lane, seq))
				if err == nil {
					stored[lane] = append(stored[lane], seq)
					continue
				}
				var full *FullError
				require.ErrorAs(t, err, &full)
				require.ErrorIs(t, err, ErrFull)
				require.Error(t, full.Err, "it is the disk")
				refused++
			}
			return refused
		}
		require.Positive(t, fill(1))
		before := s.Messages()
		for _, lane := range testLanes {
			require.Equal(t, stored[lane], headSeqs(t, s, lane, 1000), "nothing taken is lost")
		}
		for s.Messages() > 0 { // drains in turn, one each
			for _, lane := range testLanes {
				ms, err := s.Head(lane, 1)
				require.NoError(t, err)
				if len(ms) > 0 {
					require.Equal(t, stored[lane][0], ms[0].Seq)
					stored[lane] = stored[lane][1:]
				}
				require.NoError(t, s.Release(refsOf(ms)), "a full disk does not stop the drain")
			}
		}
		require.Less(t, int64(files.used()), 3*smallBounds.SegmentBytes, "space comes back")
		require.True(t, s.ballast)
		fill(1000)
		messages := s.Messages()
		require.Greater(t, messages, before*7/8, "as much has room as before, but for longer ids")
		require.NoError(t, s.Close())
		s = openStore(t, files, smallBounds)
		require.Equal(t, messages, s.Messages())
		checkStore(t, s)
	}
}

func TestDrainGivesSpaceBack(t *testing.T) {
	files := newMemFS()
	s := openStore(t, files, smallBounds)
	next := uint64(1)
	for range 5 {
		var err error
		for ; err == nil; next++ {
			err = s.Append(testMessage(testLanes[next%3], next))
		}
		require.ErrorIs(t, err, ErrFull)
		require.Greater(t, s.Messages(), 80)
		for _, lane := range testLanes {
			ms, err := s.Head(lane, 1000)
			require.NoError(t, err)
			require.NoError(t, s.Release(refsOf(ms)))
		}
		require.Less(t, int64(files.used()), 3*smallBounds.SegmentBytes)
	}
}

func TestLoweredBoundsKeepWhatIsStored(t *testing.T) {
	files := newMemFS()
	s := openStore(t, files, smallBounds)
	for seq := uint64(1); seq <= 60; seq++ {
		require.NoError(t, s.Append(testMessage(testLanes[0], seq)))
	}
	lower := Bounds{Bytes: 8 << 10, SegmentBytes: 512}
	require.NoError(t, s.SetBounds(lower))
	require.Error(t, s.SetBounds(Bounds{Bytes: 1, SegmentBytes: 512}))
	require.ErrorIs(t, s.Append(testMessage(testLanes[0], 100)), ErrFull)
	require.Equal(t, 60, s.Messages())
	require.NoError(t, s.Close())
	s = openStore(t, files, lower)
	require.Equal(t, 60, s.Messages())
	require.ErrorIs(t, s.Append(testMessage(testLanes[0], 100)), ErrFull)
	for seq := uint64(1); seq <= 59; seq++ {
		require.Equal(t, []uint64{seq}, headSeqs(t, s, testLanes[0], 1))
		require.NoError(t, s.Release([]Ref{NewRef(testLanes[0], seq, fmt.Sprintf("id-%d", seq), seq%5)}))
	}
	require.NoError(t, s.Append(testMessage(testLanes[0], 100)))
	require.LessOrEqual(t, int64(files.used()), lower.Bytes)
	checkStore(t, s)
}

// 100,000 that expire in one second over many lanes come out in the order of expiry, in batches.
func TestManyExpireInOneSecond(t *testing.T) {
	const n, lanes, batch = 100_000, 300, 512
	s := openStore(t, newMemFS(), Bounds{Bytes: 256 << 20})
	rng := rand.New(rand.NewPCG(5, 5))
	for seq := uint64(1); seq <= n; seq++ {
		m := &Message{Seq: seq, Lane: Lane{seq % lanes, 1}, ID: fmt.Sprint(seq), Expiry: 1_000_000 + rng.Int64N(1_000_000)}
		require.NoError(t, s.Append(m))
	}
	last := &Message{Seq: n + 1, Lane: Lane{1, 1}, ID: "later", Expiry: 5_000_000}
	require.NoError(t, s.Append(last))
	at, ok := s.NextExpiry()
	require.True(t, ok)
	require.Less(t, at, int64(1_001_000))
	none, err := s.Expired(at-1, batch)
	require.NoError(t, err)
	require.Empty(t, none)
	got, before := 0, int64(0)
	for {
		ms, err := s.Expired(2_000_000, batch)
		require.NoError(t, err)
		require.LessOrEqual(t, len(ms), batch)
		if len(ms) == 0 {
			break
		}
		for _, m := range ms {
			if m.Expiry < before {
				require.Fail(t, "out of the order of expiry")
			}
			before = m.Expiry
		}
		got += len(ms)
		require.NoError(t, s.Release(refsOf(ms)))
	}
	require.Equal(t, n, got)
	require.Equal(t, 1, s.Messages())
	at, _ = s.NextExpiry()
	require.Equal(t, last.Expiry, at)
	checkStore(t, s)
}

// liveBytes is what the heap holds.
func liveBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

const mostMemory = 64 // bytes a stored message, beyond a fixed part and that of lanes

// A stored message takes at most 64 bytes of memory, also after a restart, whatever its size.
func TestMemoryOfAStoredMessage(t *testing.T) {
	dir := t.TempDir()
	bounds := Bounds{Bytes: 256 << 20}
	for _, n := range []int{60_000, 110_000, 130_000, 200_000} {
		before := liveBytes()
		s, err := Open(OS{}, filepath.Join(dir, fmt.Sprint(n)), bounds)
		require.NoError(t, err)
		body := make([]byte, 300)
		for seq := range n {
			m := &Message{Seq: uint64(seq + 1), Lane: Lane{uint64(seq % 100), 1}, ID: fmt.Sprintf("an id of usual length %d", seq), Body: body,
				Expiry: int64(seq * 7919 % n)}
			if err := s.Append(m); err != nil {
				require.NoError(t, err)
			}
		}
		each := float64(liveBytes()-before-fixedMemory) / float64(n)
		require.Less(t, each, float64(mostMemory), "%d appended", n)
		require.NoError(t, s.Close())
		s = nil
		before = liveBytes()
		s, err = Open(OS{}, filepath.Join(dir, fmt.Sprint(n)), bounds)
		require.NoError(t, err)
		again := float64(liveBytes()-before-fixedMemory) / float64(n)
		require.Less(t, again, float64(mostMemory), "%d read", n)
		require.Equal(t, n, s.Messages())
		t.Logf("%d: %.1f bytes a message appended, %.1f read", n, each, again)
		require.NoError(t, s.Close())
		runtime.KeepAlive(s)
	}
}

const fixedMemory = 600 << 10 // bytes: buffers and 100 lanes

// Ten times as many messages take ten times the calls and the memory to read again, not more, also where older ones were
// stored behind newer ones.
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

func TestLookAtAStoreInUse(t *testing.T) {
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

	for _, lane := range testLanes { // the segments go away under it
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
