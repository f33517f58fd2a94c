package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

const (
	kills            = 3
	roundsPerProcess = 6 // rounds of messages that are submitted to a process before it is killed
	keyCount         = 3

	// observationSlack is the longest delay with which the checker, under load, may see the end of a connection.
	// TestKeyCooldownIsKept* check the full cooldown.
	observationSlack = 50 * time.Millisecond

	drainGrace = time.Second // how long an endpoint may still get calls after the list marks it as leaving
)

// ruleChecker provides the replies of endpoints that answer at random, and records calls that a forwarder must not
// make. The id of a message consists of its type (t or p), key and number. Messages of type t are ordered by key, and
// those of type p must not run twice.
type ruleChecker struct {
	leavesUnanswered bool // some calls are left without an answer
	sendsLateBytes   bool // some answers are followed by late bytes

	mu         sync.Mutex
	random     *rand.Rand
	ended      map[string]bool // delivered or ended by a notice
	mayHaveRun map[string]bool
	unanswered map[string]time.Time // when the latest unanswered call ended
	inProgress map[string]int       // unanswered calls that the forwarder has not abandoned yet
	sentAgain  map[string]time.Time // when a message was sent while an unanswered call with it seemed to be in progress
	drained    map[string]time.Time // when the list marked an endpoint as leaving, by address
	violations []string
}

func newRuleChecker() *ruleChecker {
	return &ruleChecker{random: rand.New(rand.NewPCG(3, 4)), ended: map[string]bool{}, mayHaveRun: map[string]bool{},
		unanswered: map[string]time.Time{}, inProgress: map[string]int{}, sentAgain: map[string]time.Time{},
		drained: map[string]time.Time{}}
}

// reply checks a call and answers it.
func (r *ruleChecker) reply(c emulator.Call) emulator.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range c.IDs {
		r.check(id)
	}
	if since, drains := r.drained[c.Endpoint]; drains && time.Since(since) > drainGrace+observationSlack {
		r.violations = append(r.violations,
			fmt.Sprintf("%s was sent to an endpoint that has been draining for %v", c.ID, time.Since(since)))
	}
	switch r.random.IntN(12) {
	case 0:
		return emulator.Reply{Status: 429, Fields: map[string]string{"Retry-After": "0.05"}, Late: r.lateBytes()}
	case 1:
		r.recordRun(c, false)
		return emulator.Reply{Status: 500, Late: r.lateBytes()}
	case 2:
		r.recordRun(c, false)
		r.recordUnanswered(c, time.Now())
		return emulator.Reply{Break: true}
	case 3:
		if r.leavesUnanswered {
			return r.hang(c)
		}
	}
	r.recordRun(c, true)
	return emulator.Reply{Late: r.lateBytes()}
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

// hang leaves a call unanswered until the forwarder abandons it. The caller holds the lock.
func (r *ruleChecker) hang(c emulator.Call) emulator.Reply {
	r.recordRun(c, false)
	for _, id := range c.IDs {
		r.inProgress[id]++
	}
	return emulator.Reply{Hold: make(chan struct{}), Ended: func(at time.Time) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, id := range c.IDs {
			r.inProgress[id]--
			if again, sentAgain := r.sentAgain[id]; sentAgain && at.Sub(again) > observationSlack {
				r.violations = append(r.violations, id+" was sent while another call with it was in progress")
			}
			delete(r.sentAgain, id)
		}
		r.recordUnanswered(c, at)
	}}
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
	if r.inProgress[id] > 0 {
		r.sentAgain[id] = time.Now()
	}
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

// recordRun records that the messages of a call run. The caller holds the lock.
func (r *ruleChecker) recordRun(c emulator.Call, delivered bool) {
	for _, id := range c.IDs {
		r.mayHaveRun[id] = true
		r.ended[id] = r.ended[id] || delivered
	}
}

// recordNotice records that a message has ended.
func (r *ruleChecker) recordNotice(n emulator.Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended[n.ID] = true
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

// putRounds submits roundsPerProcess rounds of messages to the process with the given number and returns their ids.
func (h *harness) putRounds(c *emulator.Client, process int) (ids []string) {
	for n := range roundsPerProcess {
		number := process*roundsPerProcess + n
		for key := range keyCount {
			id := fmt.Sprintf("t%d-%d", key, number)
			h.put(c, fmt.Sprint(key+1), id, "c=ticket,d=20000,dest=7,k="+id, "+OK")
			ids = append(ids, id)
		}
		id := fmt.Sprintf("p9-%d", number)
		h.put(c, noKey, id, "c=payment,d=20000,dest=7", "+OK")
		ids = append(ids, id)
	}
	return ids
}

func TestMessagesEndOnceInKeyOrderAcrossRepeatedKills(t *testing.T) {
	h := newHarness(t, "several")
	checker := newRuleChecker()
	h.endpoint.Do(checker.reply)
	h.discovery.OnNotice = checker.recordNotice
	var ids []string
	for process := range kills {
		ids = append(ids, h.putRounds(h.start(), process)...)
		for range 3 {
			h.nextCall()
		}
		h.kill()
	}
	h.start()
	expired := time.After(25 * time.Second)
	for !checker.allEnded(ids) {
		select {
		case <-h.discovery.Notices:
		case <-h.endpoint.Calls:
		case <-expired:
			t.Fatalf("not all messages have ended; log:\n%s", h.process.Log)
		}
	}
	h.stop()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	require.Empty(t, checker.violations)
	require.True(t, h.process.Log.Has(`"owed":0`), h.process.Log.String())
}
