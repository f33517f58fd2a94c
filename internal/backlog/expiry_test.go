package backlog

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// Expired returns 100,000 messages of many lanes that expire within one second in batches, in the order of expiry.
func TestExpiredReturnsMessagesInOrderOfExpiry(t *testing.T) {
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
				require.Fail(t, "not in the order of expiry")
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
