package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// suspension is how long the forwarder stands still: longer than any of its calls may take, shorter than most messages
// live.
const suspension = 10 * time.Second

// messageRecords are what the endpoint and discovery have seen of each message, by its id.
type messageRecords struct {
	mu      sync.Mutex
	calls   map[string]int
	notices map[string][]string // states
}

func newMessageRecords() *messageRecords {
	return &messageRecords{calls: map[string]int{}, notices: map[string][]string{}}
}

func (r *messageRecords) addCall(call emulator.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[call.ID]++
}

func (r *messageRecords) addNotice(n emulator.Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notices[n.ID] = append(r.notices[n.ID], n.State)
}

// noticesOf returns the states of a message's notices.
func (r *messageRecords) noticesOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notices[id]
}

// answer records a call and answers 200.
func (r *messageRecords) answer(call emulator.Call) emulator.Reply {
	r.addCall(call)
	return emulator.Reply{}
}

// answerAfter records calls and answers 200 once release is closed.
func (r *messageRecords) answerAfter(release chan struct{}) func(emulator.Call) emulator.Reply {
	return func(call emulator.Call) emulator.Reply {
		r.addCall(call)
		return emulator.Reply{Hold: release}
	}
}

// allEnded reports whether each message has been called or has a notice.
func (r *messageRecords) allEnded(ids []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if r.calls[id]+len(r.notices[id]) == 0 {
			return false
		}
	}
	return true
}

// requireDelivered requires one call and no notice of each message.
func (r *messageRecords) requireDelivered(t *testing.T, ids []string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		require.Equal(t, 1, r.calls[id], id)
		require.Empty(t, r.notices[id], id)
	}
}

// requireExpiredWhileOut requires one call and one notice of each message: nobody can tell any more that the answer
// came in time, so the notice is the final answer.
func (r *messageRecords) requireExpiredWhileOut(t *testing.T, ids []string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		require.Equal(t, 1, r.calls[id], id)
		require.Len(t, r.notices[id], 1, id)
	}
}

// requireReturned requires a notice and no call of each message.
func (r *messageRecords) requireReturned(t *testing.T, ids []string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		require.Zero(t, r.calls[id], "%s was sent after its expiry", id)
		require.Equal(t, []string{"returned"}, r.notices[id], id)
	}
}

// isStopped reports whether a process is held by SIGSTOP.
func isStopped(t *testing.T, pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	_, state, _ := strings.Cut(string(text), ") ")
	return strings.HasPrefix(state, "T")
}

// suspensionTest is a forwarder with four slots and as many destinations, all with the same endpoint.
type suspensionTest struct {
	*harness
	client       *emulator.Client
	records      *messageRecords
	destinations []int
}

func newSuspensionTest(t *testing.T) *suspensionTest {
	s := &suspensionTest{harness: newHarness(t, "single"), records: newMessageRecords()}
	s.destinations = []int{7, 10, 11, 12}
	s.replacements = []string{`"CallsOut":8`, `"CallsOut":4`}
	for _, destination := range s.destinations[1:] {
		s.discovery.Set(emulator.Entry{UID: fmt.Sprint("s", destination), Endpoint: s.endpoint.Addr, Zone: "a",
			Kind: "single", Destination: destination, State: "active"})
	}
	s.discovery.OnNotice = s.records.addNotice
	return s
}

// putOut submits a message for each slot and waits for the calls; those of expiring expire during the suspension.
func (s *suspensionTest) putOut() (lasting, expiring []string) {
	lasting, expiring = []string{"out-ticket-7", "out-payment-10"}, []string{"out-status-11", "out-payment-12"}
	s.put(s.client, zero, lasting[0], "c=ticket,d=20000,dest=7,k=k7", "+OK")
	s.put(s.client, zero, lasting[1], "c=payment,d=20000,dest=10", "+OK")
	s.put(s.client, zero, expiring[0], "c=status,d=5000,dest=11", "+OK")
	s.put(s.client, zero, expiring[1], "c=payment,d=5000,dest=12", "+OK")
	for range s.destinations {
		s.nextCall()
	}
	return lasting, expiring
}

// putWaiting submits messages of all types that wait for a slot; those of expiring expire during the suspension.
func (s *suspensionTest) putWaiting() (lasting, expiring []string) {
	for _, destination := range s.destinations {
		for i, kind := range []string{"status", "payment", "ticket"} {
			id := fmt.Sprintf("waiting-%s-%d", kind, destination)
			s.put(s.client, zero, id, fmt.Sprintf("c=%s,d=20000,dest=%d,k=w%d-%d", kind, destination, destination, i), "+OK")
			lasting = append(lasting, id)
			id = fmt.Sprintf("expiring-%s-%d", kind, destination)
			s.put(s.client, zero, id, fmt.Sprintf("c=%s,d=5000,dest=%d,k=e%d-%d", kind, destination, destination, i), "+OK")
			expiring = append(expiring, id)
		}
	}
	return lasting, expiring
}

// suspend holds the forwarder by SIGSTOP for a time, and calls meanwhile at its beginning.
func (s *suspensionTest) suspend(meanwhile func()) {
	s.t.Helper()
	require.NoError(s.t, s.process.Signal(syscall.SIGSTOP))
	require.Eventually(s.t, func() bool { return isStopped(s.t, s.process.Pid()) }, 10*time.Second, time.Millisecond)
	meanwhile()
	time.Sleep(suspension)
	require.True(s.t, isStopped(s.t, s.process.Pid()))
	require.NoError(s.t, s.process.Signal(syscall.SIGCONT))
}

// requireFreeSlots requires that calls for all destinations can be out together, and returns their messages.
func (s *suspensionTest) requireFreeSlots() []string {
	s.t.Helper()
	release := make(chan struct{})
	s.endpoint.Do(s.records.answerAfter(release))
	for len(s.endpoint.Calls) > 0 {
		<-s.endpoint.Calls
	}
	var submitted, called []string
	for _, destination := range s.destinations {
		id := fmt.Sprint("fresh-", destination)
		s.put(s.client, zero, id, fmt.Sprintf("c=status,d=20000,dest=%d", destination), "+OK")
		submitted = append(submitted, id)
	}
	for range s.destinations {
		called = append(called, s.nextCall().ID)
	}
	require.ElementsMatch(s.t, submitted, called, "all four slots carry calls again")
	close(release)
	return submitted
}

// A forwarder with four slots is suspended for longer than its calls may take. All four are out and are answered
// meanwhile; of what waits some expires meanwhile, and a client submits more. Once it goes on each message has exactly
// one final answer, the answers that wait in its sockets count, and all four slots are free again.
func TestSuspendedForwarderAnswersEveryMessageOnce(t *testing.T) {
	t.Parallel()
	s := newSuspensionTest(t)
	release := make(chan struct{})
	s.endpoint.Do(s.records.answerAfter(release))
	s.client = s.start()
	out, outExpiring := s.putOut()
	waiting, expiring := s.putWaiting()
	require.Empty(t, s.endpoint.Calls, "all four slots are taken")

	s.suspend(func() {
		s.endpoint.Do(s.records.answer)
		close(release) // the four are answered
		raw := emulator.Command("MSG.PUT", zero, "meanwhile", "c=status,d=20000,dest=7", "body")
		_, err := s.client.Write([]byte(raw))
		require.NoError(t, err)
	})
	answer, err := s.client.ReadReply()
	require.NoError(t, err)
	require.Equal(t, "+OK", answer)
	all := slices.Concat([]string{"meanwhile"}, out, outExpiring, waiting, expiring)
	require.Eventually(t, func() bool { return s.records.allEnded(all) }, 20*time.Second, 5*time.Millisecond)
	fresh := s.requireFreeSlots()
	s.stop()

	s.records.requireDelivered(t, slices.Concat([]string{"meanwhile"}, out, waiting, fresh))
	s.records.requireExpiredWhileOut(t, outExpiring)
	require.Equal(t, []string{"failed"}, s.records.noticesOf("out-payment-12"), "it may not be submitted again")
	s.records.requireReturned(t, expiring)
	log := s.process.Log
	require.True(t, log.Has(fmt.Sprintf(`"taken":%d,"recovered":0,"refused":0`, len(all)+len(fresh))), log.String())
	require.True(t, log.Has(`"owed":0`), log.String())
}
