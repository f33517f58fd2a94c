package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// fleet is many forwarders of the scheduler in front of one destination that all share. It lets in so many calls a
// second, counting those that it refuses too, and reports its limit and what is left of it.
type fleet struct {
	nodes       []*fake
	now         float64
	limit       float64
	room        float64 // calls that the limit still lets in
	hung        bool    // its queue is full: it refuses all
	mute        bool    // it reports nothing
	debt        float64 // refused calls use the limit up by so many beyond it
	seen        []int   // attempts of each node that were taken note of
	late        []due
	calls, full int
	took        map[*Message]int
}

type due struct {
	at   float64
	node *fake
	doc  *Message
	end  AttemptResult
}

func newFleet(n int, limit float64) *fleet {
	t := testSettings
	t.Forwarders = n
	f := &fleet{now: 100, limit: limit, room: limit / 2, debt: 1, seen: make([]int, n), took: map[*Message]int{}}
	for i := range n {
		h := newFake(t)
		h.Scheduler = New(t, uint64(i+1), 100, h)
		h.addDestination(0, 0)
		f.nodes = append(f.nodes, h)
	}
	return f
}

// pass lets the fleet run, one message in so many seconds for each node, and returns the calls and those refused.
func (f *fleet) pass(seconds, every float64) (calls, full int) {
	f.calls, f.full = 0, 0
	for end := f.now + seconds; f.now < end; f.now += 0.02 {
		f.room = min(f.limit/2, f.room+0.02*f.limit)
		for i, h := range f.nodes {
			h.now = f.now
			h.SetTime(f.now)
			if every > 0 && int(f.now/every+float64(i)/7) != int((f.now-0.02)/every+float64(i)/7) {
				h.accept(h.destinations[0], status, 0)
			}
		}
		for len(f.late) > 0 && f.late[0].at <= f.now {
			a := f.late[0]
			f.late = f.late[1:]
			a.node.AttemptEnded(a.doc, a.end)
		}
		for i, h := range f.nodes {
			h.TimerFired()
			h.Reconcile()
			for ; f.seen[i] < len(h.sent); f.seen[i]++ {
				f.call(h, h.sent[f.seen[i]].message)
			}
		}
	}
	return f.calls, f.full
}

func (f *fleet) call(h *fake, message *Message) {
	f.calls++
	e := AttemptResult{Outcome: Delivered, Final: true, Latency: 0.1, ReportedLimit: f.limit, ReportedShare: ReportedValue(max(0, (f.room-1)/(f.limit/2)))}
	if f.room--; f.hung || f.room < 0 {
		f.full++
		f.room = max(f.room, -f.debt) // refused calls use it up too
		e = AttemptResult{Outcome: Overloaded, Latency: 0.05, ReportedLimit: f.limit, ReportedShare: -1}
	} else {
		f.took[message]++
	}
	if f.mute {
		e.ReportedLimit, e.ReportedShare = 0, 0
	}
	f.late = append(f.late, due{f.now + 0.1, h, message, e})
}

// A fleet of few messages each, some with far more, at an exact listed limit that refused calls use up: after a clump
// the sum of their calls falls under the limit, and what comes then is let in.
func TestManyUnevenForwardersLeaveAnExactLimitRoomAfterABurst(t *testing.T) {
	f := newFleet(100, 10)
	f.mute, f.debt = true, 5
	for i, h := range f.nodes {
		h.settings.ListedRateTolerance, h.destinations[0].listedRate = 1, 10
		if i%4 == 0 { // two and a half seconds of the limit, all at once
			h.flood(h.destinations[0], status, 1+i%8/4*2)
		}
	}
	f.pass(4, 20) // half of the limit
	before := len(f.took)
	calls, full := f.pass(10, 20)
	t.Logf("%d calls, %d refused, %d delivered", calls, full, len(f.took)-before)
	require.Less(t, calls, 110)
	require.Greater(t, len(f.took)-before, 38)
}

func TestALimitLoweredUnderManyIsNotUsedUpByRefusedCalls(t *testing.T) {
	f := newFleet(60, 30)
	_, full := f.pass(10, 4) // half of the limit
	require.Less(t, full, 30)
	f.limit = 8
	f.pass(5, 4)
	calls, full := f.pass(10, 4)
	require.Less(t, float64(full), 0.55*float64(calls), "%d calls", calls)
	require.Greater(t, calls-full, 25)
	f.limit = 30
	f.pass(5, 4)
	before := len(f.took)
	f.pass(10, 4)
	require.Greater(t, len(f.took)-before, 120, "whole again, it is used again")
}

func TestManyThatAreRefusedByAHungDestinationDoNotMeetItsReturn(t *testing.T) {
	f := newFleet(200, 6)
	f.pass(10, 40)
	f.hung = true
	f.pass(20, 20) // each has a message or two, and is refused with nothing left
	calls, _ := f.pass(4, 0)
	require.Less(t, calls, 4*6, "what the limit lets in, not what all hold")
}

func TestAFleetKilledAndStartedTogetherAnswersEachMessageOnce(t *testing.T) {
	f := newFleet(60, 20)
	f.pass(5, 6)
	again := newFleet(60, 20)
	owed := map[*Message]bool{}
	for i, h := range f.nodes {
		for earlier := range h.held.all() {
			n := again.nodes[i]
			message := &Message{ID: earlier.ID, Dest: n.destinations[0], Tenant: 9}
			n.Recover(message, status, 15, RecoveredState{Attempts: earlier.attempts, FirstRanAt: earlier.firstRanAt})
			owed[message] = true
		}
		for range 3 { // and what was handed in meanwhile
			owed[again.nodes[i].accept(again.nodes[i].destinations[0], status, 0)] = true
		}
	}
	calls, full := again.pass(21, 0)
	require.Less(t, float64(full), 0.5*float64(calls))
	for message := range owed {
		answered := again.took[message]
		for _, h := range again.nodes {
			answered += len(h.done[message]) / len("rejected")
		}
		require.Equal(t, 1, answered)
	}
}

// Nearly all forwarders start anew while a destination is hung; it returns and takes a fifth of its load.
func TestAFleetStartedAnewDoesNotPushOverADestinationThatReturnsCold(t *testing.T) {
	f := newFleet(200, 20)
	f.mute, f.hung = true, true
	for _, h := range f.nodes {
		h.settings.ListedRateTolerance, h.destinations[0].listedRate = 1, 20
	}
	f.pass(10, 20)
	calls, _ := f.pass(2, 0) // as it returns
	require.Less(t, calls, 26, "twice a fifth of what it takes, with some to spare")
}
