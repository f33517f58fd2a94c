package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newPolicyWithMemory(t *testing.T, memory int) *Policy {
	b := testBounds()
	b.Memory = memory
	return newPolicy(t, b)
}

func TestNewMessagesAreStoredOnceMemoryIsFull(t *testing.T) {
	p := newPolicyWithMemory(t, 12)
	for destination := range uint64(4) {
		for range 3 {
			require.Equal(t, Memory, submit(p, Lane{Destination: destination}, 100).Place)
		}
	}
	fresh := Lane{Destination: 9}
	p.SetUnavailable(fresh.Destination, true) // otherwise it could use the reserve
	require.Equal(t, Store, submit(p, fresh, 100).Place, "memory is full although the lane is empty")
	p.Ended(Lane{Destination: 1})
	require.Equal(t, Store, submit(p, fresh, 100).Place, "an earlier message of the lane is stored")
	require.Equal(t, []Move{{Kind: LoadOldest, Lane: fresh, Count: 1}}, p.Due(), "limited by the free memory")
}

func TestLanesAreLoadedInTurnAsMemoryFreesUp(t *testing.T) {
	p := newPolicyWithMemory(t, 4)
	held := Lane{Destination: 1}
	for range 4 {
		p.Held(held)
	}
	for destination := range uint64(1000) {
		p.Stored(Lane{Destination: 100 + destination}, 1, 10)
	}
	require.Empty(t, p.Due())
	require.True(t, p.MoreDue())
	loaded := map[Lane]bool{}
	for range 1000 {
		p.Ended(held)
		moves := p.Due()
		require.Len(t, moves, 1)
		require.False(t, loaded[moves[0].Lane], "lanes take turns")
		loaded[moves[0].Lane] = true
		p.Loaded(moves[0].Lane, 10, start)
		held = moves[0].Lane
	}
	require.Len(t, loaded, 1000)
}

func TestDecideWithDeadlineStoresOrRefuses(t *testing.T) {
	p, lane := newPolicyWithMemory(t, 4), Lane{Destination: 1}
	lead := testBounds().ExpiryLead
	require.Equal(t, Memory, p.DecideWithDeadline(lane, 100, time.Second, true, start).Place)
	require.Equal(t, Store, p.DecideWithDeadline(lane, 100, lead+1, false, start).Place)
	d := p.DecideWithDeadline(lane, 100, lead, false, start)
	require.Equal(t, Refused, d.Place)
	require.Positive(t, d.RetryAfter)
	require.Equal(t, Refused, p.DecideWithDeadline(lane, 1_000_000, time.Hour, false, start).Place, "too large to store")
}

func TestDiscardedMessageFreesItsBytes(t *testing.T) {
	p, lane := newPolicy(t, testBounds()), Lane{Destination: 1, Tenant: 2}
	p.Stored(lane, 1, 700)
	p.Discarded(lane, 700)
	messages, bytes := p.StoredAmount()
	require.Zero(t, messages)
	require.Zero(t, bytes)
	require.Zero(t, p.TenantBytes(2))
	require.Empty(t, p.Due())
}
