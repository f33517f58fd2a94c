package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// missed is the first message that a review should have answered and did not, found by a walk over all that is held.
func missed(f *Scheduler) (d *Message, why string) {
	for d := range f.held.all() {
		mayRun := d.ranFrom > 0 && d.typ.Idempotency != Idempotent
		switch {
		case d.call != nil && f.now < d.expiry+overdue:
		case d.call != nil:
			return d, "its call is overdue"
		case mayRun && d.typ.Idempotency == AtMostOnce:
			return d, "it may have run and must not run twice"
		case mayRun && f.now > d.forgottenAt():
			return d, "its number is forgotten"
		case mayRun && !d.typ.DeduplicatedPerZone && f.now > d.fadesAt() && f.dark(d.Dest):
			return d, "its number is soon forgotten and nothing answers"
		case f.short(d):
			return d, "its time is too short"
		case f.terms.MaxAttempts > 0 && d.sent >= f.terms.MaxAttempts:
			return d, "it has no call left"
		}
	}
	return nil, ""
}

// inconsistent is the first held message or destination that is not in just the structures that its state asks for.
func inconsistent(f *Scheduler) (what any, why string) {
	waiting := map[*Destination]int{}
	for d := range f.held.all() {
		first := d.chain == nil || d.chain.first == d
		switch {
		case d.queued != (d.call == nil):
			return d, "it waits if no call carries it"
		case d.call != nil != (d.stage == stageOut):
			return d, "its stage is that of a call"
		case d.queued && first != (d.queueAt > 0):
			return d, "it is visible to turns if none of its key is before it"
		}
		if d.queued {
			waiting[d.Dest]++
		}
	}
	for _, d := range f.dests {
		switch {
		case waiting[d] != d.waiting:
			return d, "its waiting messages are counted"
		case d.ringed != (d.node != nil) || d.waiting > 0 && !d.ringed:
			return d, "it is in the ring while messages wait"
		}
	}
	return nil, ""
}

// randomDay plays random messages, answers, lists and waits and calls check after each review.
func randomDay(seed uint64, check func(*Scheduler)) {
	random := rand.New(rand.NewPCG(seed, 1))
	day := terms
	day.Forwarders, day.ConcurrencyLimit, day.QueueCapacity = 1+random.IntN(4), 2+random.IntN(10), 20+random.IntN(100)
	day.HalvingValue, day.AwaitAcknowledgement, day.TenantRate = random.IntN(2) == 0, random.IntN(2) == 0, []float64{5, 20}
	h := start(day)
	var dests []*Destination
	for kind := range 3 {
		dests = append(dests, h.receiver(kind, 0, 1))
	}
	for range 30 {
		doc := &Message{Dest: dests[random.IntN(3)], Key: uint64(random.IntN(4))}
		typ := random.IntN(len(day.Types))
		h.Recover(doc, typ, random.Float64()*day.Types[typ].TimeToLive, RecoveredState{Attempts: random.IntN(3), FirstRanAt: h.now - 20*random.Float64()})
	}
	answered := map[*Message]bool{}
	for range 1500 {
		h.now += 0.03 * random.ExpFloat64()
		h.SetTime(h.now)
		if doc := (&Message{Dest: dests[random.IntN(3)], Tenant: random.IntN(3), Key: uint64(random.IntN(6))}); random.IntN(3) > 0 {
			typ := random.IntN(len(day.Types))
			if taken, _ := h.Admit(0, day.Types[typ].TimeToLive); taken {
				h.Accept(doc, typ, day.Types[typ].TimeToLive*random.Float64())
			}
		}
		for _, s := range h.sent {
			if s.doc.call != nil && random.IntN(4) == 0 {
				outcome := Outcome(random.IntN(int(NotSent) + 1))
				h.AttemptEnded(s.doc, AttemptResult{Outcome: outcome, Final: outcome == Delivered, Latency: random.Float64(), RetryAfter: max(0, 8*random.Float64()-6)})
			}
		}
		h.sent = slices.DeleteFunc(h.sent, func(s transmission) bool { return s.doc.call == nil })
		for doc := range h.done {
			if doc.AwaitingAcknowledgement() && !answered[doc] && random.IntN(3) == 0 {
				answered[doc] = true
				h.NoticeAcknowledged(doc)
			}
		}
		if random.IntN(40) == 0 {
			target := dests[random.IntN(3)].targets
			if len(target) > 0 {
				h.list(target[0], EndpointState(random.IntN(2)))
			}
		}
		h.review()
		check(h.Scheduler)
		h.Reconcile()
	}
}

func TestAReviewFindsAllThatIsDueWithoutAWalk(t *testing.T) {
	for seed := range uint64(40) {
		randomDay(seed, func(f *Scheduler) {
			if d, why := missed(f); d != nil {
				require.Fail(t, why, "seed %d: %+v", seed, d)
			}
			if what, why := inconsistent(f); what != nil {
				require.Fail(t, why, "seed %d: %+v", seed, what)
			}
		})
	}
}

func TestWhatAllRemainingEndpointsAreClosedForIsAnsweredOnceAnotherIsLetGo(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0, 0)
	out := h.take(d, status, 0)
	h.settle()
	leaving := h.sent[0].target
	closed := d.targets[0]
	if closed == leaving {
		closed = d.targets[1]
	}
	h.list(leaving, Removed) // its call is out, so that it is not let go of yet
	h.settle()
	h.BlockUntil(closed, h.now+100)
	waits := h.take(d, status, 0)
	h.settle()
	require.Empty(t, h.done)
	h.ends(out, Delivered, 0)
	h.settle()
	require.Equal(t, []*Endpoint{leaving}, h.released)
	h.settle()
	require.Equal(t, "rejected", h.done[waits])
}

// heldFor makes a forwarder that holds n messages for a destination that told a wait shorter than their life, and has
// another destination that answers.
func heldFor(n int) (f *Scheduler, h *bare, now float64, other *Destination) {
	h, now = &bare{}, 100.0
	f = New(benchTerms(10*n), 7, now, h)
	var dests []*Destination
	for i := range 2 {
		d := f.NewDestination(uint64(i))
		f.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: &Endpoint{ID: uint64(i)}, Destination: d, State: Ready}})
		dests = append(dests, d)
	}
	f.SetTime(now)
	f.Accept(&Message{Dest: dests[1], Tenant: 9}, 0, benchLife)
	f.Reconcile()
	f.AttemptEnded(h.out[0], AttemptResult{Outcome: Overloaded, Latency: 0.05, RetryAfter: benchLife / 10})
	h.out = h.out[:0]
	for range n {
		f.Accept(&Message{Dest: dests[1], Tenant: 9}, 0, benchLife)
	}
	f.Reconcile()
	return f, h, now, dests[0]
}

func TestWhatIsHeldIsNotLookedAtBeforeItIsDue(t *testing.T) {
	f, h, now, other := heldFor(20_000)
	for range 20 {
		now += 0.02
		f.SetTime(now)
		f.TimerFired()
		f.Accept(&Message{Dest: other, Tenant: 9}, 0, benchLife)
		require.LessOrEqual(t, len(f.collectDue()), 3, "the fresh message alone, not those that wait")
		f.Reconcile()
		require.Len(t, h.out, 1)
		f.AttemptEnded(h.out[0], AttemptResult{Outcome: Delivered, Final: true, Latency: 0.05})
		h.out = h.out[:0]
	}
	require.Equal(t, 20_001, f.held.count)
}

// requireLinear checks that the cost of a message does not grow with their number: a hundred times as many may cost at
// most eight times as much each, the best of some tries. Reason grows with the square would cost a hundred times as much.
func requireLinear(t *testing.T, work func(n int)) {
	const few, many, tries = 1000, 100_000, 4
	best := func(n int) time.Duration {
		least := time.Duration(1 << 62)
		for range tries {
			start := time.Now()
			work(n)
			least = min(least, time.Since(start))
		}
		return least / time.Duration(n)
	}
	one, each := best(few), best(many)
	require.Less(t, each, 8*one, fmt.Sprintf("%v each of %d, %v each of %d", one, few, each, many))
}

func TestTakingAndGivingUpManyAtOnceIsLinear(t *testing.T) {
	requireLinear(t, func(n int) {
		f, _, now, _ := heldFor(n)
		f.SetTime(now + 2*benchLife)
		f.Reconcile()
		require.Zero(t, f.held.count)
	})
}

func TestGivingUpManyOfOneKeyIsLinear(t *testing.T) {
	requireLinear(t, func(n int) {
		day := benchTerms(10 * n)
		day.Types[0].InOrder = true
		f := New(day, 7, 100, &bare{})
		d := f.NewDestination(1)
		for range n {
			f.Accept(&Message{Dest: d, Tenant: 9, Key: 5}, 0, benchLife)
		}
		f.Reconcile()
		f.SetTime(100 + 2*benchLife)
		f.Reconcile()
		require.Zero(t, f.held.count)
	})
}

func TestRecoveringManyIsLinear(t *testing.T) {
	requireLinear(t, func(n int) {
		f := New(benchTerms(10*n), 7, 100, &bare{})
		d := f.NewDestination(1)
		for i := range n {
			f.Recover(&Message{Dest: d, Tenant: 9}, 0, benchLife, RecoveredState{Attempts: i % 2})
		}
		f.Reconcile()
		require.Equal(t, n, f.held.count)
	})
}

func TestDrainingALongLaneIsLinear(t *testing.T) {
	requireLinear(t, func(n int) {
		h, now := &bare{}, 100.0
		f := New(benchTerms(10*n), 7, now, h)
		d := f.NewDestination(1)
		for range n {
			f.Accept(&Message{Dest: d, Tenant: 9}, 0, benchLife)
		}
		f.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: &Endpoint{}, Destination: d, State: Ready}})
		for f.held.count > 0 {
			now += 0.01
			f.SetTime(now)
			f.Reconcile()
			for _, doc := range h.out {
				f.AttemptEnded(doc, AttemptResult{Outcome: Delivered, Final: true, Latency: 0.05})
			}
			h.out = h.out[:0]
		}
	})
}

func TestMakingRoomInAFullForwarderIsLinear(t *testing.T) {
	requireLinear(t, func(n int) {
		day := benchTerms(n)
		f := New(day, 7, 100, &bare{})
		d := f.NewDestination(1)
		for range n / 2 {
			f.Accept(&Message{Dest: d, Tenant: 9}, 0, benchLife)
		}
		for range n {
			f.Accept(&Message{Dest: d, Tenant: 9}, 0, benchLife)
			f.Reconcile()
		}
		require.LessOrEqual(t, float64(f.held.count), roomFull*float64(n))
	})
}
