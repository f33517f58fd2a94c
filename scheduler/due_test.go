package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// missedDue returns the first message that a check of deadlines should have
// answered and did not, found by a walk over all held messages.
func missedDue(s *Scheduler) (message *Message, why string) {
	for message := range s.held.all() {
		mayRun := message.firstRanAt > 0 && message.messageType.Idempotency != Idempotent
		switch {
		case message.call != nil && s.now < message.deadline+deadlineGrace:
		case message.call != nil:
			return message, "its call is overdue"
		case mayRun && message.messageType.Idempotency == AtMostOnce:
			return message, "it may have run and must not run twice"
		case mayRun && s.now > message.keyExpiredAt():
			return message, "its key is forgotten"
		case mayRun && !message.messageType.DeduplicatedPerZone && s.now > message.keyExpiringAt() &&
			s.allEjected(message.Dest):
			return message, "its key is soon forgotten and nothing answers"
		case s.tooLate(message):
			return message, "its time is too short"
		case s.settings.MaxAttempts > 0 && message.attempts >= s.settings.MaxAttempts:
			return message, "it has no call left"
		}
	}
	return nil, ""
}

// inconsistent returns the first held message or destination that is not in exactly the structures that its state
// requires.
func inconsistent(s *Scheduler) (what any, why string) {
	waiting := map[*Destination]int{}
	for message := range s.held.all() {
		first := message.keyQueue == nil || message.keyQueue.first == message
		switch {
		case message.queued != (message.call == nil):
			return message, "it waits if no call carries it"
		case message.call != nil != (message.stage == stageInFlight):
			return message, "its stage is that of a call"
		case message.queued && first != (message.queuePosition > 0):
			return message, "rounds find it if none of its key is before it"
		}
		if message.queued {
			waiting[message.Dest]++
		}
	}
	for _, d := range s.destinations {
		switch {
		case waiting[d] != d.queued:
			return d, "its waiting messages are counted"
		case d.inRing != (d.ringNode != nil) || d.queued > 0 && !d.inRing:
			return d, "it is in the ring while messages wait"
		}
	}
	return nil, ""
}

// randomRun plays random messages, answers, lists and Retry-Afters and calls check after each check of deadlines.
func randomRun(seed uint64, check func(*Scheduler)) {
	random := rand.New(rand.NewPCG(seed, 1))
	day := testSettings
	day.Forwarders, day.ConcurrencyLimit, day.QueueCapacity = 1+random.IntN(4), 2+random.IntN(10), 20+random.IntN(100)
	day.HalvingValue, day.AwaitAcknowledgement = random.IntN(2) == 0, random.IntN(2) == 0
	day.TenantRate = []float64{5, 20}
	h := newHarness(day)
	var destinations []*Destination
	for kind := range 3 {
		destinations = append(destinations, h.addDestination(kind, 0, 1))
	}
	for range 30 {
		message := &Message{Dest: destinations[random.IntN(3)], Key: uint64(random.IntN(4))}
		messageType := random.IntN(len(day.Types))
		left := random.Float64() * day.Types[messageType].TimeToLive
		recovered := RecoveredState{Attempts: random.IntN(3), FirstRanAt: h.now - 20*random.Float64()}
		h.Recover(message, messageType, left, recovered)
	}
	answered := map[*Message]bool{}
	for range 1500 {
		h.now += 0.03 * random.ExpFloat64()
		h.SetTime(h.now)
		message := &Message{Dest: destinations[random.IntN(3)], Tenant: random.IntN(3), Key: uint64(random.IntN(6))}
		if random.IntN(3) > 0 {
			messageType := random.IntN(len(day.Types))
			if taken, _ := h.Admit(0, day.Types[messageType].TimeToLive); taken {
				h.Accept(message, messageType, day.Types[messageType].TimeToLive*random.Float64())
			}
		}
		for _, s := range h.sent {
			if s.message.call != nil && random.IntN(4) == 0 {
				outcome := Outcome(random.IntN(int(NotSent) + 1))
				h.AttemptEnded(s.message, AttemptResult{Outcome: outcome, Final: outcome == Delivered,
					Latency: random.Float64(), RetryAfter: max(0, 8*random.Float64()-6)})
			}
		}
		h.sent = slices.DeleteFunc(h.sent, func(s sentCall) bool { return s.message.call == nil })
		for message := range h.answers {
			if message.AwaitingAcknowledgement() && !answered[message] && random.IntN(3) == 0 {
				answered[message] = true
				h.NoticeAcknowledged(message)
			}
		}
		if random.IntN(40) == 0 {
			target := destinations[random.IntN(3)].endpoints
			if len(target) > 0 {
				h.updateState(target[0], EndpointState(random.IntN(2)))
			}
		}
		h.endExpired()
		check(h.Scheduler)
		h.Reconcile()
	}
}

func TestDeadlineCheckFindsAllDueMessages(t *testing.T) {
	for seed := range uint64(40) {
		randomRun(seed, func(s *Scheduler) {
			if message, why := missedDue(s); message != nil {
				require.Fail(t, why, "seed %d: %+v", seed, message)
			}
			if what, why := inconsistent(s); what != nil {
				require.Fail(t, why, "seed %d: %+v", seed, what)
			}
		})
	}
}

func TestRejectsMessageOnceOnlyBlockedEndpointsRemain(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0, 0)
	out := h.accept(d, status, 0)
	h.reconcile()
	leaving := h.sent[0].endpoint
	closed := d.endpoints[0]
	if closed == leaving {
		closed = d.endpoints[1]
	}
	h.updateState(leaving, Removed) // its call is in flight, so that it is not released yet
	h.reconcile()
	h.BlockUntil(closed, h.now+100)
	waits := h.accept(d, status, 0)
	h.reconcile()
	require.Empty(t, h.answers)
	h.endAttempt(out, Delivered, 0)
	h.reconcile()
	require.Equal(t, []*Endpoint{leaving}, h.released)
	h.reconcile()
	require.Equal(t, "rejected", h.answers[waits])
}

// newHeld returns a forwarder that holds n messages for a destination that sent a Retry-After shorter than their time
// to live, and has another destination that answers.
func newHeld(n int) (s *Scheduler, h *recordingHost, now float64, other *Destination) {
	h, now = &recordingHost{}, 100.0
	s = New(benchSettings(10*n), 7, now, h)
	var destinations []*Destination
	for i := range 2 {
		d := s.NewDestination(uint64(i))
		s.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: &Endpoint{ID: uint64(i)}, Destination: d, State: Ready}})
		destinations = append(destinations, d)
	}
	s.SetTime(now)
	s.Accept(&Message{Dest: destinations[1], Tenant: 9}, 0, benchLife)
	s.Reconcile()
	s.AttemptEnded(h.sent[0], AttemptResult{Outcome: Overloaded, Latency: 0.05, RetryAfter: benchLife / 10})
	h.sent = h.sent[:0]
	for range n {
		s.Accept(&Message{Dest: destinations[1], Tenant: 9}, 0, benchLife)
	}
	s.Reconcile()
	return s, h, now, destinations[0]
}

func TestDeadlineCheckSkipsMessagesThatAreNotDue(t *testing.T) {
	s, h, now, other := newHeld(20_000)
	for range 20 {
		now += 0.02
		s.SetTime(now)
		s.TimerFired()
		s.Accept(&Message{Dest: other, Tenant: 9}, 0, benchLife)
		require.LessOrEqual(t, len(s.collectDue()), 3, "the fresh message alone, not those that wait")
		s.Reconcile()
		require.Len(t, h.sent, 1)
		s.AttemptEnded(h.sent[0], AttemptResult{Outcome: Delivered, Final: true, Latency: 0.05})
		h.sent = h.sent[:0]
	}
	require.Equal(t, 20_001, s.held.count)
}

// requireLinear checks that the cost of a message does not grow with their number: a hundred times as many may cost at
// most eight times as much each, the best of some tries. Quadratic growth would cost a hundred times as much.
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

func TestAcceptingAndExpiringManyIsLinear(t *testing.T) {
	requireLinear(t, func(n int) {
		s, _, now, _ := newHeld(n)
		s.SetTime(now + 2*benchLife)
		s.Reconcile()
		require.Zero(t, s.held.count)
	})
}

func TestExpiringManyOfOneKeyIsLinear(t *testing.T) {
	requireLinear(t, func(n int) {
		day := benchSettings(10 * n)
		day.Types[0].InOrder = true
		s := New(day, 7, 100, &recordingHost{})
		d := s.NewDestination(1)
		for range n {
			s.Accept(&Message{Dest: d, Tenant: 9, Key: 5}, 0, benchLife)
		}
		s.Reconcile()
		s.SetTime(100 + 2*benchLife)
		s.Reconcile()
		require.Zero(t, s.held.count)
	})
}

func TestRecoveringManyIsLinear(t *testing.T) {
	requireLinear(t, func(n int) {
		s := New(benchSettings(10*n), 7, 100, &recordingHost{})
		d := s.NewDestination(1)
		for i := range n {
			s.Recover(&Message{Dest: d, Tenant: 9}, 0, benchLife, RecoveredState{Attempts: i % 2})
		}
		s.Reconcile()
		require.Equal(t, n, s.held.count)
	})
}

func TestDrainingALongLaneIsLinear(t *testing.T) {
	requireLinear(t, func(n int) {
		h, now := &recordingHost{}, 100.0
		s := New(benchSettings(10*n), 7, now, h)
		d := s.NewDestination(1)
		for range n {
			s.Accept(&Message{Dest: d, Tenant: 9}, 0, benchLife)
		}
		s.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: &Endpoint{}, Destination: d, State: Ready}})
		for s.held.count > 0 {
			now += 0.01
			s.SetTime(now)
			s.Reconcile()
			for _, message := range h.sent {
				s.AttemptEnded(message, AttemptResult{Outcome: Delivered, Final: true, Latency: 0.05})
			}
			h.sent = h.sent[:0]
		}
	})
}

func TestSheddingLoadIsLinear(t *testing.T) {
	requireLinear(t, func(n int) {
		day := benchSettings(n)
		s := New(day, 7, 100, &recordingHost{})
		d := s.NewDestination(1)
		for range n / 2 {
			s.Accept(&Message{Dest: d, Tenant: 9}, 0, benchLife)
		}
		for range n {
			s.Accept(&Message{Dest: d, Tenant: 9}, 0, benchLife)
			s.Reconcile()
		}
		require.LessOrEqual(t, float64(s.held.count), sheddingThreshold*float64(n))
	})
}
