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
)

// ruleChecker is an endpoint that answers at random and notes calls that no forwarder may make. A message's id is its
// type (t or p), key and number: t is ordered by key, p must not run twice.
type ruleChecker struct {
	mu         sync.Mutex
	random     *rand.Rand
	ended      map[string]bool // delivered, or reported by a notice
	mayHaveRun map[string]bool
	violations []string
}

func newRuleChecker() *ruleChecker {
	return &ruleChecker{random: rand.New(rand.NewPCG(3, 4)), ended: map[string]bool{}, mayHaveRun: map[string]bool{}}
}

// reply checks a call and answers it.
func (r *ruleChecker) reply(c emulator.Call) emulator.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range c.IDs {
		r.check(id)
	}
	switch r.random.IntN(12) {
	case 0:
		return emulator.Reply{Status: 429, Fields: map[string]string{"Retry-After": "0.05"}}
	case 1:
		r.run(c, false)
		return emulator.Reply{Status: 500}
	case 2:
		r.run(c, false)
		return emulator.Reply{Break: true}
	}
	r.run(c, true)
	return emulator.Reply{}
}

// check notes if a message must not be sent now. The lock is held.
func (r *ruleChecker) check(id string) {
	if id[0] == 'p' && r.mayHaveRun[id] {
		r.violations = append(r.violations, id+" may have run and must not run twice")
	}
	var key, number int
	_, _ = fmt.Sscanf(id[1:], "%d-%d", &key, &number)
	for n := range number {
		if before := fmt.Sprintf("t%d-%d", key, n); id[0] == 't' && !r.ended[before] {
			r.violations = append(r.violations, id+" before "+before)
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
