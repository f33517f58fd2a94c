package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

const (
	fleetSize  = 10
	killedOnes = 7 // the first ones of the fleet
)

// fleetMember is one forwarder of a fleet: it shares the harness's endpoint and discovery and has a folder of its own.
type fleetMember struct {
	harness
	forwarder *adminProcess
}

// startFleet starts so many forwarders and waits until all serve.
func (h *harness) startFleet(size int) []*fleetMember {
	var fleet []*fleetMember
	for range size {
		m := &fleetMember{harness: *h}
		m.stateFolder = h.t.TempDir()
		m.forwarder = m.startWithAdmin(nil)
		fleet = append(fleet, m)
	}
	awaitFleet(fleet)
	return fleet
}

// awaitFleet waits until forwarders serve and records their addresses.
func awaitFleet(fleet []*fleetMember) {
	for _, m := range fleet {
		m.listen = m.forwarder.AwaitReady(m.t)
	}
}

// killFleet kills forwarders at once and waits for their ends.
func killFleet(fleet []*fleetMember) {
	var all sync.WaitGroup
	for _, m := range fleet {
		all.Go(m.forwarder.Kill)
	}
	all.Wait()
}

// fleetCalls counts the calls at an endpoint that answers none of them until it is released.
type fleetCalls struct {
	mu        sync.Mutex
	release   chan struct{}
	came      map[string]int // calls, by message
	delivered map[string]int // those that came after the release
}

func newFleetCalls() *fleetCalls {
	return &fleetCalls{release: make(chan struct{}), came: map[string]int{}, delivered: map[string]int{}}
}

func (f *fleetCalls) reply(c emulator.Call) emulator.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.came[c.ID]++
	select {
	case <-f.release:
		f.delivered[c.ID]++
		return emulator.Reply{}
	default:
		return emulator.Reply{Hold: f.release} // the caller is killed before, or gets the answer
	}
}

// messages returns the ids of the messages that calls have come with.
func (f *fleetCalls) messages() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := map[string]bool{}
	for id := range f.came {
		ids[id] = true
	}
	return ids
}

// allEnded reports whether each message was delivered or has a notice. The calls of survivors in progress at the kill
// were answered by the release and count as neither.
func (f *fleetCalls) allEnded(ids []string, noticed map[string]int, outAtKill map[string]bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if noticed[id]+f.delivered[id] == 0 && !(ofSurvivor(id) && outAtKill[id]) {
			return false
		}
	}
	return true
}

// requireOnce requires that each message ended once and that none ran twice that must not.
func (f *fleetCalls) requireOnce(t *testing.T, ids []string, noticed map[string]int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		require.LessOrEqual(t, noticed[id]+f.delivered[id], 1,
			"%s: %d notices, %d deliveries after the kill", id, noticed[id], f.delivered[id])
		if strings.HasSuffix(id, "payment") {
			require.LessOrEqual(t, f.came[id], 1, "%s must not run twice", id)
		}
	}
}

// ofSurvivor reports whether a message was submitted to a forwarder that is not killed.
func ofSurvivor(id string) bool {
	for member := killedOnes; member < fleetSize; member++ {
		if strings.HasPrefix(id, fmt.Sprintf("d%d-", member)) {
			return true
		}
	}
	return false
}

// submitToFleet submits messages of all types to each forwarder and returns their ids.
func submitToFleet(fleet []*fleetMember) (ids []string) {
	for i, m := range fleet {
		c := m.client()
		for j, kind := range []string{"status", "payment", "ticket", "status", "payment"} {
			id := fmt.Sprintf("d%d-%d-%s", i, j, kind)
			m.put(c, zero, id, fmt.Sprintf("c=%s,d=15000,dest=7,k=m%d-%d", kind, i, j), "+OK")
			ids = append(ids, id)
		}
		_ = c.Close()
	}
	return ids
}

// Most of a fleet is killed at once with calls in progress and messages waiting, and started again on its folders:
// each message ends once, by delivery or by a notice, and none that must not run twice is sent twice.
func TestFleetMostlyKilledAtOnceAnswersEveryMessageOnce(t *testing.T) {
	h := newHarness(t, "single")
	calls := newFleetCalls()
	h.endpoint.Do(calls.reply)
	fleet := h.startFleet(fleetSize)
	ids := submitToFleet(fleet)
	require.Eventually(t, func() bool { // each has calls in progress
		return len(calls.messages()) >= 2*len(fleet)
	}, 10*time.Second, 10*time.Millisecond)

	outAtKill := calls.messages()
	killed := fleet[:killedOnes]
	killFleet(killed)
	close(calls.release)
	for _, m := range killed {
		m.forwarder = m.startWithAdmin(nil)
	}
	awaitFleet(killed)

	noticed := map[string]int{}
	require.Eventually(t, func() bool {
		for len(h.discovery.Notices) > 0 {
			notice := <-h.discovery.Notices
			noticed[notice.ID]++
		}
		return calls.allEnded(ids, noticed, outAtKill)
	}, 20*time.Second, 20*time.Millisecond)
	calls.requireOnce(t, ids, noticed)
}
