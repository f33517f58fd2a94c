package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

type member struct {
	key int
	at  int32
}

var byKey = ordering[*member]{
	before:   func(a, b *member) bool { return a.key < b.key },
	position: func(m *member) *int32 { return &m.at },
}

// requireHeap checks the heap order and the position that each member stores.
func requireHeap(t *testing.T, heap []*member) {
	for i, m := range heap {
		require.Equal(t, int32(i+1), m.at)
		if i > 0 {
			require.False(t, byKey.before(m, heap[(i-1)/2]))
		}
	}
}

func TestHeapKeepsOrderAndPositionsUnderRandomChanges(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var heap, members []*member
	for range 3000 {
		if len(members) == 0 || random.IntN(5) > 1 {
			m := &member{key: random.IntN(50)}
			members = append(members, m)
			byKey.push(&heap, m)
		} else {
			i := random.IntN(len(members))
			byKey.remove(&heap, members[i])
			require.Zero(t, members[i].at)
			members = slices.Delete(members, i, i+1)
		}
		requireHeap(t, heap)
		require.Len(t, heap, len(members))
	}
	for _, m := range members {
		byKey.remove(&heap, m)
		byKey.remove(&heap, m) // no effect, because m is no longer in the heap
		requireHeap(t, heap)
	}
	require.Empty(t, heap)
	require.LessOrEqual(t, cap(heap), 2*minShrinkCapacity, "a heap that was large frees its memory")
}

func TestFirstAndVisitMatchLinearSearch(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 1))
	for range 200 {
		var heap, all []*member
		for i := range random.IntN(60) {
			m := &member{key: 100*random.IntN(20) + i} // the keys differ, so that the first one is unique
			all = append(all, m)
			byKey.push(&heap, m)
		}
		slices.SortFunc(all, func(a, b *member) int { return a.key - b.key })
		divisor := 1 + random.IntN(4)
		accept := func(m *member) bool { return m.key%divisor == 0 }
		got, found := byKey.first(heap, accept)
		if i := slices.IndexFunc(all, accept); i >= 0 {
			require.Same(t, all[i], got)
		} else {
			require.False(t, found)
		}
		bound := random.IntN(2000)
		seen := map[*member]bool{}
		visit(heap, func(m *member) bool { return m.key < bound }, func(m *member) { seen[m] = true })
		for _, m := range all {
			require.Equal(t, m.key < bound, seen[m])
		}
	}
}
