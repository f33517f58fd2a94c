package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"spanflow/internal/emulator"
)

const (
	// observationSlack is the longest delay with which the checker, under load, may see the end of a connection.
	// TestKeyCooldownIsKept* check the full cooldown.
	observationSlack = 50 * time.Millisecond

	kernelTick = 10 * time.Millisecond // resolution of the kernel's times

	drainGrace = time.Second // how long an endpoint may still get calls after the list marks it as leaving

	shortWait      = 50 * time.Millisecond  // least time to wait that endpoints tell
	longestWait    = 700 * time.Millisecond // added to that where endpoints tell long ones
	waitLetThrough = 100 * time.Millisecond // calls that come so soon after a wait was told are let through
	heldUp         = 150 * time.Millisecond // for which a forwarder may be held up between its decision and the first byte

	longestAnswer = 1500 * time.Millisecond // after which a call is answered at the latest that is not answered at once
)

// ruleChecker provides the replies of endpoints that answer at random, and records calls that a forwarder must not
// make. The id of a message consists of its type (t or p), key and number. Messages of type t are ordered by key, and
// those of type p must not run twice.
type ruleChecker struct {
	leavesUnanswered bool // some calls are left without an answer
	sendsLateBytes   bool // some answers are followed by late bytes
	tellsLongWaits   bool // some calls are turned away with a time to wait of up to longestWait
	lateAnswers      int  // of twelve calls, how many are answered after a time of up to longestAnswer

	mu         sync.Mutex
	random     *rand.Rand
	ended      map[string]bool // delivered or ended by a notice
	mayHaveRun map[string]bool
	unanswered map[string]time.Time   // when the latest unanswered call ended
	arrivals   map[string][]time.Time // of the calls with a message
	hangs      map[string][]hang      // unanswered calls with a message that the forwarder has abandoned
	drained    map[string]time.Time   // when the list marked an endpoint as leaving, by address
	notices    map[string]receivedNotice
	timeUp     map[string]time.Time // when the time of a message is up, at the latest by its forwarder's clock
	void       int                  // answers that did not count
	restarting bool                 // the process is being replaced or suspended, and a restart ends told waits
	toldWait   toldWait             // the latest one; the route of the endpoints is the same
	violations []string
}

// receivedNotice is a notice of a message, with the time at which discovery received it.
type receivedNotice struct {
	state string
	at    time.Time
}

// toldWait is a time for which a forwarder was told to make no calls.
type toldWait struct{ from, until time.Time }

func newRuleChecker() *ruleChecker {
	return &ruleChecker{random: rand.New(rand.NewPCG(3, 4)), ended: map[string]bool{}, mayHaveRun: map[string]bool{},
		unanswered: map[string]time.Time{}, arrivals: map[string][]time.Time{}, hangs: map[string][]hang{},
		drained: map[string]time.Time{}, notices: map[string]receivedNotice{}, timeUp: map[string]time.Time{}}
}

// reply checks a call and answers it.
func (r *ruleChecker) reply(c emulator.Call) emulator.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range c.IDs {
		r.check(id)
		r.checkNotEnded(id, c)
		r.checkOverlap(id, c.ArrivedAt)
	}
	r.checkToldWait(c)
	if since, drains := r.drained[c.Endpoint]; drains && time.Since(since) > drainGrace+observationSlack {
		r.violations = append(r.violations,
			fmt.Sprintf("%s was sent to an endpoint that has been draining for %v", c.ID, time.Since(since)))
	}
	switch n := r.random.IntN(12); {
	case n == 0:
		return r.overload(c)
	case n == 1:
		r.recordRun(c, false)
		return emulator.Reply{Status: 500, Late: r.lateBytes()}
	case n == 2:
		r.recordRun(c, false)
		r.recordUnanswered(c, time.Now())
		return emulator.Reply{Break: true}
	case n == 3 && r.leavesUnanswered:
		return r.hang(c)
	case n >= 12-r.lateAnswers:
		return r.answerLate(c)
	}
	r.recordRun(c, true)
	return emulator.Reply{Late: r.lateBytes()}
}

// overload turns a call away with a time to wait. The caller holds the lock.
func (r *ruleChecker) overload(c emulator.Call) emulator.Reply {
	wait := shortWait
	if r.tellsLongWaits {
		wait += time.Duration(r.random.Int64N(int64(longestWait)))
		now := time.Now()
		heard := now.Sub(c.ArrivedAt) < observationSlack // otherwise the forwarder may have abandoned the call
		if heard && !r.restarting && now.Add(wait).After(r.toldWait.until) {
			r.toldWait = toldWait{now.Add(waitLetThrough + heldUp), now.Add(wait)}
		}
	}
	fields := map[string]string{"Retry-After": fmt.Sprint(wait.Seconds())}
	return emulator.Reply{Status: 429, Fields: fields, Late: r.lateBytes()}
}

// checkToldWait records a violation if a call began although the forwarder was told to wait. The caller holds the lock.
func (r *ruleChecker) checkToldWait(c emulator.Call) {
	if c.ArrivedAt.After(r.toldWait.from) && c.ArrivedAt.Before(r.toldWait.until) {
		r.violations = append(r.violations, fmt.Sprintf("%v were sent %v before the end of a told wait", c.IDs,
			r.toldWait.until.Sub(c.ArrivedAt)))
	}
}

// setRestarting records whether the process is being replaced or suspended. Told waits do not bind meanwhile.
func (r *ruleChecker) setRestarting(restarting bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restarting, r.toldWait = restarting, toldWait{}
}

// checkNotEnded records a violation if a message was sent after its notice. The caller holds the lock.
func (r *ruleChecker) checkNotEnded(id string, c emulator.Call) {
	if notice, ended := r.notices[id]; ended && c.ArrivedAt.After(notice.at) {
		r.violations = append(r.violations, fmt.Sprintf("%s was sent %v after its notice", id, c.ArrivedAt.Sub(notice.at)))
	}
}

// checkReturned records a violation if a message was handed back that may have run and must not run twice. The caller holds
// the lock.
func (r *ruleChecker) checkReturned(id string) {
	if id[0] == 'p' && r.mayHaveRun[id] && r.notices[id].state == "returned" {
		r.violations = append(r.violations, id+" was handed back, but may have run")
	}
}

// lateBytes returns what follows an answer: in some cases a second copy, noise or half an answer, after 1 ms to 1 s. The
// caller holds the lock.
func (r *ruleChecker) lateBytes() emulator.LateBytes {
	if !r.sendsLateBytes || r.random.IntN(3) > 0 {
		return emulator.LateBytes{}
	}
	kinds := []string{"", "", "\x00\xff noise\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Le"}
	after := float64(time.Millisecond) * math.Pow(1000, r.random.Float64())
	return emulator.LateBytes{After: time.Duration(after), Bytes: kinds[r.random.IntN(len(kinds))]}
}

// replyToNotices receives some notices only at a later request, and sends late bytes after some answers.
func (r *ruleChecker) replyToNotices([]emulator.Notice) emulator.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.random.IntN(6) {
	case 0:
		return emulator.Reply{Break: true}
	case 1:
		return emulator.Reply{Status: 503, Late: r.lateBytes()}
	}
	return emulator.Reply{Late: r.lateBytes()}
}

// setDrained records whether the list marks an endpoint as leaving.
func (r *ruleChecker) setDrained(endpoint string, drained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.drained, endpoint)
	if drained {
		r.drained[endpoint] = time.Now()
	}
}

// hang is a call without an answer, from its arrival to the end of its connection.
type hang struct{ from, to time.Time }

// includes reports whether another call arrived within the call, as far as the kernel's times tell.
func (h hang) includes(arrival time.Time) bool {
	return arrival.After(h.from.Add(kernelTick)) && h.to.Sub(arrival) > observationSlack
}

// hang leaves a call unanswered until the forwarder abandons it. The caller holds the lock.
func (r *ruleChecker) hang(c emulator.Call) emulator.Reply {
	r.recordRun(c, false)
	return emulator.Reply{Hold: make(chan struct{}), Ended: func(at time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, id := range c.IDs {
			call := hang{c.ArrivedAt, at}
			r.hangs[id] = append(r.hangs[id], call)
			if slices.ContainsFunc(r.arrivals[id], call.includes) {
				r.recordOverlap(id)
			}
		}
		r.recordUnanswered(c, at)
	}}
}

// answerLate answers a call after a while, unless the forwarder abandons it before. The caller holds the lock.
func (r *ruleChecker) answerLate(c emulator.Call) emulator.Reply {
	reply := r.hang(c)
	reply.Answer = func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.recordRun(c, true)
	}
	hold := reply.Hold
	time.AfterFunc(time.Duration(r.random.Int64N(int64(longestAnswer))), func() { close(hold) })
	return reply
}

// countsForNone reports whether an answer to a call that is written now counts for none of its messages, because one of them is
// over: its time is up, or it has a notice. An endpoint may take the whole call to be over then. The caller holds the lock.
func (r *ruleChecker) countsForNone(c emulator.Call) bool {
	return slices.ContainsFunc(c.IDs, func(id string) bool {
		until, known := r.timeUp[id]
		_, noticed := r.notices[id]
		return noticed || known && time.Now().After(until)
	})
}

// setTimeUp records that the time of a message is up after a while from now, at the latest.
func (r *ruleChecker) setTimeUp(id string, life time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timeUp[id] = time.Now().Add(life)
}

// checkOverlap records the arrival of a call with a message, and a violation if it came while an earlier call with the message
// was in progress. The caller holds the lock.
func (r *ruleChecker) checkOverlap(id string, arrival time.Time) {
	r.arrivals[id] = append(r.arrivals[id], arrival)
	if slices.ContainsFunc(r.hangs[id], func(h hang) bool { return h.includes(arrival) }) {
		r.recordOverlap(id)
	}
}

func (r *ruleChecker) recordOverlap(id string) {
	r.violations = append(r.violations, id+" was sent while another call with it was in progress")
}

// recordUnanswered records when the connection of a call ended without an answer. The caller holds the lock.
func (r *ruleChecker) recordUnanswered(c emulator.Call, at time.Time) {
	for _, id := range c.IDs {
		if at.After(r.unanswered[id]) { // ends may be reported in another order
			r.unanswered[id] = at
		}
	}
}

// check records a violation if the message must not be sent now. The caller holds the lock.
func (r *ruleChecker) check(id string) {
	if id[0] == 'p' && r.mayHaveRun[id] {
		r.violations = append(r.violations, id+" was sent again, but may have run and must not run twice")
	}
	if id[0] != 't' {
		return
	}
	var key, number int
	_, _ = fmt.Sscanf(id[1:], "%d-%d", &key, &number)
	for n := range number {
		earlier := fmt.Sprintf("t%d-%d", key, n)
		if !r.ended[earlier] {
			r.violations = append(r.violations, id+" was sent before the end of "+earlier)
		}
		if elapsed := time.Since(r.unanswered[earlier]); elapsed < keyCooldown-observationSlack {
			r.violations = append(r.violations,
				fmt.Sprintf("%s was sent %v after a call of %s ended without an answer", id, elapsed, earlier))
		}
	}
}

// recordRun records that the messages of a call run, and whether that is answered now. The caller holds the lock.
func (r *ruleChecker) recordRun(c emulator.Call, answered bool) {
	delivered := answered && !r.countsForNone(c)
	if answered && !delivered {
		r.void++
	}
	for _, id := range c.IDs {
		r.mayHaveRun[id] = true
		r.checkReturned(id)
		r.ended[id] = r.ended[id] || delivered
	}
}

// recordNotice records that a message has ended.
func (r *ruleChecker) recordNotice(n emulator.Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended[n.ID] = true
	if _, repeated := r.notices[n.ID]; !repeated {
		r.notices[n.ID] = receivedNotice{n.State, time.Now()}
	}
	r.checkReturned(n.ID)
}

// allEnded reports whether each message was delivered or has a notice.
func (r *ruleChecker) allEnded(ids []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if !r.ended[id] {
			return false
		}
	}
	return true
}
