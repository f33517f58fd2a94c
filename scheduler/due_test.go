package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// missedDue walks over all held messages and returns the first one that the latest deadline check should have answered
// but did not.
func missedDue(s *Scheduler) (message *Message, reason string) {
	for message := range s.held.all() {
		mayRun := message.firstRanAt > 0 && message.messageType.Idempotency != Idempotent
		switch {
		case message.call != nil && s.now < message.deadline+deadlineGrace:
		case message.call != nil:
			return message, "its call is overdue"
		case mayRun && message.messageType.Idempotency == AtMostOnce:
			return message, "it may have run and must not be repeated"
		case mayRun && s.now > message.keyExpiredAt():
			return message, "its key is forgotten"
		case mayRun && !message.messageType.DeduplicatedPerZone && s.now > message.keyExpiringAt() &&
			s.allEjected(message.Dest):
			return message, "its key is soon forgotten and no endpoint answers"
		case s.tooLate(message):
			return message, "too little time is left"
		case s.settings.MaxAttempts > 0 && message.attempts >= s.settings.MaxAttempts:
			return message, "it has no attempt left"
		}
	}
	return nil, ""
}

// inconsistent returns the first held message or destination whose structures do not match its state.
func inconsistent(s *Scheduler) (where any, reason string) {
	queued := map[*Destination]int{}
	for message := range s.held.all() {
		first := message.keyQueue == nil || message.keyQueue.first == message
		switch {
		case message.queued != (message.call == nil):
			return message, "a message must be queued if and only if it is not in a call"
		case message.call != nil != (message.stage == stageInFlight):
			return message, "a message must be in stageInFlight if and only if it is in a call"
		case message.queued && first != (message.queuePosition > 0):
			return message, "a queued message must be in a heap if and only if it is the first of its key"
		}
		if message.queued {
			queued[message.Dest]++
		}
	}
	for _, d := range s.destinations {
		switch {
		case queued[d] != d.queued:
			return d, "the number of queued messages is wrong"
		case d.inRing != (d.ringNode != nil) || d.queued > 0 && !d.inRing:
			return d, "a destination with queued messages must be in the ring"
		}
	}
	return nil, ""
}

// randomRun runs a scheduler with random messages, results, endpoint states and Retry-Afters, and calls check after
// each deadline check.
func randomRun(seed uint64, check func(*Scheduler)) {
	random := rand.New(rand.NewPCG(seed, 1))
	settings := testSettings
	settings.Forwarders, settings.ConcurrencyLimit, settings.QueueCapacity =
		1+random.IntN(4), 2+random.IntN(10), 20+random.IntN(100)
	settings.HalvingValue, settings.AwaitAcknowledgement = random.IntN(2) == 0, random.IntN(2) == 0
	settings.TenantRate = []float64{5, 20}
	h := newHarness(settings)
	var destinations []*Destination
	for kind := range 3 {
		destinations = append(destinations, h.addDestination(kind, 0, 1))
	}
	for range 30 {
		message := &Message{Dest: destinations[random.IntN(3)], Key: uint64(random.IntN(4))}
		messageType := random.IntN(len(settings.Types))
		left := random.Float64() * settings.Types[messageType].TimeToLive
		recovered := RecoveredState{Attempts: random.IntN(3), FirstRanAt: h.now - 20*random.Float64()}
		h.Recover(message, messageType, left, recovered)
	}
	answered := map[*Message]bool{}
	for range 1500 {
		h.now += 0.03 * random.ExpFloat64()
		h.SetTime(h.now)
		message := &Message{Dest: destinations[random.IntN(3)], Tenant: random.IntN(3), Key: uint64(random.IntN(6))}
		if random.IntN(3) > 0 {
			messageType := random.IntN(len(settings.Types))
			if accepted, _ := h.Admit(0, settings.Types[messageType].TimeToLive); accepted {
				h.Accept(message, messageType, settings.Types[messageType].TimeToLive*random.Float64())
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
			endpoints := destinations[random.IntN(3)].endpoints
			if len(endpoints) > 0 {
				h.updateState(endpoints[0], EndpointState(random.IntN(2)))
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
			if message, reason := missedDue(s); message != nil {
				require.Fail(t, reason, "seed %d: %+v", seed, message)
			}
			if where, reason := inconsistent(s); where != nil {
				require.Fail(t, reason, "seed %d: %+v", seed, where)
			}
		})
	}
}

func TestRejectsMessageIfOnlyBlockedEndpointsRemain(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0, 0)
	inFlight := h.accept(d, status, 0)
	h.reconcile()
	removed := h.sent[0].endpoint
	blocked := d.endpoints[0]
	if blocked == removed {
		blocked = d.endpoints[1]
	}
	h.updateState(removed, Removed) // a call is in flight, so the endpoint is not released yet
	h.reconcile()
	h.BlockUntil(blocked, h.now+100)
	queued := h.accept(d, status, 0)
	h.reconcile()
	require.Empty(t, h.answers)
	h.endAttempt(inFlight, Delivered, 0)
	h.reconcile()
	require.Equal(t, []*Endpoint{removed}, h.released)
	h.reconcile()
	require.Equal(t, "rejected", h.answers[queued])
}

// newHeld returns a scheduler that holds n messages for a destination that sent a Retry-After, which ends before the
// messages expire. It also returns another destination, which answers.
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
	s.Accept(&Message{Dest: destinations[1], Tenant: 9}, 0, benchTimeToLive)
	s.Reconcile()
	s.AttemptEnded(h.sent[0], AttemptResult{Outcome: Overloaded, Latency: 0.05, RetryAfter: benchTimeToLive / 10})
	h.sent = h.sent[:0]
	for range n {
		s.Accept(&Message{Dest: destinations[1], Tenant: 9}, 0, benchTimeToLive)
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
		s.Accept(&Message{Dest: other, Tenant: 9}, 0, benchTimeToLive)
		require.LessOrEqual(t, len(s.collectDue()), 3, "only the fresh message is checked, not the held ones")
		s.Reconcile()
		require.Len(t, h.sent, 1)
		s.AttemptEnded(h.sent[0], AttemptResult{Outcome: Delivered, Final: true, Latency: 0.05})
		h.sent = h.sent[:0]
	}
	require.Equal(t, 20_001, s.held.count)
}

// requireLinear checks that the cost per message does not grow with the number of messages. With a hundred times as
// many messages, the cost of each, in the best of several tries, may be at most eight times as high. With quadratic
// growth, it would be a hundred times as high.
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
	withFew, withMany := best(few), best(many)
	require.Less(t, withMany, 8*withFew,
		fmt.Sprintf("%v per message with %d messages, %v with %d", withFew, few, withMany, many))
}

func TestAcceptingAndExpiringManyIsLinear(t *testing.T) {
	requireLinear(t, func(n int) {
		s, _, now, _ := newHeld(n)
		s.SetTime(now + 2*benchTimeToLive)
		s.Reconcile()
		require.Zero(t, s.held.count)
	})
}

func TestExpiringManyOfOneKeyIsLinear(t *testing.T) {
	requireLinear(t, func(n int) {
		settings := benchSettings(10 * n)
		settings.Types[0].InOrder = true
		s := New(settings, 7, 100, &recordingHost{})
		d := s.NewDestination(1)
		for range n {
			s.Accept(&Message{Dest: d, Tenant: 9, Key: 5}, 0, benchTimeToLive)
		}
		s.Reconcile()
		s.SetTime(100 + 2*benchTimeToLive)
		s.Reconcile()
		require.Zero(t, s.held.count)
	})
}

func TestRecoveringManyIsLinear(t *testing.T) {
	requireLinear(t, func(n int) {
		s := New(benchSettings(10*n), 7, 100, &recordingHost{})
		d := s.NewDestination(1)
		for i := range n {
			s.Recover(&Message{Dest: d, Tenant: 9}, 0, benchTimeToLive, RecoveredState{Attempts: i % 2})
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
			s.Accept(&Message{Dest: d, Tenant: 9}, 0, benchTimeToLive)
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
		settings := benchSettings(n)
		s := New(settings, 7, 100, &recordingHost{})
		d := s.NewDestination(1)
		for range n / 2 {
			s.Accept(&Message{Dest: d, Tenant: 9}, 0, benchTimeToLive)
		}
		for range n {
			s.Accept(&Message{Dest: d, Tenant: 9}, 0, benchTimeToLive)
			s.Reconcile()
		}
		require.LessOrEqual(t, float64(s.held.count), sheddingThreshold*float64(n))
	})
}
