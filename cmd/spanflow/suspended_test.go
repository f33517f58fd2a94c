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

// suspensionTime is how long the forwarder is suspended. It is longer than a call may take and shorter than the time to
// live of most messages.
const suspensionTime = 10 * time.Second

// messageRecords holds the calls and notices that the endpoint and discovery have received, by message id.
type messageRecords struct {
	mu      sync.Mutex
	calls   map[string]int
	notices map[string][]string // states, in order of arrival
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

// noticesOf returns the states of the notices of a message.
func (r *messageRecords) noticesOf(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notices[id]
}

// answer records a call and answers it with 200.
func (r *messageRecords) answer(call emulator.Call) emulator.Reply {
	r.addCall(call)
	return emulator.Reply{}
}

// answerAfter returns a reply function that records each call and answers it with 200 once release is closed.
func (r *messageRecords) answerAfter(release chan struct{}) func(emulator.Call) emulator.Reply {
	return func(call emulator.Call) emulator.Reply {
		r.addCall(call)
		return emulator.Reply{Hold: release}
	}
}

// allEnded reports whether each message has been sent in a call or has a notice.
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

// requireDelivered requires one call and no notice for each message.
func (r *messageRecords) requireDelivered(t *testing.T, ids []string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		require.Equal(t, 1, r.calls[id], id)
		require.Empty(t, r.notices[id], id)
	}
}

// requireExpiredInProgress requires one call and one notice for each message. After the suspension the forwarder cannot
// know whether the answer arrived in time, so the notice is the final answer.
func (r *messageRecords) requireExpiredInProgress(t *testing.T, ids []string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		require.Equal(t, 1, r.calls[id], id)
		require.Len(t, r.notices[id], 1, id)
	}
}

// requireReturned requires a notice with state "returned" and no call for each message.
func (r *messageRecords) requireReturned(t *testing.T, ids []string) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		require.Zero(t, r.calls[id], "%s was sent after its expiry", id)
		require.Equal(t, []string{"returned"}, r.notices[id], id)
	}
}

// isStopped reports whether a process is suspended by SIGSTOP.
func isStopped(t *testing.T, pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	_, state, _ := strings.Cut(string(text), ") ")
	return strings.HasPrefix(state, "T")
}

// suspensionTest is a forwarder with four slots and four destinations, which all have the same endpoint.
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

// submitInProgress submits a message for each slot and waits for the calls. The messages in expiring expire during the
// suspension.
func (s *suspensionTest) submitInProgress() (lasting, expiring []string) {
	lasting, expiring = []string{"out-ticket-7", "out-payment-10"}, []string{"out-status-11", "out-payment-12"}
	s.put(s.client, noKey, lasting[0], "c=ticket,d=20000,dest=7,k=k7", "+OK")
	s.put(s.client, noKey, lasting[1], "c=payment,d=20000,dest=10", "+OK")
	s.put(s.client, noKey, expiring[0], "c=status,d=5000,dest=11", "+OK")
	s.put(s.client, noKey, expiring[1], "c=payment,d=5000,dest=12", "+OK")
	for range s.destinations {
		s.nextCall()
	}
	return lasting, expiring
}

// submitQueued submits messages of all types, which are queued as all slots are in use. The messages in expiring expire
// during the suspension.
func (s *suspensionTest) submitQueued() (lasting, expiring []string) {
	for _, destination := range s.destinations {
		for i, kind := range []string{"status", "payment", "ticket"} {
			id := fmt.Sprintf("waiting-%s-%d", kind, destination)
			s.put(s.client, noKey, id, fmt.Sprintf("c=%s,d=20000,dest=%d,k=w%d-%d", kind, destination, destination, i), "+OK")
			lasting = append(lasting, id)
			id = fmt.Sprintf("expiring-%s-%d", kind, destination)
			s.put(s.client, noKey, id, fmt.Sprintf("c=%s,d=5000,dest=%d,k=e%d-%d", kind, destination, destination, i), "+OK")
			expiring = append(expiring, id)
		}
	}
	return lasting, expiring
}

// suspend stops the forwarder by SIGSTOP, calls meanwhile, and resumes the forwarder after suspensionTime.
func (s *suspensionTest) suspend(meanwhile func()) {
	s.t.Helper()
	require.NoError(s.t, s.process.Signal(syscall.SIGSTOP))
	require.Eventually(s.t, func() bool { return isStopped(s.t, s.process.Pid()) }, 10*time.Second, time.Millisecond)
	meanwhile()
	time.Sleep(suspensionTime)
	require.True(s.t, isStopped(s.t, s.process.Pid()))
	require.NoError(s.t, s.process.Signal(syscall.SIGCONT))
}

// requireFreeSlots submits a message for each destination, requires that their calls are in progress at the same time,
// and returns the ids.
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
		s.put(s.client, noKey, id, fmt.Sprintf("c=status,d=20000,dest=%d", destination), "+OK")
		submitted = append(submitted, id)
	}
	for range s.destinations {
		called = append(called, s.nextCall().ID)
	}
	require.ElementsMatch(s.t, submitted, called, "all four slots must be free again")
	close(release)
	return submitted
}

// A forwarder with four calls in progress, one for each slot, is suspended for longer than a call may take. During the
// suspension the calls are answered, some queued messages expire, and a client submits another message. After the
// forwarder is resumed, each message has exactly one final answer, the answers that arrived during the suspension
// count, and all four slots are free again.
func TestSuspendedForwarderAnswersEveryMessageOnce(t *testing.T) {
	t.Parallel()
	s := newSuspensionTest(t)
	release := make(chan struct{})
	s.endpoint.Do(s.records.answerAfter(release))
	s.client = s.start()
	inProgress, inProgressExpiring := s.submitInProgress()
	queued, expiring := s.submitQueued()
	require.Empty(t, s.endpoint.Calls, "all four slots are in use")

	s.suspend(func() {
		s.endpoint.Do(s.records.answer)
		close(release) // answers the four calls
		raw := emulator.Command("MSG.PUT", noKey, "meanwhile", "c=status,d=20000,dest=7", "body")
		_, err := s.client.Write([]byte(raw))
		require.NoError(t, err)
	})
	answer, err := s.client.ReadReply()
	require.NoError(t, err)
	require.Equal(t, "+OK", answer)
	all := slices.Concat([]string{"meanwhile"}, inProgress, inProgressExpiring, queued, expiring)
	require.Eventually(t, func() bool { return s.records.allEnded(all) }, 20*time.Second, 5*time.Millisecond)
	fresh := s.requireFreeSlots()
	s.stop()

	s.records.requireDelivered(t, slices.Concat([]string{"meanwhile"}, inProgress, queued, fresh))
	s.records.requireExpiredInProgress(t, inProgressExpiring)
	require.Equal(t, []string{"failed"}, s.records.noticesOf("out-payment-12"), "it may not be submitted again")
	s.records.requireReturned(t, expiring)
	log := s.process.Log
	require.True(t, log.Has(fmt.Sprintf(`"taken":%d,"recovered":0,"refused":0`, len(all)+len(fresh))), log.String())
	require.True(t, log.Has(`"owed":0`), log.String())
}
