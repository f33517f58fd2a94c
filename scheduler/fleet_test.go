package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// fleet simulates many forwarders that share one destination. The destination accepts a limited number of calls per
// second, and rejected calls count towards the limit. It reports the limit and its unused share.
type fleet struct {
	forwarders      []*harness
	now             float64
	limit           float64
	capacity        float64 // calls that the limit still allows
	hung            bool    // the destination's queue is full, so it rejects all calls
	silentReports   bool    // the destination reports nothing
	debt            float64 // maximum number of rejected calls that are counted beyond the limit
	scheduled       []int   // per forwarder: attempts whose result is scheduled
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
	settings := testSettings
	settings.Forwarders = n
	f := &fleet{now: 100, limit: limit, capacity: limit / 2, debt: 1,
		scheduled: make([]int, n), delivered: map[*Message]int{}}
	for i := range n {
		h := newSeededHarness(settings, uint64(i+1))
		h.addDestination(0, 0)
		f.forwarders = append(f.forwarders, h)
	}
	return f
}

// advance runs the fleet for some seconds. Each forwarder accepts a message every interval seconds, or none if interval
// is 0. It returns the number of calls and how many of them were rejected.
func (f *fleet) advance(seconds, interval float64) (calls, rejected int) {
	f.calls, f.rejected = 0, 0
	for end := f.now + seconds; f.now < end; f.now += 0.02 {
		f.capacity = min(f.limit/2, f.capacity+0.02*f.limit)
		for i, h := range f.forwarders {
			h.now = f.now
			h.SetTime(f.now)
			if interval > 0 && int(f.now/interval+float64(i)/7) != int((f.now-0.02)/interval+float64(i)/7) {
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
			for ; f.scheduled[i] < len(h.sent); f.scheduled[i]++ {
				f.call(h, h.sent[f.scheduled[i]].message)
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
		f.capacity = max(f.capacity, -f.debt) // rejected calls also use up the limit
		e = AttemptResult{Outcome: Overloaded, Latency: 0.05, ReportedLimit: f.limit, ReportedShare: -1}
	} else {
		f.delivered[message]++
	}
	if f.silentReports {
		e.ReportedLimit, e.ReportedShare = 0, 0
	}
	f.pending = append(f.pending, scheduledResult{f.now + 0.1, h, message, e})
}

// The forwarders of this fleet have few messages each, except for some that have far more. The listed limit is exact,
// and rejected calls use it up. After a burst, all calls together must fall below the limit, so that later ones are
// accepted.
func TestUnevenFleetStaysBelowExactLimitAfterBurst(t *testing.T) {
	f := newFleet(100, 10)
	f.silentReports, f.debt = true, 5
	for i, h := range f.forwarders {
		h.settings.ListedRateTolerance, h.destinations[0].listedRate = 1, 10
		if i%4 == 0 { // the total of all bursts is what the limit allows in two and a half seconds
			h.flood(h.destinations[0], status, 1+i%8/4*2)
		}
	}
	f.advance(4, 20) // messages arrive at half the limit
	before := len(f.delivered)
	calls, rejected := f.advance(10, 20)
	t.Logf("%d calls, %d rejected, %d delivered", calls, rejected, len(f.delivered)-before)
	require.Less(t, calls, 110)
	require.Greater(t, len(f.delivered)-before, 38)
}

func TestFleetFollowsLoweredLimit(t *testing.T) {
	f := newFleet(60, 30)
	_, rejected := f.advance(10, 4) // messages arrive at half the limit
	require.Less(t, rejected, 30)
	f.limit = 8
	f.advance(5, 4)
	calls, rejected := f.advance(10, 4)
	require.Less(t, float64(rejected), 0.55*float64(calls), "%d calls", calls)
	require.Greater(t, calls-rejected, 25)
	f.limit = 30
	f.advance(5, 4)
	before := len(f.delivered)
	f.advance(10, 4)
	require.Greater(t, len(f.delivered)-before, 120, "the restored limit is used again")
}

func TestFleetDoesNotOverloadRecoveredDestination(t *testing.T) {
	f := newFleet(200, 6)
	f.advance(10, 40)
	f.hung = true
	f.advance(20, 20) // each forwarder has one or two messages, which are rejected because nothing is left of the limit
	calls, _ := f.advance(4, 0)
	require.Less(t, calls, 4*6, "the calls that the limit allows, not one for each held message")
}

func TestRestartedFleetAnswersEachMessageOnce(t *testing.T) {
	f := newFleet(60, 20)
	f.advance(5, 6)
	restarted := newFleet(60, 20)
	pending := map[*Message]bool{}
	for i, h := range f.forwarders {
		for earlier := range h.held.all() {
			successor := restarted.forwarders[i]
			message := &Message{ID: earlier.ID, Dest: successor.destinations[0], Tenant: 9}
			successor.Recover(message, status, 15, RecoveredState{Attempts: earlier.attempts, FirstRanAt: earlier.firstRanAt})
			pending[message] = true
		}
		for range 3 { // new messages, submitted to the successor
			pending[restarted.forwarders[i].accept(restarted.forwarders[i].destinations[0], status, 0)] = true
		}
	}
	calls, rejected := restarted.advance(21, 0)
	require.Less(t, float64(rejected), 0.5*float64(calls))
	for message := range pending {
		answered := restarted.delivered[message]
		for _, h := range restarted.forwarders {
			answered += len(h.answers[message]) / len("rejected")
		}
		require.Equal(t, 1, answered)
	}
}

// All forwarders are newly started while a destination is hung. It returns cold, with a fifth of its usual capacity.
func TestRestartedFleetDoesNotOverloadColdDestination(t *testing.T) {
	f := newFleet(200, 20)
	f.silentReports, f.hung = true, true
	for _, h := range f.forwarders {
		h.settings.ListedRateTolerance, h.destinations[0].listedRate = 1, 20
	}
	f.advance(10, 20)
	calls, _ := f.advance(2, 0) // while it returns
	require.Less(t, calls, 26, "twice a fifth of its usual capacity, with some tolerance")
}
