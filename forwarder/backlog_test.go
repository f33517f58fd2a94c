package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/forwarder"
	"spanflow/internal/backlog"
	"spanflow/internal/emulator"
)

const backlogOrder = `{"name":"n1","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964","state":%q,
"limits":{"cores":4,"memory_mb":192,"sockets":1024,"disk_mb":64},"known":%s,
"settings":{"Azs":["a"],"Kinds":["k"],"Classes":[{"Name":"event","Idempotency":"retryable","Slo":3000,"HardLimit":%d,"Sequential":true}],
"Extra":{"CallsOut":64,"KindBatch":[1]},"Guarantees":{"Cold":100,"ColdFrom":1,"FallMultiple":10,"KeyRest":1},
"Limits":{"AttemptsCap":1000000,"MaxOpen":2000,"RetryAfter":true,"MaxRetryAfter":2000,"ConnIdle":10000,"ConnectTimeout":1500},
"Report":{"Fields":[]},"Discovery":"ask","WeightKind":"silent","NInstances":1,"Tenants":[]}}`

// backlogRig is a forwarder with a backlog store, two destinations with an endpoint each, and a client.
type backlogRig struct {
	t         *testing.T
	discovery *emulator.Discovery
	targets   [2]*emulator.Endpoint
	state     string
	store     string
	life      time.Duration
	change    func(*forwarder.Backlog)
	addr      string
	client    *emulator.Client
	end       func()

	mu    sync.Mutex
	calls map[string]int // by message id
	order []string       // ids, in the order of their first call that was answered
}

func newBacklogRig(t *testing.T) *backlogRig {
	r := &backlogRig{t: t, state: t.TempDir(), store: filepath.Join(t.TempDir(), "backlog"), life: 5 * time.Minute, calls: map[string]int{}}
	var list []emulator.Entry
	for i := range r.targets {
		target, err := emulator.NewEndpoint("", r.serve)
		require.NoError(t, err)
		go func() {
			for range target.Calls {
			}
		}()
		r.targets[i] = target
		list = append(list, emulator.Entry{UID: fmt.Sprint("t", i), Endpoint: target.Addr, Zone: "a", Kind: "k", Destination: i, State: "active"})
	}
	var err error
	r.discovery, err = emulator.NewDiscovery("", list...)
	require.NoError(t, err)
	t.Cleanup(func() { r.stop() })
	return r
}

// serve answers a call and counts it.
func (r *backlogRig) serve(c emulator.Call) emulator.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.calls[c.ID]++; r.calls[c.ID] == 1 {
		r.order = append(r.order, c.ID)
	}
	return emulator.Reply{}
}

func failing(emulator.Call) emulator.Reply { return emulator.Reply{Status: 500} }

func (r *backlogRig) delivered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.order)
}

func (r *backlogRig) start() {
	text := fmt.Appendf(nil, backlogOrder, r.discovery.Addr, r.state, r.discovery.Known(), r.life.Milliseconds())
	order, err := forwarder.ReadConfig(text, func(string) string { return "" })
	require.NoError(r.t, err)
	order.Backlog = &forwarder.Backlog{Folder: r.store, Bytes: 64 << 20, Window: 10, Behind: 20}
	if r.change != nil {
		r.change(order.Backlog)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() { ended <- forwarder.Run(ctx, order, nil, io.Discard, func(addr string) { ready <- addr }) }()
	select {
	case addr := <-ready:
		r.addr = addr
	case err := <-ended:
		require.NoError(r.t, err)
	}
	r.end = func() {
		r.disconnect()
		cancel()
		require.NoError(r.t, <-ended)
	}
}

func (r *backlogRig) disconnect() {
	if r.client != nil {
		r.client.Close()
		r.client = nil
	}
}

func (r *backlogRig) stop() {
	if r.end != nil {
		r.end()
		r.end = nil
	}
}

// put hands a message in and gives the answer. A connection that rested too long is opened anew.
func (r *backlogRig) put(destination, key, number int) string {
	for range 3 {
		if r.client == nil {
			var err error
			r.client, err = emulator.NewClient(r.addr)
			require.NoError(r.t, err)
		}
		answer, err := r.client.Put(fmt.Sprintf("%016x", key), messageID(number),
			fmt.Sprintf("c=event,d=%d,dest=%d", r.life.Milliseconds(), destination), "body")
		if err == nil {
			return answer
		}
		r.disconnect()
	}
	require.Fail(r.t, "no answer")
	return ""
}

func messageID(number int) string { return fmt.Sprintf("%016x", number) }

// fill hands in messages for a destination, of several keys.
func (r *backlogRig) fill(destination, from, to int) {
	for number := from; number < to; number++ {
		require.Equal(r.t, "+OK", r.put(destination, 1+100*destination+number%7, number))
	}
}

func (r *backlogRig) stored() *backlog.Stats {
	view, err := backlog.Inspect(backlog.OS{}, r.store)
	require.NoError(r.t, err)
	defer view.Close()
	stats, err := view.Stats()
	require.NoError(r.t, err)
	return stats
}

// requireAllInOrder checks that each message was delivered once and those of a key in the order of taking.
func (r *backlogRig) requireAllInOrder(count int) {
	require.Eventually(r.t, func() bool { return r.delivered() >= count }, time.Minute, 10*time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	last := map[int]int{}
	for _, id := range r.order {
		var number int
		fmt.Sscanf(id, "%x", &number)
		require.Less(r.t, last[number%7], number+1, "messages of a key keep their order")
		last[number%7] = number
		require.Equal(r.t, 1, r.calls[id])
	}
	require.Len(r.t, r.order, count)
}

func TestMessagesForADestinationThatIsOutWaitInTheStoreAndComeBackInOrder(t *testing.T) {
	const count = 600
	r := newBacklogRig(t)
	r.targets[0].Do(failing)
	r.start()
	r.fill(0, 0, count)
	require.Greater(t, r.stored().Messages, count-100, "all beyond the head window are on disk")
	require.Equal(t, "+OK", r.put(1, 101, count), "others are served meanwhile")
	require.Eventually(t, func() bool { return r.delivered() == 1 }, 5*time.Second, time.Millisecond)
	require.Equal(t, "-ERR", r.put(0, 1, 3)[:4], "an id that is stored is known")
	r.mu.Lock()
	r.order = nil
	r.mu.Unlock()
	r.targets[0].Do(r.serve)
	r.requireAllInOrder(count)
	require.Zero(t, r.stored().Messages)
}

func TestARestartInTheMiddleOfADrainLosesNothing(t *testing.T) {
	const count = 2000
	r := newBacklogRig(t)
	r.targets[0].Do(failing)
	r.start()
	r.fill(0, 0, count/2)
	r.stop()
	r.start()
	r.fill(0, count/2, count)
	r.targets[0].Do(r.serve)
	require.Eventually(t, func() bool { return r.delivered() > 100 }, time.Minute, time.Millisecond)
	r.stop()
	r.start()
	r.requireAllInOrder(count)
}

func TestABoundOfTheStoreTurnsAwayWithATimeToComeBack(t *testing.T) {
	r := newBacklogRig(t)
	r.change = func(b *forwarder.Backlog) { b.DestinationBytes = 20_000 }
	r.targets[0].Do(failing)
	r.targets[1].Do(failing)
	r.start()
	number := 0
	answer := "+OK"
	for ; answer == "+OK" && number < 1000; number++ {
		answer = r.put(0, 1+number%7, number)
	}
	require.Contains(t, answer, "-BUSY")
	require.Less(t, number, 500)
	taken := number - 1
	r.fill(1, 1000, 1050) // the other destination's part is free
	r.targets[0].Do(r.serve)
	require.Eventually(t, func() bool { return r.delivered() == taken }, time.Minute, 10*time.Millisecond)
	require.Equal(t, "+OK", r.put(0, 1, 2000), "there is room again")
}

func TestStoredMessagesAreAnsweredBeforeTheirTimeIsOver(t *testing.T) {
	const count = 400
	r := newBacklogRig(t)
	r.life = 12 * time.Second
	r.targets[0].Do(failing)
	r.start()
	begun := time.Now()
	r.fill(0, 0, count)
	require.Greater(t, r.stored().Messages, count-100)
	answered := map[string]bool{}
	for len(answered) < count {
		select {
		case n := <-r.discovery.Notices:
			require.False(t, answered[n.ID], "one final answer for each")
			answered[n.ID] = true
			require.Equal(t, "returned", n.State)
		case <-time.After(20 * time.Second):
			require.Fail(t, "missing answers", "%d of %d", len(answered), count)
		}
		if time.Since(begun) < r.life/2 {
			require.Equal(t, "+OK", r.put(1, 101, 10_000+len(answered)))
		}
	}
	require.Less(t, time.Since(begun), r.life+time.Second)
	require.Zero(t, r.stored().Messages)
}

// A start finds the windows of destinations that are out: they are no demand of its first seconds, by which these would
// be tried many times a second.
func TestWindowsThatAStartFindsAreNoReasonToTryOften(t *testing.T) {
	const count = 400
	r := newBacklogRig(t)
	r.change = func(b *forwarder.Backlog) { b.Window, b.Behind = 200, 200 }
	var tries atomic.Int64
	r.targets[0].Do(func(emulator.Call) emulator.Reply {
		tries.Add(1)
		return emulator.Reply{Status: 500}
	})
	r.start()
	r.fill(0, 0, count)
	r.stop()
	tries.Store(0)
	r.start()
	time.Sleep(4 * time.Second)
	require.Positive(t, tries.Load())
	require.Less(t, tries.Load(), int64(20), "about one a second")
}
