package backlog

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOpenNamesInvalidBound(t *testing.T) {
	for field, b := range map[string]Bounds{
		"bytes":         {Bytes: 1000, SegmentBytes: 1000},
		"segment_bytes": {Bytes: 1 << 40, SegmentBytes: 1 << 31},
		"open_files":    {Bytes: 1 << 20, SegmentBytes: 1024, OpenFiles: -1},
	} {
		_, err := Open(newMemFS(), testDir, b)
		require.ErrorContains(t, err, field+":")
	}
}

func TestStoreOnFullDiskRefusesAndDrains(t *testing.T) {
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
				require.Error(t, full.Err, "the disk is full, not the store")
				refused++
			}
			return refused
		}
		require.Positive(t, fill(1))
		before := s.Messages()
		for _, lane := range testLanes {
			require.Equal(t, stored[lane], headSeqs(t, s, lane, 1000), "accepted messages are not lost")
		}
		for s.Messages() > 0 { // drains one message of each lane in turn
			for _, lane := range testLanes {
				ms, err := s.Head(lane, 1)
				require.NoError(t, err)
				if len(ms) > 0 {
					require.Equal(t, stored[lane][0], ms[0].Seq)
					stored[lane] = stored[lane][1:]
				}
				require.NoError(t, s.Release(refsOf(ms)), "the store can be drained on a full disk")
			}
		}
		require.Less(t, int64(files.used()), 3*smallBounds.SegmentBytes, "disk space is freed")
		require.True(t, s.ballast)
		fill(1000)
		messages := s.Messages()
		require.Greater(t, messages, before*7/8, "as much fits as before, except for longer ids")
		require.NoError(t, s.Close())
		s = openStore(t, files, smallBounds)
		require.Equal(t, messages, s.Messages())
		checkStore(t, s)
	}
}

func TestDrainFreesDiskSpace(t *testing.T) {
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

func TestLoweredBoundsKeepStoredMessages(t *testing.T) {
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

func TestUsedStaysWithinBounds(t *testing.T) {
	files := newMemFS()
	s, err := Open(files, testDir, smallBounds)
	require.NoError(t, err)
	rng := rand.New(rand.NewPCG(3, 3))
	refused, next := 0, uint64(1)
	for range 20000 {
		lane := Lane{Destination: uint64(rng.IntN(20)), Tenant: 1}
		if rng.IntN(5) > 0 {
			m := testMessage(lane, next)
			next++
			if err := s.Append(m); err != nil {
				require.ErrorIs(t, err, ErrFull)
				refused++
			}
		} else {
			ms, err := s.Head(lane, 1+rng.IntN(3))
			require.NoError(t, err)
			require.NoError(t, s.Release(refsOf(ms)))
		}
		require.LessOrEqual(t, int64(files.used()), smallBounds.Bytes)
		require.LessOrEqual(t, int64(files.used()), s.Used())
	}
	checkStore(t, s)
	require.Greater(t, refused, 1000)
	require.Less(t, s.Written(), int64(next)*250*4, "write amplification")
	t.Logf("%d of %d refused, %d bytes written", refused, next, s.Written())
}

// A full store must have room for the release records of all its messages. The messages are so small that their release
// records are large in comparison, and the random order of releases keeps live records in every segment for long.
func TestFullStoreHasRoomForReleases(t *testing.T) {
	files := newMemFS()
	s, err := Open(files, testDir, smallBounds)
	require.NoError(t, err)
	var refs []Ref
	for seq := uint64(1); ; seq++ {
		m := &Message{Seq: seq, Lane: Lane{seq % 7, 1}}
		if err := s.Append(m); err != nil {
			require.ErrorIs(t, err, ErrFull)
			break
		}
		refs = append(refs, m.Ref())
	}
	rand.New(rand.NewPCG(6, 6)).Shuffle(len(refs), func(i, j int) { refs[i], refs[j] = refs[j], refs[i] })
	for _, ref := range refs {
		require.NoError(t, s.Release([]Ref{ref}))
		require.LessOrEqual(t, int64(files.used()), smallBounds.Bytes)
	}
	require.Zero(t, s.Messages())
}

// A few messages that stay stored must not prevent the store from freeing the space of the many released ones around
// them.
func TestDeadRecordsAreCompacted(t *testing.T) {
	files := newMemFS()
	bounds := Bounds{Bytes: 64 << 20, SegmentBytes: 1 << 10}
	s, err := Open(files, testDir, bounds)
	require.NoError(t, err)
	for seq := uint64(1); seq <= 20_000; seq++ {
		m := testMessage(Lane{1, 1}, seq)
		require.NoError(t, s.Append(m))
		if before := seq - 1; before%200 != 0 { // not the newest, so that the released message is between others
			require.NoError(t, s.Release([]Ref{testMessage(Lane{1, 1}, before).Ref()}))
		}
		require.LessOrEqual(t, s.Used()-bounds.SegmentBytes, 2*s.Bytes()+4*bounds.SegmentBytes)
		l := s.lanes[Lane{1, 1}]
		require.LessOrEqual(t, int(l.end-l.begin), 2*l.liveCount()+4*blockSize+1, "memory is freed too")
	}
	require.Equal(t, 100, s.Messages())
	require.Less(t, s.Written(), int64(20_000*250*2), "write amplification")
	checkStore(t, s)
}
