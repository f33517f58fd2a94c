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
	fleetSize     = 10
	killedMembers = 7 // the killed members are those with the lowest numbers
)

// fleetMember is one forwarder of a fleet. Members share the endpoint and discovery of the harness, and each has its
// own folder.
type fleetMember struct {
	harness
	forwarder *adminProcess
}

// startFleet starts a number of forwarders and waits until all of them serve clients.
func (h *harness) startFleet(size int) []*fleetMember {
	var fleet []*fleetMember
	for range size {
		m := &fleetMember{harness: *h}
		m.stateFolder = h.t.TempDir()
		m.forwarder = m.startWithAdmin(nil)
		fleet = append(fleet, m)
	}
	awaitFleetReady(fleet)
	return fleet
}

// awaitFleetReady waits until all forwarders serve clients and records their addresses.
func awaitFleetReady(fleet []*fleetMember) {
	for _, m := range fleet {
		m.listen = m.forwarder.AwaitReady(m.t)
	}
}

// killFleet kills all forwarders at the same time and waits until they have ended.
func killFleet(fleet []*fleetMember) {
	var all sync.WaitGroup
	for _, m := range fleet {
		all.Go(m.forwarder.Kill)
	}
	all.Wait()
}

// fleetCalls counts the calls at an endpoint that answers no call until release is closed.
type fleetCalls struct {
	mu        sync.Mutex
	release   chan struct{}
	received  map[string]int // calls, by message id
	delivered map[string]int // calls received after the release, by message id
}

func newFleetCalls() *fleetCalls {
	return &fleetCalls{release: make(chan struct{}), received: map[string]int{}, delivered: map[string]int{}}
}

func (f *fleetCalls) reply(c emulator.Call) emulator.Reply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received[c.ID]++
	select {
	case <-f.release:
		f.delivered[c.ID]++
		return emulator.Reply{}
	default:
		return emulator.Reply{Hold: f.release} // the forwarder gets the answer unless it is killed before the release
	}
}

// receivedMessages returns the ids of all messages that were received in calls.
func (f *fleetCalls) receivedMessages() map[string]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := map[string]bool{}
	for id := range f.received {
		ids[id] = true
	}
	return ids
}

// allEnded reports whether each message was delivered or has a notice. A call of a surviving forwarder that was in
// progress at the kill is answered after the release, so its message needs neither.
func (f *fleetCalls) allEnded(ids []string, noticed map[string]int, inProgressAtKill map[string]bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if noticed[id]+f.delivered[id] == 0 && !(submittedToSurvivor(id) && inProgressAtKill[id]) {
			return false
		}
	}
	return true
}

// requireOneEnd requires that each message ended once and that no message of an at-most-once type ran twice.
func (f *fleetCalls) requireOneEnd(t *testing.T, ids []string, noticed map[string]int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		require.LessOrEqual(t, noticed[id]+f.delivered[id], 1,
			"%s: %d notices, %d deliveries after the kill", id, noticed[id], f.delivered[id])
		if strings.HasSuffix(id, "payment") {
			require.LessOrEqual(t, f.received[id], 1, "%s must not run twice", id)
		}
	}
}

// submittedToSurvivor reports whether a message was submitted to a forwarder that is not killed.
func submittedToSurvivor(id string) bool {
	for member := killedMembers; member < fleetSize; member++ {
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
			m.put(c, noKey, id, fmt.Sprintf("c=%s,d=15000,dest=7,k=m%d-%d", kind, i, j), "+OK")
			ids = append(ids, id)
		}
		_ = c.Close()
	}
	return ids
}

// Most forwarders of a fleet are killed at the same time, with calls in progress and messages queued, and started again
// with their folders. Each message ends once, by delivery or by a notice, and no message of an at-most-once type is
// sent twice.
func TestFleetAnswersEveryMessageOnceAfterSimultaneousKills(t *testing.T) {
	h := newHarness(t, "single")
	calls := newFleetCalls()
	h.endpoint.Do(calls.reply)
	fleet := h.startFleet(fleetSize)
	ids := submitToFleet(fleet)
	require.Eventually(t, func() bool { // each forwarder has calls in progress
		return len(calls.receivedMessages()) >= 2*len(fleet)
	}, 10*time.Second, 10*time.Millisecond)

	inProgressAtKill := calls.receivedMessages()
	killed := fleet[:killedMembers]
	killFleet(killed)
	close(calls.release)
	for _, m := range killed {
		m.forwarder = m.startWithAdmin(nil)
	}
	awaitFleetReady(killed)

	noticed := map[string]int{}
	require.Eventually(t, func() bool {
		for len(h.discovery.Notices) > 0 {
			notice := <-h.discovery.Notices
			noticed[notice.ID]++
		}
		return calls.allEnded(ids, noticed, inProgressAtKill)
	}, 20*time.Second, 20*time.Millisecond)
	calls.requireOneEnd(t, ids, noticed)
}
