package receiver

import (
	"slices"

	"spanflow/scheduler"
	"spanflow/transport"
)

// Endpoint models one endpoint of a destination. It is not safe for concurrent use.
type Endpoint struct {
	Destination *Destination
	Number      int
	Zone        int
	Fault       Fault
	Approaching int // calls sent to the endpoint that have not arrived; set by the simulator, used by Ready

	// With Behavior.EndpointLimits, the endpoint uses these fields, otherwise those of its Destination.
	limit    rateLimiter
	recent   recentCalls
	informed map[int]bool

	inService   int
	queue       []*Call
	executing   []*Call
	hung        []*Call // accepted during a hang
	outages     int     // number of outages in effect
	recoveredAt float64 // start of the slow start; 0 means not in slow start
}

// Connectivity reports whether a connection to the endpoint is refused immediately (refused), and whether there is no
// answer at all (silent). If neither is true, the connection can be established.
func (e *Endpoint) Connectivity() (refused, silent bool) {
	return e.outages > 0 || e.Fault.Removed, e.Fault.Silences > 0
}

// InService returns the number of calls that the endpoint is executing, including hung ones.
func (e *Endpoint) InService() int { return e.inService }

// Accept receives a call whose last byte has arrived. The caller must first check with Connectivity that the connection
// can be established.
func (e *Endpoint) Accept(c *Call) {
	d := e.Destination
	now := d.clock.Now()
	c.endpoint, c.receivedAt = e, now
	d.recorder.CallReceived(d.Number, e.Number, c.Forwarder, c.Messages)
	switch refused, silent := e.Connectivity(); {
	case silent:
		return // the call is lost as if it had never arrived
	case refused:
		c.finish(Answer{Code: transport.ResultClosed})
		return
	}
	if overloaded, informed := e.overloads(c.Forwarder); overloaded {
		e.fail(informed)
		c.finish(Answer{Code: transport.ResultClosed})
		return
	}
	if e.Fault.Draining || e.Fault.Removed {
		c.finish(Answer{Code: transport.ResultOverloaded})
		return
	}
	if wait, full := e.rateLimiter().admit(&d.Behavior, e.Fault.LimitFraction, now); full {
		c.finish(e.rejection(c.Forwarder, wait))
		return
	}
	switch {
	case e.inService < d.Behavior.Concurrency:
		e.inService++
		e.execute(c)
	case len(e.queue) < d.Behavior.Queue:
		c.queued = true
		e.queue = append(e.queue, c)
	default:
		c.finish(e.withLimitReport(Answer{Code: transport.ResultOverloaded}))
	}
}

// rateLimiter returns the limiter that applies to the endpoint's calls.
func (e *Endpoint) rateLimiter() *rateLimiter {
	if e.Destination.Behavior.EndpointLimits {
		return &e.limit
	}
	return &e.Destination.limit
}

// rejection returns the answer to a call that the limit would admit only after wait seconds.
func (e *Endpoint) rejection(forwarder int, wait float64) Answer {
	d := e.Destination
	a := Answer{Code: transport.ResultOverloaded}
	if d.Behavior.ReportsRetryAfter {
		a = Answer{Code: transport.ResultRetryAfter, RetryAfter: wait}
		d.recorder.RetryAfterSent(d.Number, e.Number, forwarder, wait)
	}
	return e.withLimitReport(a)
}

// withLimitReport adds the reported limit to an answer if the endpoint reports limits.
func (e *Endpoint) withLimitReport(a Answer) Answer {
	behavior := &e.Destination.Behavior
	if !behavior.ReportsLimit {
		return a
	}
	if a.ReportedLimit = behavior.sustainedRate(); a.ReportedLimit == 0 {
		a.ReportedLimit = -1
	} else if e.Fault.LimitFraction > 0 {
		a.ReportedLimit *= e.Fault.LimitFraction
	}
	if a.ReportedLimit > 0 {
		remaining := e.rateLimiter().remaining(behavior, e.Fault.LimitFraction, e.Destination.clock.Now())
		a.ReportedRemaining = scheduler.ReportedValue(remaining)
	}
	return a
}

// execute executes a call, which the caller has counted in inService.
func (e *Endpoint) execute(c *Call) {
	d := e.Destination
	if e.Fault.Hangs > 0 {
		e.hung = append(e.hung, c)
		return
	}
	duration := d.Behavior.Service.Draw(d.random) / e.capacityFraction()
	if e.Fault.slows(c) {
		duration *= e.Fault.SlowFactor
	}
	code, executed, answerLost := e.drawOutcome(c)
	startedAt := d.clock.Now()
	e.executing = append(e.executing, c)
	d.clock.After(duration, func() {
		if i := slices.Index(e.executing, c); i >= 0 {
			e.executing = append(e.executing[:i], e.executing[i+1:]...)
		}
		if executed {
			for _, message := range c.Messages {
				d.recordExecution(e, c, message, startedAt)
			}
		}
		if !answerLost && e.Fault.Silences == 0 && e.outages == 0 {
			c.finish(e.withLimitReport(Answer{Code: code}))
		}
		e.startNext()
	})
}

// startNext executes the next queued call, if any, in place of one that has ended.
func (e *Endpoint) startNext() {
	if len(e.queue) == 0 || e.outages > 0 {
		e.inService--
		return
	}
	c := e.queue[0]
	e.queue = e.queue[1:]
	c.queued = false
	e.execute(c)
}

// Ready reports whether a call that arrives now would be executed immediately and answered successfully. Forwarders
// cannot know this; only the oracle baseline uses it.
func (e *Endpoint) Ready(forwarder int) bool {
	d, f := e.Destination, &e.Fault
	refused, silent := e.Connectivity()
	if refused || silent || f.Hangs > 0 || f.Draining || e.inService+e.Approaching >= d.Behavior.Concurrency {
		return false
	}
	if f.failingFraction() > mostlyFailsFraction && !(f.OddForwarders && forwarder%2 == 0) {
		return false
	}
	approaching := e.Approaching
	if !d.Behavior.EndpointLimits {
		approaching = 0
		for _, other := range d.Endpoints {
			approaching += other.Approaching
		}
	}
	now := d.clock.Now()
	if e.wouldOverload(approaching+1, now) {
		return false
	}
	limit := e.rateLimiter()
	limiterCopy := rateLimiter{limit.tokens, limit.refilledAt, slices.Clone(limit.admitted)}
	for range approaching + 1 {
		if _, full := limiterCopy.admit(&d.Behavior, f.LimitFraction, now); full {
			return false
		}
	}
	return true
}
