package policy

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_000_000, 0)

func testBounds() Bounds {
	return Bounds{Bytes: 100_000, DestinationBytes: 40_000, TenantBytes: 60_000, Window: 8, Behind: 20, Batch: 50,
		ExpiryLead: 10 * time.Second}
}

func newPolicy(t *testing.T, b Bounds) *Policy {
	p, err := New(b)
	require.NoError(t, err)
	return p
}

// submit decides where a message is kept and carries out the decision.
func submit(p *Policy, lane Lane, bytes int64) Decision {
	d := p.Decide(lane, bytes, start)
	switch d.Place {
	case Memory:
		p.Held(lane)
	case Store:
		p.Stored(lane, 1, bytes)
	}
	return d
}

func TestCheckNamesInvalidField(t *testing.T) {
	for field, invalidate := range map[string]func(*Bounds){
		"bytes":             func(b *Bounds) { b.Bytes = 0 },
		"destination_bytes": func(b *Bounds) { b.DestinationBytes = b.Bytes + 1 },
		"tenant_bytes":      func(b *Bounds) { b.TenantBytes = 0 },
		"window":            func(b *Bounds) { b.Window = 0 },
		"behind":            func(b *Bounds) { b.Behind = b.Window - 1 },
		"batch":             func(b *Bounds) { b.Batch = 0 },
		"expiry_lead":       func(b *Bounds) { b.ExpiryLead = 0 },
		"tenants":           func(b *Bounds) { b.Tenants = map[uint32]int64{3: -1} },
	} {
		b := testBounds()
		invalidate(&b)
		_, err := New(b)
		require.ErrorContains(t, err, field+":")
		require.Error(t, newPolicy(t, testBounds()).SetBounds(b))
	}
}

func TestServedLaneStaysInMemoryUntilFarBehind(t *testing.T) {
	p, lane := newPolicy(t, testBounds()), Lane{1, 1}
	for range 20 {
		require.Equal(t, Memory, submit(p, lane, 100).Place)
	}
	require.Equal(t, Store, submit(p, lane, 100).Place)
	p.Ended(lane)
	require.Equal(t, Store, submit(p, lane, 100).Place, "memory has room, but an earlier message is stored")
	require.Equal(t, Memory, submit(p, Lane{1, 2}, 100).Place, "another tenant's lane is another queue")
}

func TestOutageSpillsAllButTheWindow(t *testing.T) {
	p, lane := newPolicy(t, testBounds()), Lane{1, 1}
	for range 15 {
		submit(p, lane, 100)
	}
	require.Empty(t, p.Due())
	p.SetUnavailable(1, true)
	require.Equal(t, []Move{{SpillTail, lane, 7}}, p.Due())
	for range 7 {
		p.Spilled(lane, 100)
	}
	require.Empty(t, p.Due())
	require.Equal(t, Store, submit(p, lane, 100).Place)

	p.SetUnavailable(2, true)
	for range 8 {
		require.Equal(t, Memory, submit(p, Lane{2, 1}, 100).Place)
	}
	require.Equal(t, Store, submit(p, Lane{2, 1}, 100).Place, "destination unavailable and window full")
}

func TestIncompleteSpillBecomesDueAgain(t *testing.T) {
	p, lane := newPolicy(t, testBounds()), Lane{1, 1}
	for range 15 {
		submit(p, lane, 100)
	}
	p.SetUnavailable(1, true)
	require.Len(t, p.Due(), 1)
	require.Empty(t, p.Due())
	p.MoveIncomplete(lane)
	require.Equal(t, []Move{{SpillTail, lane, 7}}, p.Due())
}

func TestWindowIsRefilledWhenHalfEmpty(t *testing.T) {
	p, lane := newPolicy(t, testBounds()), Lane{1, 1}
	p.SetUnavailable(1, true)
	for range 30 {
		submit(p, lane, 100)
	}
	require.Empty(t, p.Due(), "the window is full")
	for range 3 {
		p.Ended(lane)
	}
	require.Empty(t, p.Due(), "more than half of the window is left")
	p.Ended(lane)
	require.Equal(t, []Move{{LoadOldest, lane, 4}}, p.Due())
	for range 4 {
		p.Loaded(lane, 100, start)
	}
	require.Empty(t, p.Due())
}

// 200 destinations become available in the same second. Their lanes are loaded in turn, one batch per call of Due, and
// no lane has to wait until another is loaded completely.
func TestLoadingLanesShareTheBatch(t *testing.T) {
	bounds := testBounds()
	bounds.Bytes, bounds.DestinationBytes, bounds.TenantBytes = 1<<30, 1<<30, 1<<30
	p := newPolicy(t, bounds)
	const destinations, perDestination = 200, 30
	for d := range uint64(destinations) {
		p.Stored(Lane{d, 1}, perDestination, perDestination*100)
	}
	loaded := map[Lane]int{}
	for turn := 1; turn <= destinations*8/bounds.Batch; turn++ {
		sum := 0
		for _, m := range p.Due() {
			require.Equal(t, LoadOldest, m.Kind)
			sum += m.Count
			loaded[m.Lane] += m.Count
			for range m.Count {
				p.Loaded(m.Lane, 100, start)
			}
		}
		require.LessOrEqual(t, sum, bounds.Batch)
	}
	require.Len(t, loaded, destinations, "each lane is loaded before any lane exceeds its window")
	for lane, n := range loaded {
		require.Equal(t, bounds.Window, n, "%v", lane)
	}
	require.Empty(t, p.Due())
}

func TestMessagesBeyondBoundsAreRefused(t *testing.T) {
	p := newPolicy(t, testBounds())
	fill := func(lane Lane, bytes int64) { p.Stored(lane, 1, bytes) }
	fill(Lane{1, 1}, 40_000)
	d := submit(p, Lane{1, 1}, 100)
	require.Equal(t, Decision{Refused, DestinationBound, 30 * time.Second}, d)
	fill(Lane{2, 1}, 19_950)
	require.Equal(t, TenantBound, submit(p, Lane{2, 1}, 100).Bound)
	require.Equal(t, Store, submit(p, Lane{2, 1}, 50).Place)
	fill(Lane{3, 2}, 20_000)
	fill(Lane{4, 2}, 19_950)
	require.Equal(t, TotalBound, submit(p, Lane{3, 2}, 100).Bound)
	require.Equal(t, Memory, submit(p, Lane{9, 9}, 100).Place, "a lane with room in memory needs none in the store")
}

// One tenant cannot use up the room in the store that its own limit leaves to the others, however much it sends.
func TestFloodOfOneTenantLeavesRoomForOthers(t *testing.T) {
	bounds := testBounds()
	bounds.DestinationBytes = 100_000
	bounds.Tenants = map[uint32]int64{7: 20_000}
	p := newPolicy(t, bounds)
	rng := rand.New(rand.NewPCG(1, 1))
	refused := 0
	for range 5000 {
		if submit(p, Lane{rng.Uint64N(5), 1}, 100).Place == Refused {
			refused++
		}
	}
	require.Greater(t, refused, 4000)
	require.Equal(t, int64(60_000), p.TenantBytes(1))
	for range 500 {
		submit(p, Lane{1, 7}, 100)
	}
	require.Equal(t, int64(20_000), p.TenantBytes(7), "the tenant's own limit")
	for range 150 {
		require.NotEqual(t, Refused, submit(p, Lane{2, 2}, 100).Place, "there is room for another tenant")
	}
}

func TestRetryAfterFollowsDrainRate(t *testing.T) {
	p, lane := newPolicy(t, testBounds()), Lane{1, 1}
	p.Stored(lane, 400, 40_000)
	require.Equal(t, 30*time.Second, p.Decide(lane, 100, start).RetryAfter, "nothing is loaded")
	for i := range 200 { // 1,000 bytes per second
		p.Loaded(lane, 100, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	p.Stored(lane, 200, 20_000)
	now := start.Add(20 * time.Second)
	require.Equal(t, time.Second, p.Decide(lane, 100, now).RetryAfter)
	require.InDelta(t, 5, p.Decide(lane, 5000, now).RetryAfter.Seconds(), 0.5)
	require.Equal(t, 30*time.Second, p.Decide(lane, 5000, now.Add(time.Hour)).RetryAfter, "nothing was loaded lately")
}

func TestLoweredBoundsRefuseUntilThereIsRoom(t *testing.T) {
	p, lane := newPolicy(t, testBounds()), Lane{1, 1}
	p.Stored(lane, 300, 30_000)
	lower := testBounds()
	lower.Bytes, lower.DestinationBytes, lower.TenantBytes, lower.Window, lower.Behind = 20_000, 20_000, 20_000, 30, 30
	require.NoError(t, p.SetBounds(lower))
	require.Equal(t, Refused, submit(p, lane, 100).Place)
	messages, bytes := p.StoredAmount()
	require.Equal(t, 300, messages)
	require.Equal(t, int64(30_000), bytes)
	require.Equal(t, []Move{{LoadOldest, lane, 30}}, p.Due(), "the larger window is filled")
	for range 101 {
		p.Loaded(lane, 100, start)
	}
	require.Equal(t, Store, submit(p, lane, 100).Place)
}

func TestExpiryLead(t *testing.T) {
	p := newPolicy(t, testBounds())
	require.Equal(t, start.Add(10*time.Second), p.ExpiryDue(start))
}

// laneQueue holds the numbers of the messages that a lane should have in memory and in the store, in order.
type laneQueue struct{ memory, store []int }

// simulation keeps the queues that result from a policy's decisions.
type simulation struct {
	policy *Policy
	queues map[Lane]*laneQueue
	next   int // number of the latest message
}

func (s *simulation) queue(lane Lane) *laneQueue {
	if s.queues[lane] == nil {
		s.queues[lane] = &laneQueue{}
	}
	return s.queues[lane]
}

// move carries out the moves that are due.
func (s *simulation) move(t *testing.T) {
	for _, m := range s.policy.Due() {
		q := s.queues[m.Lane]
		require.Positive(t, m.Count)
		for range m.Count {
			if m.Kind == SpillTail {
				last := len(q.memory) - 1
				q.store = append([]int{q.memory[last]}, q.store...)
				q.memory = q.memory[:last]
				s.policy.Spilled(m.Lane, 100)
				continue
			}
			q.memory = append(q.memory, q.store[0])
			q.store = q.store[1:]
			s.policy.Loaded(m.Lane, 100, start)
		}
	}
}

// randomStep submits or ends a message of a random lane, or makes its destination unavailable or available.
func (s *simulation) randomStep(t *testing.T, rng *rand.Rand) *laneQueue {
	lane := Lane{rng.Uint64N(6), uint32(rng.IntN(2))}
	q := s.queue(lane)
	switch rng.IntN(5) {
	case 0:
		s.policy.SetUnavailable(lane.Destination, rng.IntN(2) == 0)
	case 1:
		if len(q.memory) > 0 {
			q.memory = q.memory[1:]
			s.policy.Ended(lane)
		}
	default:
		s.next++
		switch submit(s.policy, lane, 100).Place {
		case Memory:
			require.Empty(t, q.store)
			q.memory = append(q.memory, s.next)
		case Store:
			q.store = append(q.store, s.next)
		}
	}
	return q
}

// drain loads and ends all messages.
func (s *simulation) drain(t *testing.T) {
	for d := range uint64(6) {
		s.policy.SetUnavailable(d, false)
	}
	for lane, q := range s.queues {
		for len(q.memory)+len(q.store) > 0 {
			s.move(t)
			for len(q.memory) > 0 {
				q.memory = q.memory[1:]
				s.policy.Ended(lane)
			}
		}
	}
}

// At each step a lane's messages in memory are within bounds and older than its stored ones. Once all messages have
// ended, no state of lanes and destinations is left.
func TestRandomLoadKeepsOrderAndFreesState(t *testing.T) {
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 2))
		p := newPolicy(t, testBounds())
		s := simulation{policy: p, queues: map[Lane]*laneQueue{}}
		for range 3000 {
			q := s.randomStep(t, rng)
			s.move(t)
			require.LessOrEqual(t, len(q.memory), 20)
			all := append(append([]int(nil), q.memory...), q.store...)
			for i := 1; i < len(all); i++ {
				require.Less(t, all[i-1], all[i])
			}
		}
		s.drain(t)
		require.Empty(t, p.Due())
		require.Empty(t, p.lanes)
		require.Empty(t, p.destinations)
		require.Empty(t, p.tenants)
		require.Equal(t, storedAmount{}, p.stored)
	}
}

// Lanes that fill memory do not crowd out the new or stored messages of a lane with few messages in memory, unless the
// destination of that lane is unavailable.
func TestLaneWithFewMessagesUsesTheReserve(t *testing.T) {
	const memory = 120
	p, err := New(Bounds{Bytes: 1000, DestinationBytes: 1000, TenantBytes: 1000, Window: memory, Behind: memory,
		Memory: memory, Batch: 50, ExpiryLead: time.Second})
	require.NoError(t, err)
	now := time.Unix(1000, 0)
	for range memory {
		p.Held(Lane{Destination: 1})
	}
	require.Equal(t, Store, p.Decide(Lane{Destination: 1}, 10, now).Place)
	lane := Lane{Destination: 2}
	for range reservedPerLane {
		require.Equal(t, Memory, p.Decide(lane, 10, now).Place)
		p.Held(lane)
	}
	require.Equal(t, Store, p.Decide(lane, 10, now).Place)
	p.Stored(lane, 5, 50)
	for range reservedPerLane {
		p.Ended(lane)
	}
	require.Equal(t, []Move{{Kind: LoadOldest, Lane: lane, Count: reservedPerLane}}, p.Due())
	p.SetUnavailable(3, true)
	require.Equal(t, Store, p.Decide(Lane{Destination: 3}, 10, now).Place)
	for range memory / reserveDivisor {
		p.Held(Lane{Destination: 1})
	}
	require.Equal(t, Store, p.Decide(Lane{Destination: 4}, 10, now).Place, "the reserve is full")
}
