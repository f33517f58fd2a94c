package backlog

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestIDSetMatchesMap(t *testing.T) {
	rng := rand.New(rand.NewPCG(9, 9))
	var s idSet
	known := map[uint64]bool{}
	for round := range 200_000 {
		hash := rng.Uint64N(20_000) * 0x9E3779B97F4A7C15
		if hash != 0 && round%4 == 0 {
			hash &= 0xFF << 56 // many hashes with the same home slot
		}
		hash = nonZeroHash(hash)
		switch grow := round/50_000%2 == 0; {
		case rng.IntN(4) == 0 == grow:
			s.remove(hash)
			delete(known, hash)
		default:
			s.add(hash)
			known[hash] = true
		}
		if s.has(hash) != known[hash] || s.count != len(known) {
			require.Fail(t, "the set differs from the map", "round %d", round)
		}
	}
	for hash := range known {
		require.True(t, s.has(hash))
	}
	for hash := range known {
		s.remove(hash)
	}
	slots := 0
	for i := range s.shards {
		slots += len(s.shards[i].slots)
	}
	require.LessOrEqual(t, slots, shardCount*minSlots, "memory is freed")
}
