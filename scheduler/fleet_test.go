package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// fleet is many schedulers that share one destination. The destination accepts a limited number of calls a second,
// counting those that it rejects too, and reports its limit and what is left of it.
type fleet struct {
	forwarders      []*harness
	now             float64
	limit           float64
	capacity        float64 // calls that the limit still allows
	hung            bool    // its queue is full: it rejects all
	silentReports   bool    // it reports nothing
	debt            float64 // rejected calls use the limit up by so many beyond it
	noted           []int   // attempts of each forwarder that were answered
	pending         []scheduledResult
	calls, rejected int
	delivered       map[*Message]int
}

type scheduledResult struct {
	at        float64
	forwarder *harness
	message   *Message
	result    AttemptResult
}

func newFleet(n int, limit float64) *fleet {
	t := testSettings
	t.Forwarders = n
	f := &fleet{now: 100, limit: limit, capacity: limit / 2, debt: 1,
		noted: make([]int, n), delivered: map[*Message]int{}}
	for i := range n {
		h := newSeededHarness(t, uint64(i+1))
		h.addDestination(0, 0)
		f.forwarders = append(f.forwarders, h)
	}
	return f
}

// advance runs the fleet, one message in so many seconds for each forwarder, and returns the calls and those rejected.
func (f *fleet) advance(seconds, every float64) (calls, full int) {
	f.calls, f.rejected = 0, 0
	for end := f.now + seconds; f.now < end; f.now += 0.02 {
		f.capacity = min(f.limit/2, f.capacity+0.02*f.limit)
		for i, h := range f.forwarders {
			h.now = f.now
			h.SetTime(f.now)
			if every > 0 && int(f.now/every+float64(i)/7) != int((f.now-0.02)/every+float64(i)/7) {
				h.accept(h.destinations[0], status, 0)
			}
		}
		for len(f.pending) > 0 && f.pending[0].at <= f.now {
			a := f.pending[0]
			f.pending = f.pending[1:]
			a.forwarder.AttemptEnded(a.message, a.result)
		}
		for i, h := range f.forwarders {
			h.TimerFired()
			h.Reconcile()
			for ; f.noted[i] < len(h.sent); f.noted[i]++ {
				f.call(h, h.sent[f.noted[i]].message)
			}
		}
	}
	return f.calls, f.rejected
}

func (f *fleet) call(h *harness, message *Message) {
	f.calls++
	e := AttemptResult{Outcome: Delivered, Final: true, Latency: 0.1, ReportedLimit: f.limit,
		ReportedShare: ReportedValue(max(0, (f.capacity-1)/(f.limit/2)))}
	if f.capacity--; f.hung || f.capacity < 0 {
		f.rejected++
		f.capacity = max(f.capacity, -f.debt) // rejected calls use it up too
		e = AttemptResult{Outcome: Overloaded, Latency: 0.05, ReportedLimit: f.limit, ReportedShare: -1}
	} else {
		f.delivered[message]++
	}
	if f.silentReports {
		e.ReportedLimit, e.ReportedShare = 0, 0
	}
	f.pending = append(f.pending, scheduledResult{f.now + 0.1, h, message, e})
}

// A fleet of few messages each, some with far more, at an exact listed limit that rejected calls use up: after a burst
// the sum of their calls falls under the limit, and later calls are accepted.
func TestUnevenFleetStaysBelowExactLimitAfterBurst(t *testing.T) {
	f := newFleet(100, 10)
	f.silentReports, f.debt = true, 5
	for i, h := range f.forwarders {
		h.settings.ListedRateTolerance, h.destinations[0].listedRate = 1, 10
		if i%4 == 0 { // two and a half seconds of the limit, all at once
			h.flood(h.destinations[0], status, 1+i%8/4*2)
		}
	}
	f.advance(4, 20) // half of the limit
	before := len(f.delivered)
	calls, full := f.advance(10, 20)
	t.Logf("%d calls, %d refused, %d delivered", calls, full, len(f.delivered)-before)
	require.Less(t, calls, 110)
	require.Greater(t, len(f.delivered)-before, 38)
}

func TestFleetFollowsLoweredLimit(t *testing.T) {
	f := newFleet(60, 30)
	_, full := f.advance(10, 4) // half of the limit
	require.Less(t, full, 30)
	f.limit = 8
	f.advance(5, 4)
	calls, full := f.advance(10, 4)
	require.Less(t, float64(full), 0.55*float64(calls), "%d calls", calls)
	require.Greater(t, calls-full, 25)
	f.limit = 30
	f.advance(5, 4)
	before := len(f.delivered)
	f.advance(10, 4)
	require.Greater(t, len(f.delivered)-before, 120, "whole again, it is used again")
}

func TestFleetDoesNotRushRecoveredDestination(t *testing.T) {
	f := newFleet(200, 6)
	f.advance(10, 40)
	f.hung = true
	f.advance(20, 20) // each has a message or two, and is rejected with nothing left
	calls, _ := f.advance(4, 0)
	require.Less(t, calls, 4*6, "what the limit lets in, not what all hold")
}

func TestRestartedFleetAnswersEachMessageOnce(t *testing.T) {
	f := newFleet(60, 20)
	f.advance(5, 6)
	again := newFleet(60, 20)
	owed := map[*Message]bool{}
	for i, h := range f.forwarders {
		for earlier := range h.held.all() {
			n := again.forwarders[i]
			message := &Message{ID: earlier.ID, Dest: n.destinations[0], Tenant: 9}
			n.Recover(message, status, 15, RecoveredState{Attempts: earlier.attempts, FirstRanAt: earlier.firstRanAt})
			owed[message] = true
		}
		for range 3 { // and what was submitted meanwhile
			owed[again.forwarders[i].accept(again.forwarders[i].destinations[0], status, 0)] = true
		}
	}
	calls, full := again.advance(21, 0)
	require.Less(t, float64(full), 0.5*float64(calls))
	for message := range owed {
		answered := again.delivered[message]
		for _, h := range again.forwarders {
			answered += len(h.answers[message]) / len("rejected")
		}
		require.Equal(t, 1, answered)
	}
}

// Nearly all forwarders restart while a destination is hung; it returns and takes a fifth of its load.
func TestRestartedFleetDoesNotOverloadColdDestination(t *testing.T) {
	f := newFleet(200, 20)
	f.silentReports, f.hung = true, true
	for _, h := range f.forwarders {
		h.settings.ListedRateTolerance, h.destinations[0].listedRate = 1, 20
	}
	f.advance(10, 20)
	calls, _ := f.advance(2, 0) // as it returns
	require.Less(t, calls, 26, "twice a fifth of what it takes, with some to spare")
}
