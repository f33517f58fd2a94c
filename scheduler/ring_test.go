package scheduler

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// plainRing is a simple implementation of ring with a slice. Its first member is the one whose round is next.
type plainRing []*Destination

// next skips members, at most limit, until one is not parked.
func (p *plainRing) next(limit int) (*Destination, int) {
	for passed := range limit {
		first := (*p)[0]
		if !first.ringNode.isParked {
			return first, passed
		}
		*p = append((*p)[1:], first)
	}
	return nil, limit
}

func (r *ring) members() []*Destination {
	var all []*Destination
	r.each(func(d *Destination) { all = append(all, d) })
	return all
}

func TestRingMatchesPlainRing(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	var r ring
	var plain plainRing
	now := 0.0
	for range 20_000 {
		switch action := random.IntN(10); {
		case len(plain) == 0 || action < 3 && len(plain) < 200:
			d := &Destination{}
			r.add(d)
			plain = append(plain, d)
		case action < 5:
			r.park(plain[random.IntN(len(plain))].ringNode, now+10*random.Float64())
		case action < 6:
			r.unpark(plain[random.IntN(len(plain))].ringNode)
		case action < 7:
			now += random.Float64()
			r.wake(now)
			for _, d := range plain {
				require.False(t, d.ringNode.isParked && d.ringNode.until <= now)
			}
		default:
			limit := 1 + random.IntN(len(plain))
			want, passedWant := plain.next(limit)
			got, passed := r.next(limit)
			require.True(t, want == got && passedWant == passed)
			if got == nil {
				break
			}
			if random.IntN(3) == 0 {
				r.drop()
				require.Nil(t, got.ringNode)
				plain = plain[1:]
			} else {
				r.advance()
				plain = append(plain[1:], got)
			}
		}
		require.Equal(t, len(plain), r.size())
		if random.IntN(50) == 0 {
			require.True(t, slices.Equal(plain, r.members()))
		}
	}
}
