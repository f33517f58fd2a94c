package backlog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSizeMatchesStoredBytes(t *testing.T) {
	s, err := Open(OS{}, t.TempDir(), Bounds{Bytes: 64 << 20})
	require.NoError(t, err)
	defer s.Close()
	m := &Message{Seq: 1, Lane: Lane{Destination: 7, Tenant: 2}, ID: "id", Type: "ticket",
		DeduplicationKey: "d", Frontend: "front", Body: []byte("body")}
	require.NoError(t, s.Append(m))
	require.Equal(t, int64(m.Size()), s.Bytes())
}

func TestStatesAndOldestCoverAllLanes(t *testing.T) {
	s, err := Open(OS{}, t.TempDir(), Bounds{Bytes: 64 << 20})
	require.NoError(t, err)
	defer s.Close()
	oldest, err := s.Oldest()
	require.NoError(t, err)
	require.Zero(t, oldest)
	for seq := range uint64(10) {
		m := &Message{Seq: 5 + seq, Lane: Lane{Destination: seq % 3}, ID: string(rune('a' + seq)),
			AcceptedAt: int64(100 + seq)}
		if seq%2 == 0 {
			m.Attempts = 1
		}
		require.NoError(t, s.Append(m))
	}
	require.NoError(t, s.Release([]Ref{NewRef(Lane{Destination: 0}, 5, "a", 0)}))
	oldest, err = s.Oldest()
	require.NoError(t, err)
	require.Equal(t, int64(101), oldest)
	require.Equal(t, [stateCount]int{Untried: 5, Tried: 4}, s.States())
}
