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

// standstill is how long the forwarder is held: longer than any of its calls may take, shorter than most messages live.
const standstill = 10 * time.Second

// records are what the endpoints and discovery have written down of each message, by its id.
type records struct {
	mu      sync.Mutex
	calls   map[string]int
	notices map[string][]string
}

func (r *records) called(call emulator.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[call.ID]++
}

func (r *records) noticed(n emulator.Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notices[n.ID] = append(r.notices[n.ID], n.State)
}

// ended tells that each message has been called or has a notice.
func (r *records) ended(ids []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if r.calls[id]+len(r.notices[id]) == 0 {
			return false
		}
	}
	return true
}

// stopped tells that the process is held by SIGSTOP.
func stopped(t *testing.T, pid int) bool {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	_, state, _ := strings.Cut(string(text), ") ")
	return strings.HasPrefix(state, "T")
}

// A forwarder with four slots stands still (SIGSTOP) for longer than its calls may take. All four are out and are answered
// meanwhile; of what waits some expires meanwhile, and a client hands in more. Once it goes on each message has exactly one
// final answer, the answers that lay there count, and all four slots are free again.
func TestAForwarderThatStoodStillAnswersEveryMessageOnce(t *testing.T) {
	t.Parallel()
	s := newStage(t, "single")
	s.moved = []string{`"CallsOut":8`, `"CallsOut":4`}
	destinations := []int{7, 10, 11, 12}
	for _, dest := range destinations[1:] {
		s.discovery.Set(emulator.Entry{UID: fmt.Sprint("s", dest), Endpoint: s.target.Addr, Zone: "a", Kind: "single", Destination: dest, State: "active"})
	}
	r := &records{calls: map[string]int{}, notices: map[string][]string{}}
	s.discovery.OnNotice = r.noticed
	hold := make(chan struct{})
	held := func(call emulator.Call) emulator.Reply {
		r.called(call)
		return emulator.Reply{Hold: hold}
	}
	s.target.Do(held)
	c := s.start()

	// All four slots; two of these expire while the forwarder stands still, after they were answered.
	out, outExpiring := []string{"out-ticket-7", "out-payment-10"}, []string{"out-status-11", "out-payment-12"}
	s.put(c, zero, out[0], "c=ticket,d=20000,dest=7,k=k7", "+OK")
	s.put(c, zero, out[1], "c=payment,d=20000,dest=10", "+OK")
	s.put(c, zero, outExpiring[0], "c=status,d=5000,dest=11", "+OK")
	s.put(c, zero, outExpiring[1], "c=payment,d=5000,dest=12", "+OK")
	for range destinations {
		s.call()
	}
	var waiting, expiring []string
	for _, dest := range destinations {
		for i, kind := range []string{"status", "payment", "ticket"} {
			id := fmt.Sprintf("waiting-%s-%d", kind, dest)
			s.put(c, zero, id, fmt.Sprintf("c=%s,d=20000,dest=%d,k=w%d-%d", kind, dest, dest, i), "+OK")
			waiting = append(waiting, id)
			id = fmt.Sprintf("expiring-%s-%d", kind, dest)
			s.put(c, zero, id, fmt.Sprintf("c=%s,d=5000,dest=%d,k=e%d-%d", kind, dest, dest, i), "+OK")
			expiring = append(expiring, id)
		}
	}
	require.Empty(t, s.target.Calls, "all four slots are taken")

	process := s.cmd.Process
	require.NoError(t, process.Signal(syscall.SIGSTOP))
	require.Eventually(t, func() bool { return stopped(t, process.Pid) }, 10*time.Second, time.Millisecond)
	s.target.Do(func(call emulator.Call) emulator.Reply {
		r.called(call)
		return emulator.Reply{}
	})
	close(hold) // the four are answered
	_, err := c.Write([]byte(emulator.Command("MSG.PUT", zero, "meanwhile", "c=status,d=20000,dest=7", "body")))
	require.NoError(t, err)
	time.Sleep(standstill)
	require.True(t, stopped(t, process.Pid))
	require.NoError(t, process.Signal(syscall.SIGCONT))

	answer, err := c.ReadReply()
	require.NoError(t, err)
	require.Equal(t, "+OK", answer)
	all := slices.Concat([]string{"meanwhile"}, out, outExpiring, waiting, expiring)
	require.Eventually(t, func() bool { return r.ended(all) }, 20*time.Second, 5*time.Millisecond)

	hold = make(chan struct{})
	s.target.Do(held)
	for len(s.target.Calls) > 0 {
		<-s.target.Calls
	}
	for _, dest := range destinations {
		s.put(c, zero, fmt.Sprint("fresh-", dest), fmt.Sprintf("c=status,d=20000,dest=%d", dest), "+OK")
	}
	var fresh []string
	for range destinations {
		fresh = append(fresh, s.call().ID)
	}
	require.ElementsMatch(t, []string{"fresh-7", "fresh-10", "fresh-11", "fresh-12"}, fresh, "all four slots carry calls again")
	close(hold)
	s.stop()

	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range out {
		require.Equal(t, 1, r.calls[id], "%s was answered while the forwarder stood still", id)
		require.Empty(t, r.notices[id], "%s was answered while the forwarder stood still", id)
	}
	for _, id := range outExpiring { // nobody can tell any more that the answer came in time: the notice is the final one
		require.Equal(t, 1, r.calls[id], id)
		require.Len(t, r.notices[id], 1, id)
	}
	require.Equal(t, []string{"failed"}, r.notices["out-payment-12"], "it may not be handed in again")
	for _, id := range slices.Concat([]string{"meanwhile"}, waiting, fresh) {
		require.Equal(t, 1, r.calls[id], id)
		require.Empty(t, r.notices[id], id)
	}
	for _, id := range expiring {
		require.Zero(t, r.calls[id], "%s was sent after its expiry", id)
		require.Equal(t, []string{"returned"}, r.notices[id], id)
	}
	require.True(t, s.log.Has(fmt.Sprintf(`"taken":%d,"recovered":0,"refused":0`, len(all)+len(fresh))), s.log.String())
	require.True(t, s.log.Has(`"owed":0`), s.log.String())
}
