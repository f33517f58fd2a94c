package receiver_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/lab/clock"
	"spanflow/lab/load"
	"spanflow/lab/receiver"
	"spanflow/transport"
)

// testRecorder is a record that sums up waits.
type testRecorder struct {
	executed    int
	totalWait   float64
	overloads   int
	informed    float64
	retryAfters []float64
	executions  []receiver.Execution
}

func (n *testRecorder) CallReceived(int, int, int, []receiver.Message) {}
func (n *testRecorder) MessageExecuted(r receiver.Execution) {
	n.executed++
	n.totalWait += r.StartedAt - r.ReceivedAt
	if len(n.executions) < 10_000 {
		n.executions = append(n.executions, r)
	}
}
func (n *testRecorder) EndpointOverloaded(_, _ int, informed float64) {
	n.overloads, n.informed = n.overloads+1, informed
}
func (n *testRecorder) RetryAfterSent(_, _, _ int, wait float64) {
	n.retryAfters = append(n.retryAfters, wait)
}
func (n *testRecorder) EndpointRecovered(int, int) {}

// simulateCalls sends calls by a rate and returns how each ended.
func simulateCalls(settings receiver.Behavior, rate float64, calls int, even bool) (*testRecorder, map[transport.ResultCode]int) {
	q, n, results := &clock.Queue{}, &testRecorder{}, map[transport.ResultCode]int{}
	random := rand.New(rand.NewPCG(1, 2))
	d := receiver.New(0, settings, 1, 1, q, random, n)
	arrivals := load.Poisson(load.Shape{{Rate: rate}}, math.Inf(1), rand.New(rand.NewPCG(3, 4)))
	if even {
		arrivals = load.Even(load.Shape{{Rate: rate}}, math.Inf(1))
	}
	left := calls
	var next func()
	next = func() {
		at, _ := arrivals.Next()
		q.At(at, func() {
			d.Endpoints[0].Accept(&receiver.Call{Messages: []receiver.Message{{ID: uint64(left)}}, Answer: func(a receiver.Answer) { results[a.Code]++ }})
			if left--; left > 0 {
				next()
			}
		})
	}
	next()
	for q.Step(math.Inf(1)) {
	}
	return n, results
}

// erlangB is the share of calls lost with c servers and an offered load of a.
func erlangB(c int, a float64) float64 {
	b := 1.0
	for i := 1; i <= c; i++ {
		b = a * b / (float64(i) + a*b)
	}
	return b
}

func TestWaitsAreThoseOfTheory(t *testing.T) {
	const mean, calls = 0.1, 1_000_000
	for _, c := range []struct {
		servers     int
		utilization float64
	}{{1, 0.7}, {4, 0.7}, {8, 0.8}} {
		a := c.utilization * float64(c.servers)
		b := erlangB(c.servers, a)
		erlangC := b / (1 - c.utilization*(1-b))
		want := erlangC * mean / (float64(c.servers) * (1 - c.utilization))
		n, _ := simulateCalls(receiver.Behavior{Service: receiver.Distribution{Form: "exponential", Mean: mean}, Concurrency: c.servers, Queue: 1 << 30}, a/mean, calls, false)
		require.InEpsilon(t, want, n.totalWait/float64(n.executed), 0.03, "M/M/%d", c.servers)
	}
	n, _ := simulateCalls(receiver.Behavior{Service: receiver.Distribution{Form: "fixed", Mean: mean}, Concurrency: 1, Queue: 1 << 30}, 0.7/mean, calls, false)
	require.InEpsilon(t, 0.7*mean/(2*(1-0.7)), n.totalWait/float64(n.executed), 0.03, "M/D/1")
}

func TestLossesAreThoseOfTheory(t *testing.T) {
	for _, c := range []struct {
		places int
		a      float64
	}{{1, 0.5}, {4, 3}, {10, 9}} {
		_, ends := simulateCalls(receiver.Behavior{Service: receiver.Distribution{Form: "exponential", Mean: 0.1}, Concurrency: c.places}, c.a/0.1, 400_000, false)
		require.InEpsilon(t, erlangB(c.places, c.a), float64(ends[transport.ResultOverloaded])/400_000, 0.03, "M/M/%d/%d", c.places, c.places)
	}
}

func TestALimitAdmitsExactlyItsRate(t *testing.T) {
	service := receiver.Distribution{Form: "fixed", Mean: 0.001}
	_, ends := simulateCalls(receiver.Behavior{Service: service, Concurrency: 100, Rate: 10, Burst: 5}, 100, 1000, true) // ten seconds
	require.InDelta(t, 5+10*10, ends[transport.ResultOK], 1, "what it saved up and ten a second")
	n, ends := simulateCalls(receiver.Behavior{Service: service, Concurrency: 100, WindowCalls: 7, Window: 2, ReportsRetryAfter: true}, 100, 1000, true)
	require.Equal(t, 7*5, ends[transport.ResultOK], "seven in any two seconds")
	require.Equal(t, 1000-35, ends[transport.ResultRetryAfter])
	for i := range n.executions[7:] {
		require.GreaterOrEqual(t, n.executions[i+7].ReceivedAt-n.executions[i].ReceivedAt, 2-1e-6)
	}
	require.InDelta(t, 2-0.07, n.retryAfters[0], 1e-6, "the wait ends when the first of the seven is two seconds old")
}

// slowStartBehavior is that of an endpoint that executes 40 calls a second, and a quarter of that right after an outage.
func slowStartBehavior() receiver.Behavior {
	return receiver.Behavior{
		Service:           receiver.Distribution{Form: "fixed", Mean: 0.1},
		Concurrency:       4,
		Queue:             1000,
		SlowStartFraction: 0.25,
		SlowStartDuration: 10,
		OverloadMultiple:  2,
		OverloadWindow:    1.5,
		OverloadDowntime:  5,
	}
}

// At full capacity it executes 40 a second; right after an outage its budget is twice a quarter of that, 20 a second,
// for any second and a half, and twice the root of the budget and two more calls are put down to chance.
func TestAnEndpointInSlowStartFailsWhenOverloadedAndNotBefore(t *testing.T) {
	settings := slowStartBehavior()
	for _, c := range []struct {
		rate       float64
		calls      int
		informed   float64 // share of the calls that comes from forwarders which met the outage
		overloaded bool
	}{{15, 60, 1, false}, {30, 60, 1, false}, {60, 60, 1, true}, {60, 60, 0.5, true}, {60, 30, 1, false}} {
		q, n := &clock.Queue{}, &testRecorder{}
		d := receiver.New(0, settings, 1, 1, q, rand.New(rand.NewPCG(1, 2)), n)
		endpoint := d.Endpoints[0]
		endpoint.ForwarderSawFailure(1) // before the outage: of no account
		endpoint.BeginOutage()
		q.At(0.5, func() { endpoint.ForwarderSawFailure(0) })
		q.After(1, endpoint.EndOutage)
		q.At(1.005, func() { endpoint.ForwarderSawFailure(1) }) // after it
		for i := range c.calls {
			q.At(1.01+float64(i)/c.rate, func() {
				from := 0
				if float64(i%2) >= 2*c.informed {
					from = 1
				}
				endpoint.Accept(&receiver.Call{Forwarder: from, Answer: func(receiver.Answer) {}})
			})
		}
		for q.Step(4) {
		}
		require.Equal(t, c.overloaded, n.overloads > 0, "%v calls at %v a second", c.calls, c.rate)
		if c.overloaded {
			require.InDelta(t, c.informed, n.informed, 0.02)
		}
	}
}

// Of calls that come at once as it recovers it bears 42, the whole part of 30 + 2 x root of 30 + 2, and not one more.
func TestOneCallBeyondWhatIsPutDownToChanceOverloads(t *testing.T) {
	settings := slowStartBehavior()
	for calls, want := range map[int]int{42: 0, 43: 1} {
		q, n := &clock.Queue{}, &testRecorder{}
		endpoint := receiver.New(0, settings, 1, 1, q, rand.New(rand.NewPCG(1, 2)), n).Endpoints[0]
		endpoint.BeginOutage()
		q.At(0.5, func() { endpoint.ForwarderSawFailure(0) })
		q.At(1, func() {
			endpoint.EndOutage()
			for range calls {
				endpoint.Accept(&receiver.Call{Answer: func(receiver.Answer) {}})
			}
		})
		for q.Step(2) {
		}
		require.Equal(t, want, n.overloads, "%d calls", calls)
	}
}

func TestAnIdempotencyKeyIsKnownForItsWindowAndTakesEffectOnce(t *testing.T) {
	q, n := &clock.Queue{}, &testRecorder{}
	d := receiver.New(0, receiver.Behavior{Service: receiver.Distribution{Form: "fixed", Mean: 0.01}, Concurrency: 4}, 2, 1, q, rand.New(rand.NewPCG(1, 2)), n)
	for i, at := range []float64{0, 1, 4.9, 5.5} {
		q.At(at, func() {
			d.Endpoints[i%2].Accept(&receiver.Call{Messages: []receiver.Message{{ID: uint64(i), IdempotencyKey: 9, DeduplicationWindow: 5}}, Answer: func(receiver.Answer) {}})
		})
	}
	for q.Step(100) {
	}
	require.Equal(t, []bool{true, false, false, true}, []bool{n.executions[0].Effect, n.executions[1].Effect, n.executions[2].Effect, n.executions[3].Effect})
}

func TestFaultsDoWhatTheySay(t *testing.T) {
	q, n := &clock.Queue{}, &testRecorder{}
	d := receiver.New(0, receiver.Behavior{Service: receiver.Distribution{Form: "fixed", Mean: 0.01}, Concurrency: 2, Queue: 10}, 1, 1, q, rand.New(rand.NewPCG(1, 2)), n)
	endpoint := d.Endpoints[0]
	var ends []transport.ResultCode
	call := func() *receiver.Call {
		c := &receiver.Call{Messages: []receiver.Message{{ID: 1}}, Answer: func(a receiver.Answer) { ends = append(ends, a.Code) }}
		endpoint.Accept(c)
		return c
	}
	run := func() []transport.ResultCode {
		ends = nil
		for q.Step(math.Inf(1)) {
		}
		return ends
	}
	endpoint.Fault.Hangs = 1
	call()
	call()
	queued := call()
	require.Empty(t, run())
	queued.Cancel() // waits in the queue: never runs
	endpoint.EndHang()
	require.Equal(t, []transport.ResultCode{transport.ResultOK, transport.ResultOK}, run())
	require.Equal(t, 2, n.executed)
	endpoint.Fault.Silences = 1
	call()
	require.Empty(t, run())
	endpoint.Fault = receiver.Fault{LostFraction: 1}
	call()
	require.Empty(t, run())
	require.Equal(t, 3, n.executed, "ran, though nobody heard")
	endpoint.Fault = receiver.Fault{ErrorFraction: 1, EveryNth: 2}
	call()
	call()
	require.ElementsMatch(t, []transport.ResultCode{transport.ResultOK, transport.ResultServerError}, run())
	endpoint.Fault, ends = receiver.Fault{Draining: true}, nil
	call()
	require.Equal(t, []transport.ResultCode{transport.ResultOverloaded}, ends)
	endpoint.Fault = receiver.Fault{}
	call()
	ends = nil
	endpoint.BeginOutage()
	require.Equal(t, []transport.ResultCode{transport.ResultClosed}, ends, "what it works on breaks")
	refused, _ := endpoint.Connectivity()
	require.True(t, refused)
}
