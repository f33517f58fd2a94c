package backlog

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLanesKeepOrderOfNumbers(t *testing.T) {
	s := openStore(t, newMemFS(), smallBounds)
	one, other := Lane{1, 1}, Lane{1, 2}
	for seq := uint64(10); seq < 16; seq++ {
		require.NoError(t, s.Append(testMessage(one, seq)))
		require.NoError(t, s.Append(testMessage(other, 100+seq)))
	}
	require.Equal(t, []uint64{10, 11, 12}, headSeqs(t, s, one, 3))
	require.Equal(t, []uint64{110}, headSeqs(t, s, other, 1))

	require.NoError(t, s.Append(testMessage(one, 9)), "a message older than all stored ones goes before them")
	require.NoError(t, s.Append(testMessage(one, 3)))
	require.Equal(t, []uint64{3, 9, 10, 11, 12, 13, 14, 15}, headSeqs(t, s, one, 100))

	require.ErrorIs(t, s.Append(testMessage(one, 12)), ErrStored)
	require.ErrorIs(t, s.Append(testMessage(one, 5)), ErrOrder)
	require.Equal(t, 8, s.LaneMessages(one))
	require.Equal(t, 14, s.Messages())
	require.Equal(t, uint64(115), s.LastSeq())

	require.NoError(t, s.Release([]Ref{
		NewRef(one, 11, "id-11", 1),
		NewRef(one, 3, "id-3", 3),
		NewRef(one, 77, "id-77", 2),
		NewRef(Lane{9, 9}, 1, "id", 1),
	}))
	require.Equal(t, []uint64{9, 10, 12, 13, 14, 15}, headSeqs(t, s, one, 100))
	require.False(t, s.HasID("id-11"))
	require.True(t, s.HasID("id-12"))
	require.False(t, s.HasID("id-77"))
	checkStore(t, s)

	require.NoError(t, s.Close())
	require.ErrorIs(t, s.Append(testMessage(one, 200)), ErrClosed)
	require.ErrorIs(t, s.Release(nil), ErrClosed)
}

func TestReopenFindsStoredMessages(t *testing.T) {
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
			if len(all) > 0 { // any of them, including one between others
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
	require.Greater(t, s.segments[0].number, uint32(2), "segments were freed during the test")
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
	require.ErrorIs(t, s.Append(&Message{Seq: 7, Lane: testLanes[0], Body: make([]byte, maxBodyLength+1)}), ErrTooLarge)
	longID := string(make([]byte, maxTextLength+1))
	require.ErrorIs(t, s.Append(&Message{Seq: 7, Lane: testLanes[0], ID: longID}), ErrTooLarge)
}
