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

// testRecorder sums up the queueing delays and keeps the first 10,000 executions.
type testRecorder struct {
	executed    int
	totalWait   float64
	overloads   int
	informed    float64
	retryAfters []float64
	executions  []receiver.Execution
}

func (recorder *testRecorder) CallReceived(int, int, int, []receiver.Message) {}
func (recorder *testRecorder) MessageExecuted(r receiver.Execution) {
	recorder.executed++
	recorder.totalWait += r.StartedAt - r.ReceivedAt
	if len(recorder.executions) < 10_000 {
		recorder.executions = append(recorder.executions, r)
	}
}
func (recorder *testRecorder) EndpointOverloaded(_, _ int, informed float64) {
	recorder.overloads, recorder.informed = recorder.overloads+1, informed
}
func (recorder *testRecorder) RetryAfterSent(_, _, _ int, wait float64) {
	recorder.retryAfters = append(recorder.retryAfters, wait)
}
func (recorder *testRecorder) EndpointRecovered(int, int) {}

// simulateCalls sends calls to an endpoint at a rate, as a Poisson process or evenly, and counts them by result code.
func simulateCalls(settings receiver.Behavior, rate float64, calls int, even bool) (*testRecorder, map[transport.ResultCode]int) {
	simClock, recorder, results := &clock.Queue{}, &testRecorder{}, map[transport.ResultCode]int{}
	random := rand.New(rand.NewPCG(1, 2))
	d := receiver.New(0, settings, 1, 1, simClock, random, recorder)
	arrivals := load.Poisson(load.Shape{{Rate: rate}}, math.Inf(1), rand.New(rand.NewPCG(3, 4)))
	if even {
		arrivals = load.Even(load.Shape{{Rate: rate}}, math.Inf(1))
	}
	remaining := calls
	var next func()
	next = func() {
		at, _ := arrivals.Next()
		simClock.At(at, func() {
			d.Endpoints[0].Accept(&receiver.Call{Messages: []receiver.Message{{ID: uint64(remaining)}}, Answer: func(a receiver.Answer) { results[a.Code]++ }})
			if remaining--; remaining > 0 {
				next()
			}
		})
	}
	next()
	for simClock.Step(math.Inf(1)) {
	}
	return recorder, results
}

// erlangB returns the fraction of calls lost with c servers and an offered load of a erlangs (Erlang B formula).
func erlangB(c int, a float64) float64 {
	b := 1.0
	for i := 1; i <= c; i++ {
		b = a * b / (float64(i) + a*b)
	}
	return b
}

func TestQueueingDelayMatchesTheory(t *testing.T) {
	const mean, calls = 0.1, 1_000_000
	for _, c := range []struct {
		servers     int
		utilization float64
	}{{1, 0.7}, {4, 0.7}, {8, 0.8}} {
		a := c.utilization * float64(c.servers)
		b := erlangB(c.servers, a)
		erlangC := b / (1 - c.utilization*(1-b))
		want := erlangC * mean / (float64(c.servers) * (1 - c.utilization))
		recorder, _ := simulateCalls(receiver.Behavior{Service: receiver.Distribution{Form: "exponential", Mean: mean}, Concurrency: c.servers, Queue: 1 << 30}, a/mean, calls, false)
		require.InEpsilon(t, want, recorder.totalWait/float64(recorder.executed), 0.03, "M/M/%d", c.servers)
	}
	recorder, _ := simulateCalls(receiver.Behavior{Service: receiver.Distribution{Form: "fixed", Mean: mean}, Concurrency: 1, Queue: 1 << 30}, 0.7/mean, calls, false)
	require.InEpsilon(t, 0.7*mean/(2*(1-0.7)), recorder.totalWait/float64(recorder.executed), 0.03, "M/D/1")
}

func TestLossMatchesErlangB(t *testing.T) {
	for _, c := range []struct {
		servers int
		offered float64
	}{{1, 0.5}, {4, 3}, {10, 9}} {
		_, results := simulateCalls(receiver.Behavior{Service: receiver.Distribution{Form: "exponential", Mean: 0.1}, Concurrency: c.servers}, c.offered/0.1, 400_000, false)
		require.InEpsilon(t, erlangB(c.servers, c.offered), float64(results[transport.ResultOverloaded])/400_000, 0.03, "M/M/%d/%d", c.servers, c.servers)
	}
}

func TestRateLimitsAdmitExactlyTheirRate(t *testing.T) {
	service := receiver.Distribution{Form: "fixed", Mean: 0.001}
	_, results := simulateCalls(receiver.Behavior{Service: service, Concurrency: 100, Rate: 10, Burst: 5}, 100, 1000, true) // for ten seconds
	require.InDelta(t, 5+10*10, results[transport.ResultOK], 1, "the burst and ten a second")
	recorder, results := simulateCalls(receiver.Behavior{Service: service, Concurrency: 100, WindowCalls: 7, Window: 2, ReportsRetryAfter: true}, 100, 1000, true)
	require.Equal(t, 7*5, results[transport.ResultOK], "seven in any two seconds")
	require.Equal(t, 1000-35, results[transport.ResultRetryAfter])
	for i := range recorder.executions[7:] {
		require.GreaterOrEqual(t, recorder.executions[i+7].ReceivedAt-recorder.executions[i].ReceivedAt, 2-1e-6)
	}
	require.InDelta(t, 2-0.07, recorder.retryAfters[0], 1e-6, "the Retry-After ends when the first of the seven calls is two seconds old")
}

// slowStartBehavior returns the behavior of an endpoint that executes 40 calls a second, and a quarter of that right
// after an outage.
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

// The full capacity is 40 calls a second. Right after an outage the budget is twice a quarter of that, 20 calls a
// second, over any 1.5 seconds. The allowance for random variation is twice the square root of the budget plus two
// calls.
func TestSlowStartOverload(t *testing.T) {
	settings := slowStartBehavior()
	for _, c := range []struct {
		rate       float64
		calls      int
		informed   float64 // fraction of the calls from forwarders that saw the outage
		overloaded bool
	}{{15, 60, 1, false}, {30, 60, 1, false}, {60, 60, 1, true}, {60, 60, 0.5, true}, {60, 30, 1, false}} {
		simClock, recorder := &clock.Queue{}, &testRecorder{}
		d := receiver.New(0, settings, 1, 1, simClock, rand.New(rand.NewPCG(1, 2)), recorder)
		endpoint := d.Endpoints[0]
		endpoint.ForwarderSawFailure(1) // does not count before the outage
		endpoint.BeginOutage()
		simClock.At(0.5, func() { endpoint.ForwarderSawFailure(0) })
		simClock.After(1, endpoint.EndOutage)
		simClock.At(1.005, func() { endpoint.ForwarderSawFailure(1) }) // does not count after the outage
		for i := range c.calls {
			simClock.At(1.01+float64(i)/c.rate, func() {
				from := 0
				if float64(i%2) >= 2*c.informed {
					from = 1
				}
				endpoint.Accept(&receiver.Call{Forwarder: from, Answer: func(receiver.Answer) {}})
			})
		}
		for simClock.Step(4) {
		}
		require.Equal(t, c.overloaded, recorder.overloads > 0, "%v calls at %v a second", c.calls, c.rate)
		if c.overloaded {
			require.InDelta(t, c.informed, recorder.informed, 0.02)
		}
	}
}

// An endpoint that has just recovered tolerates 42 simultaneous calls, 30 + 2·√30 + 2 rounded down, and fails at the
// 43rd.
func TestSlowStartOverloadThreshold(t *testing.T) {
	settings := slowStartBehavior()
	for calls, want := range map[int]int{42: 0, 43: 1} {
		simClock, recorder := &clock.Queue{}, &testRecorder{}
		endpoint := receiver.New(0, settings, 1, 1, simClock, rand.New(rand.NewPCG(1, 2)), recorder).Endpoints[0]
		endpoint.BeginOutage()
		simClock.At(0.5, func() { endpoint.ForwarderSawFailure(0) })
		simClock.At(1, func() {
			endpoint.EndOutage()
			for range calls {
				endpoint.Accept(&receiver.Call{Answer: func(receiver.Answer) {}})
			}
		})
		for simClock.Step(2) {
		}
		require.Equal(t, want, recorder.overloads, "%d calls", calls)
	}
}

func TestIdempotencyKeyDeduplicatesWithinItsWindow(t *testing.T) {
	simClock, recorder := &clock.Queue{}, &testRecorder{}
	d := receiver.New(0, receiver.Behavior{Service: receiver.Distribution{Form: "fixed", Mean: 0.01}, Concurrency: 4}, 2, 1, simClock, rand.New(rand.NewPCG(1, 2)), recorder)
	for i, at := range []float64{0, 1, 4.9, 5.5} {
		simClock.At(at, func() {
			d.Endpoints[i%2].Accept(&receiver.Call{Messages: []receiver.Message{{ID: uint64(i), IdempotencyKey: 9, DeduplicationWindow: 5}}, Answer: func(receiver.Answer) {}})
		})
	}
	for simClock.Step(100) {
	}
	require.Equal(t, []bool{true, false, false, true}, []bool{recorder.executions[0].Effect, recorder.executions[1].Effect, recorder.executions[2].Effect, recorder.executions[3].Effect})
}

func TestFaults(t *testing.T) {
	simClock, recorder := &clock.Queue{}, &testRecorder{}
	d := receiver.New(0, receiver.Behavior{Service: receiver.Distribution{Form: "fixed", Mean: 0.01}, Concurrency: 2, Queue: 10}, 1, 1, simClock, rand.New(rand.NewPCG(1, 2)), recorder)
	endpoint := d.Endpoints[0]
	var results []transport.ResultCode
	call := func() *receiver.Call {
		c := &receiver.Call{Messages: []receiver.Message{{ID: 1}}, Answer: func(a receiver.Answer) { results = append(results, a.Code) }}
		endpoint.Accept(c)
		return c
	}
	run := func() []transport.ResultCode {
		results = nil
		for simClock.Step(math.Inf(1)) {
		}
		return results
	}
	endpoint.Fault.Hangs = 1
	call()
	call()
	queued := call()
	require.Empty(t, run())
	queued.Cancel() // it is still queued, so it is never executed
	endpoint.EndHang()
	require.Equal(t, []transport.ResultCode{transport.ResultOK, transport.ResultOK}, run())
	require.Equal(t, 2, recorder.executed)
	endpoint.Fault.Silences = 1
	call()
	require.Empty(t, run())
	endpoint.Fault = receiver.Fault{LostFraction: 1}
	call()
	require.Empty(t, run())
	require.Equal(t, 3, recorder.executed, "executed although the answer is lost")
	endpoint.Fault = receiver.Fault{ErrorFraction: 1, EveryNth: 2}
	call()
	call()
	require.ElementsMatch(t, []transport.ResultCode{transport.ResultOK, transport.ResultServerError}, run())
	endpoint.Fault, results = receiver.Fault{Draining: true}, nil
	call()
	require.Equal(t, []transport.ResultCode{transport.ResultOverloaded}, results)
	endpoint.Fault = receiver.Fault{}
	call()
	results = nil
	endpoint.BeginOutage()
	require.Equal(t, []transport.ResultCode{transport.ResultClosed}, results, "the call being executed ends")
	refused, _ := endpoint.Connectivity()
	require.True(t, refused)
}
