package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

const (
	kills        = 3
	roundsOfLife = 6 // of messages that a process accepts before it is killed
	keys         = 3

	// observationSlack is by how much the checker, beside load, may see the end of a connection late. The cooldown
	// itself is held to by TestCooldownOfKeyIsKept*.
	observationSlack = 50 * time.Millisecond

	drainGrace = time.Second // after the list says that an endpoint drains
)

// ruleChecker is an endpoint that answers at random and notes calls that no forwarder may make. A message's id is its
// type (t or p), key and number: t is ordered by key, p must not run twice.
type ruleChecker struct {
	hangs bool // some calls are left without an answer

	mu         sync.Mutex
	random     *rand.Rand
	ended      map[string]bool // delivered, or reported by a notice
	mayHaveRun map[string]bool
	unanswered map[string]time.Time // when the latest call without an answer ended
	out        map[string]int       // calls that are left without an answer and not given up
	copied     map[string]time.Time // when a message was sent while such a call with it seemed to be out
	drained    map[string]time.Time // by address: since when an endpoint drains by the list
	violations []string
}

func newRuleChecker() *ruleChecker {
	return &ruleChecker{random: rand.New(rand.NewPCG(3, 4)), ended: map[string]bool{}, mayHaveRun: map[string]bool{},
		unanswered: map[string]time.Time{}, out: map[string]int{}, copied: map[string]time.Time{},
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
		r.violations = append(r.violations, fmt.Sprintf("%s to an endpoint that drains since %v", c.ID, time.Since(since)))
	}
	switch r.random.IntN(12) {
	case 0:
		return emulator.Reply{Status: 429, Fields: map[string]string{"Retry-After": "0.05"}}
	case 1:
		r.run(c, false)
		return emulator.Reply{Status: 500}
	case 2:
		r.run(c, false)
		r.noteUnanswered(c)
		return emulator.Reply{Break: true}
	case 3:
		if r.hangs {
			return r.hang(c)
		}
	}
	r.run(c, true)
	return emulator.Reply{}
}

// setDrained notes that an endpoint drains by the list from now on, or does not.
func (r *ruleChecker) setDrained(endpoint string, drained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.drained, endpoint)
	if drained {
		r.drained[endpoint] = time.Now()
	}
}

// hang leaves a call without an answer until the forwarder gives it up. The lock is held.
func (r *ruleChecker) hang(c emulator.Call) emulator.Reply {
	r.run(c, false)
	for _, id := range c.IDs {
		r.out[id]++
	}
	return emulator.Reply{Hold: make(chan struct{}), Ended: func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, id := range c.IDs {
			r.out[id]--
			if at, copied := r.copied[id]; copied && time.Since(at) > observationSlack {
				r.violations = append(r.violations, id+" was sent while a call with it was out")
			}
			delete(r.copied, id)
		}
		r.noteUnanswered(c)
	}}
}

// noteUnanswered notes that the connection of a call ended without an answer. The lock is held.
func (r *ruleChecker) noteUnanswered(c emulator.Call) {
	for _, id := range c.IDs {
		r.unanswered[id] = time.Now()
	}
}

// check notes if a message must not be sent now. The lock is held.
func (r *ruleChecker) check(id string) {
	if r.out[id] > 0 {
		r.copied[id] = time.Now()
	}
	if id[0] == 'p' && r.mayHaveRun[id] {
		r.violations = append(r.violations, id+" may have run and must not run twice")
	}
	if id[0] != 't' {
		return
	}
	var key, number int
	_, _ = fmt.Sscanf(id[1:], "%d-%d", &key, &number)
	for n := range number {
		before := fmt.Sprintf("t%d-%d", key, n)
		if !r.ended[before] {
			r.violations = append(r.violations, id+" before "+before)
		}
		if rested := time.Since(r.unanswered[before]); rested < keyCooldown-observationSlack {
			r.violations = append(r.violations,
				fmt.Sprintf("%s %v after a call of %s ended without an answer", id, rested, before))
		}
	}
}

// run notes that the messages of a call run. The lock is held.
func (r *ruleChecker) run(c emulator.Call, delivered bool) {
	for _, id := range c.IDs {
		r.mayHaveRun[id] = true
		r.ended[id] = r.ended[id] || delivered
	}
}

// notice notes that a message has ended.
func (r *ruleChecker) notice(n emulator.Notice) {
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

// putRounds submits the messages of one process's life and returns their ids.
func (h *harness) putRounds(c *emulator.Client, life int) (ids []string) {
	for n := range roundsOfLife {
		number := life*roundsOfLife + n
		for key := range keys {
			id := fmt.Sprintf("t%d-%d", key, number)
			h.put(c, fmt.Sprint(key+1), id, "c=ticket,d=20000,dest=7,k="+id, "+OK")
			ids = append(ids, id)
		}
		id := fmt.Sprintf("p9-%d", number)
		h.put(c, zero, id, "c=payment,d=20000,dest=7", "+OK")
		ids = append(ids, id)
	}
	return ids
}

func TestRepeatedKillsEachMessageEndsOnceInKeyOrder(t *testing.T) {
	h := newHarness(t, "several")
	checker := newRuleChecker()
	h.endpoint.Do(checker.reply)
	h.discovery.OnNotice = checker.notice
	var ids []string
	for life := range kills {
		ids = append(ids, h.putRounds(h.start(), life)...)
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
			t.Fatalf("not all has ended; log:\n%s", h.process.Log)
		}
	}
	h.stop()
	checker.mu.Lock()
	defer checker.mu.Unlock()
	require.Empty(t, checker.violations)
	require.True(t, h.process.Log.Has(`"owed":0`), h.process.Log.String())
}
