package forwarder_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/forwarder"
	"spanflow/internal/dial"
	"spanflow/internal/emulator"
	"spanflow/internal/settings"
	"spanflow/internal/wal"
	"spanflow/scheduler"
	"spanflow/transport"
)

// A frontend and an upstream of the tests' own stand beside those of the program: nothing but a name in the order wires
// them.

// memory is a frontend without sockets.
type memory struct {
	desk transport.Submitter
	name string
}

func (m *memory) Addr() string                     { return "memory" }
func (m *memory) Stats() transport.ConnectionStats { return transport.ConnectionStats{} }
func (m *memory) Clients() int                     { return 0 }
func (m *memory) Drain()                           {}
func (m *memory) Undrain()                         {}
func (m *memory) StopAccepting()                   {}
func (m *memory) StopReading()                     {}
func (m *memory) Stop()                            {}

// caller waits for its final answer.
type caller struct {
	door  chan transport.Reply
	final chan transport.FinalAnswer
	gone  atomic.Bool
}

func (c *caller) Disconnected() bool               { return c.gone.Load() }
func (c *caller) Answer(r transport.Reply) bool    { c.door <- r; return true }
func (c *caller) Complete(f transport.FinalAnswer) { c.final <- f }

func (m *memory) hand(h transport.Submission) *caller {
	c := &caller{door: make(chan transport.Reply, 1), final: make(chan transport.FinalAnswer, 1)}
	h.ReceivedAt, h.SecondsLeft = time.Now(), 10
	m.desk.Submit(transport.Request{From: c, Submission: &h})
	return c
}

// hands is an upstream whose calls a test carries out.
type hands struct {
	counter transport.ResultListener
	calls   chan *transport.Call
}

func (h *hands) Send(c *transport.Call) { h.calls <- c }
func (h *hands) CancelUnsent(uint64)    {}
func (h *hands) CloseIdle(uint64)       {}
func (h *hands) IdleConnections() int   { return 0 }

func (h *hands) end(c *transport.Call, end transport.ResultCode) {
	ends := make([]transport.ResultCode, len(c.Messages))
	for i := range ends {
		ends[i] = end
	}
	h.counter.CallEnded(transport.CallResult{Call: c, Codes: ends, Latency: time.Millisecond})
}

// house is a forwarder in this process with such a frontend and upstream, and one of the program's own beside them.
type house struct {
	t      *testing.T
	order  *forwarder.Config
	fronts map[string]*memory
	hands  *hands
	again  chan os.Signal
	log    *emulator.Log
	addr   string
	stop   func()
}

func newHouse(t *testing.T, fronts ...forwarder.Frontend) *house {
	h := &house{t: t, fronts: map[string]*memory{}, hands: &hands{calls: make(chan *transport.Call, 100)}, again: make(chan os.Signal, 1)}
	h.order = &forwarder.Config{Name: "n1", Folder: t.TempDir(), MemoryMB: 64, Sockets: 256, DiskMB: 3, Cores: 1, Seed: 7, DiscoveryMovable: true,
		Frontends:       append([]forwarder.Frontend{{Name: "resp", Protocol: "resp", Listen: "127.0.0.1:0"}, {Name: "inner", Protocol: "memory"}}, fronts...),
		StaticEndpoints: &transport.EndpointList{Complete: true, Endpoints: []transport.Endpoint{{UID: "t1", Address: "127.0.0.1:9", Kind: "k", Destination: 7, State: "active"}}},
		Scheduler: scheduler.Settings{Types: []scheduler.MessageType{{Idempotency: scheduler.Idempotent, LatencyObjective: 3, TimeToLive: 20}, {Idempotency: scheduler.AtMostOnce, InOrder: true, LatencyObjective: 3, TimeToLive: 20}},
			KindBatchSize: []int{1}, Forwarders: 1, ConcurrencyLimit: 8, QueueCapacity: 100, MaxAttempts: 6, KeyCooldown: 0.05, SlowStartShare: 0.2, SlowStartDuration: 10, IdleTimeout: 10, OverloadMultiple: 2, MaxRetryAfter: 2},
		Names:        settings.Names{Types: []string{"status", "payment"}, Kinds: []string{"k"}, Zones: []string{""}, Connect: 1},
		Upstreams:    []forwarder.Upstream{{Name: "by-hand", Protocol: "hands"}},
		KindUpstream: map[string]string{"k": "by-hand"},
		FrontendProtocols: map[string]forwarder.FrontendProtocol{"memory": func(f forwarder.Frontend, _ int, desk transport.Submitter) (transport.Frontend, error) {
			h.fronts[f.Name] = &memory{desk, f.Name}
			return h.fronts[f.Name], nil
		}},
		UpstreamProtocols: map[string]forwarder.UpstreamProtocol{"hands": func(_ *dial.Dialer, _ forwarder.UpstreamSettings, counter transport.ResultListener) transport.Upstream {
			h.hands.counter = counter
			return h.hands
		}}}
	return h
}

func (h *house) start() *house {
	h.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	h.log = emulator.NewLog()
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() {
		ended <- forwarder.Run(ctx, h.order, h.again, h.log, func(addr string) { ready <- addr })
	}()
	select {
	case h.addr = <-ready:
	case err := <-ended:
		h.t.Fatal(err)
	}
	h.stop = sync.OnceFunc(func() {
		cancel()
		require.NoError(h.t, <-ended)
	})
	h.t.Cleanup(h.stop)
	return h
}

func (h *house) client() *emulator.Client {
	c, err := emulator.NewClient(h.addr)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { c.Close() })
	return c
}

func TestACallerThatWaitsIsToldTheFinalAnswerOnce(t *testing.T) {
	h := newHouse(t).start()
	c := h.fronts["inner"].hand(transport.Submission{ID: "a", Type: "status", Destination: 7, Body: []byte("b")})
	require.Equal(t, transport.Reply{Status: transport.StatusAccepted}, <-c.door)
	h.hands.end(<-h.hands.calls, transport.ResultOK)
	f := <-c.final
	require.Equal(t, []any{"a", transport.Delivered}, []any{f.ID, f.Outcome})
	c = h.fronts["inner"].hand(transport.Submission{ID: "b", Type: "payment", Key: 5, Destination: 7})
	<-c.door
	h.hands.end(<-h.hands.calls, transport.ResultClosed) // may have run, and must not run twice
	require.Equal(t, transport.Failed, (<-c.final).Outcome)
	c = h.fronts["inner"].hand(transport.Submission{ID: "b", Type: "payment", Destination: 7})
	require.Equal(t, transport.StatusInvalid, (<-c.door).Status, "an id that was taken on")
	h.stop()
	v, err := wal.Inspect(h.order.Folder)
	require.NoError(t, err)
	require.Empty(t, v.Pending)
}

func TestWhatAnAbandonedCallHandedInIsNotSent(t *testing.T) {
	h := newHouse(t).start()
	in := h.fronts["inner"]
	first := in.hand(transport.Submission{ID: "a", Type: "payment", Key: 5, Destination: 7})
	second := in.hand(transport.Submission{ID: "b", Type: "payment", Key: 5, Destination: 7}) // waits for the first
	third := in.hand(transport.Submission{ID: "c", Type: "payment", Key: 5, Destination: 7})
	<-first.door
	<-second.door
	<-third.door
	out := <-h.hands.calls
	for id, c := range map[string]*caller{"a": first, "b": second} {
		c.gone.Store(true)
		in.desk.Withdraw(id)
	}
	in.desk.Withdraw("nobody")
	h.hands.end(out, transport.ResultOverloaded) // not sent again: its caller has gone
	require.Equal(t, "c", (<-h.hands.calls).Messages[0].ID)
	h.log.Await(t, "ready")
	v, err := wal.Inspect(h.order.Folder)
	require.NoError(t, err)
	require.Len(t, v.Pending, 1)
}

// The old process's callers are gone with it: what they waited for is withdrawn, and a key rests where it may still
// run.
func TestWhatCallersOfAnEarlierProcessWaitedForIsWithdrawn(t *testing.T) {
	h := newHouse(t)
	l, err := wal.Open(h.order.Folder, 3_000_000)
	require.NoError(t, err)
	at := time.Now().Add(10 * time.Second).UnixMicro()
	for _, e := range []*wal.Entry{{ID: "ran", Key: 5, Destination: 7, Type: "payment", Expiry: at, Frontend: "inner", CallerWaits: true},
		{ID: "not sent", Destination: 7, Type: "status", Expiry: at, Frontend: "gone from the order", CallerWaits: true},
		{ID: "owed", Key: 5, Destination: 7, Type: "payment", Expiry: at, Frontend: "inner"}} {
		require.NoError(t, l.Append(e))
	}
	require.NoError(t, l.RecordAttempt(1, time.Now().UnixMicro(), 0))
	l.Close()
	began := time.Now()
	h.start()
	call := <-h.hands.calls
	require.Equal(t, "owed", call.Messages[0].ID)
	require.GreaterOrEqual(t, time.Since(began), 50*time.Millisecond, "the rest of its key")
	h.hands.end(call, transport.ResultOK)
	h.stop()
	require.Contains(t, h.log.String(), `"withdrawn":2`)
	v, err := wal.Inspect(h.order.Folder)
	require.NoError(t, err)
	require.Empty(t, v.Pending)
}

// One frontend's callers flood without reading their answers; another's and the platform's go on being served.
func TestAFrontendThatFloodsStarvesNoOther(t *testing.T) {
	h := newHouse(t, forwarder.Frontend{Name: "flood", Protocol: "memory", Waiting: 1000}).start()
	end, flooded := make(chan struct{}), make(chan struct{})
	var asked atomic.Int64
	go func() {
		defer close(flooded)
		c := &deaf{}
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			default:
				h.fronts["flood"].desk.Submit(transport.Request{From: c, Submission: &transport.Submission{ID: fmt.Sprint("f", i), Type: "none", Destination: 7}})
				asked.Add(1)
			}
		}
	}()
	mute := h.client() // sends and never reads
	go func() {
		ping := []byte(strings.Repeat(emulator.Command("PING"), 1000))
		for {
			if _, err := mute.Write(ping); err != nil {
				return
			}
		}
	}()
	c := h.client()
	for i := range 200 {
		answer, err := c.Send(emulator.Command("PING"))
		require.NoError(t, err)
		require.Equal(t, "+PONG", answer)
		in := h.fronts["inner"].hand(transport.Submission{ID: fmt.Sprint(i), Type: "status", Destination: 7})
		require.Equal(t, transport.StatusAccepted, (<-in.door).Status)
		h.hands.end(<-h.hands.calls, transport.ResultOK)
		<-in.final
	}
	close(end)
	<-flooded
	require.Greater(t, asked.Load(), int64(1000))
}

// deaf hears no answer.
type deaf struct{}

func (*deaf) Disconnected() bool          { return false }
func (*deaf) Answer(transport.Reply) bool { return true }

func free(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func TestAFrontendMovesToAnotherAddressWhileCallsAreOut(t *testing.T) {
	h := newHouse(t)
	next := *h.order
	var fail error
	h.order.Reload = func() (*forwarder.Config, error) { o := next; return &o, fail }
	h.start()
	c := h.client()
	for _, id := range []string{"1", "2"} {
		answer, err := c.Put("0000000000000000", id, "c=status,d=10000,dest=7", "x")
		require.NoError(t, err)
		require.Equal(t, "+OK", answer)
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	reload := func(listen, says string) {
		next.Frontends = append([]forwarder.Frontend{{Name: "resp", Protocol: "resp", Listen: listen}}, h.order.Frontends[1:]...)
		h.again <- os.Interrupt
		h.log.Await(t, says)
	}
	reload(taken.Addr().String(), "configuration not reloaded") // an address that cannot be had changes nothing
	answer, err := c.Send(emulator.Command("PING"))
	require.True(t, err == nil && answer == "+PONG", answer)
	addr := free(t)
	reload(addr, "configuration reloaded")
	require.Contains(t, h.log.String(), addr)
	_, err = emulator.NewClient(h.addr)
	require.Error(t, err, "nobody listens at the old address")
	old := h.addr
	h.addr = addr
	answer, err = h.client().Send(emulator.Command("PING"))
	require.True(t, err == nil && answer == "+PONG", answer)
	_, err = c.ReadReply()
	require.Error(t, err, "a caller of the old address goes elsewhere once it is answered")
	h.hands.end(<-h.hands.calls, transport.ResultOK)
	h.hands.end(<-h.hands.calls, transport.ResultOK)
	fail = fmt.Errorf("limits.memory: c.toml:5: wrong")
	h.again <- os.Interrupt
	h.log.Await(t, "c.toml:5")
	require.NotEqual(t, old, addr)
}

func TestEndpointsOfAnOrdersOwnListComeAndGoAtAReload(t *testing.T) {
	h := newHouse(t)
	next := *h.order
	h.order.Reload = func() (*forwarder.Config, error) { o := next; return &o, nil }
	h.start()
	unknown := h.fronts["inner"].hand(transport.Submission{ID: "a", Type: "status", Destination: 8})
	require.Equal(t, transport.StatusInvalid, (<-unknown.door).Status)
	next.StaticEndpoints = &transport.EndpointList{Complete: true, Endpoints: []transport.Endpoint{{UID: "t2", Address: "127.0.0.1:8", Kind: "k", Destination: 8, State: "active"}}}
	next.MemoryMB = 128
	h.again <- os.Interrupt
	text := h.log.Await(t, "configuration reloaded")
	require.Contains(t, text, `"at_next_start":["limits"]`)
	c := h.fronts["inner"].hand(transport.Submission{ID: "b", Type: "status", Destination: 8})
	require.Equal(t, transport.StatusAccepted, (<-c.door).Status)
	call := <-h.hands.calls
	require.Equal(t, "127.0.0.1:8", call.Address)
	h.hands.end(call, transport.ResultOK)
}

func TestTheCourseOfPickedMessagesIsLogged(t *testing.T) {
	h := newHouse(t)
	h.order.Log.Keys = []uint64{5}
	h.start()
	for i, key := range []uint64{5, 6} {
		c := h.fronts["inner"].hand(transport.Submission{ID: fmt.Sprint("doc", i), Key: key, Type: "payment", Destination: 7})
		<-c.door
		h.hands.end(<-h.hands.calls, transport.ResultOK)
		<-c.final
	}
	h.stop()
	seen := map[string]int{}
	for line := range strings.Lines(h.log.String()) {
		var l struct{ Message, ID string }
		require.NoError(t, json.Unmarshal([]byte(line), &l))
		if strings.HasPrefix(l.Message, "trace: ") {
			seen[l.ID]++
		}
	}
	require.Equal(t, map[string]int{"doc0": 3}, seen)
}

// finals is a meter that keeps the final answers it is told.
type finals struct {
	mu   sync.Mutex
	seen []transport.Outcome
}

func (f *finals) SubmissionAnswered(string, transport.Status)      {}
func (f *finals) AttemptEnded(transport.ResultCode, time.Duration) {}
func (f *finals) FinalAnswered(o transport.Outcome, _ time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = append(f.seen, o)
}
func (f *finals) LoopTurn(int, time.Duration) {}
func (f *finals) Addr() string                { return "" }
func (f *finals) Stop()                       {}

// A message that an endpoint says is gone is failed: the metrics count it as the operators' figures do.
func TestTheMetricsCountEveryFinalAnswerOnce(t *testing.T) {
	h := newHouse(t)
	m := &finals{}
	h.order.Metrics = "in the test"
	h.order.Recorder = func(string, string, []string, []transport.Gauge) (transport.Recorder, error) { return m, nil }
	h.start()
	for _, end := range []transport.ResultCode{transport.ResultOK, transport.ResultGone} {
		c := h.fronts["inner"].hand(transport.Submission{ID: end.String(), Type: "status", Destination: 7})
		require.Equal(t, transport.StatusAccepted, (<-c.door).Status)
		h.hands.end(<-h.hands.calls, end)
		<-c.final
	}
	h.stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	require.Equal(t, []transport.Outcome{transport.Delivered, transport.Failed}, m.seen)
}
