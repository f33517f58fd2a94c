package sim

import (
	"spanflow/lab/receiver"
	"spanflow/lab/scenario"
	"spanflow/scheduler"
	"spanflow/transport"
)

// call is one call of a forwarder to an endpoint.
type call struct {
	forwarder   *forwarder
	incarnation int // number of the forwarder's process that sent the call
	endpoint    *knownEndpoint
	submissions []*submission
	timeout     float64
	startedAt   float64
	received    *receiver.Call // nil until the call arrives
	arrived     bool           // the call may have arrived, as far as the forwarder can tell
	done        bool
	cancelled   bool // the forwarder cancelled the call before it arrived
}

// begin sends the call on the most recently used idle connection, or on a new one.
func (c *call) begin() {
	f, run, e := c.forwarder, c.forwarder.run, c.endpoint
	c.startedAt = run.Now()
	f.openCalls = append(f.openCalls, c)
	oneWay := float64(run.scenario.NetworkDelay)
	delay, dead := c.connect()
	fresh := delay > oneWay
	run.After(c.timeout, func() { f.do(c.timedOut) })
	refused, silent := e.model.Connectivity()
	if dead || silent && fresh || refused {
		e.model.Approaching--
	}
	switch {
	case dead:
		c.arrived = true
	case silent && fresh:
		c.endAfter(min(c.timeout, float64(run.scenario.Dispatch.Connect)), transport.ResultConnectTimeout)
	case refused:
		c.endAfter(2*oneWay, transport.ResultConnectRefused)
	default:
		run.After(delay, c.arrive)
	}
}

// connect selects a connection and returns the time after which the call arrives on it. dead means that the connection
// was closed without the forwarder noticing.
func (c *call) connect() (delay float64, dead bool) {
	f, run, e := c.forwarder, c.forwarder.run, c.endpoint
	oneWay := float64(run.scenario.NetworkDelay)
	idleTimeout := float64(run.scenario.Dispatch.IdleTimeout)
	if p, ok := f.policy.(*baseline); ok && p.oracle { // the oracle avoids dead connections by always opening a new one
		e.idleSince = nil
	}
	for len(e.idleSince) > 0 {
		last := e.idleSince[len(e.idleSince)-1]
		e.idleSince = e.idleSince[:len(e.idleSince)-1]
		if idle := run.Now() - last; idle < idleTimeout {
			return oneWay, run.activeReapFaults > 0 && idle > reapedIdleTime
		}
	}
	return 3 * oneWay, false // a new connection takes a round trip before the call
}

// endAfter ends the call with a result code after a delay in seconds, on the forwarder's side only.
func (c *call) endAfter(seconds float64, code transport.ResultCode) {
	f := c.forwarder
	f.run.After(seconds, func() { f.do(func() { f.callEnded(c, receiver.Answer{Code: code}) }) })
}

// arrive delivers the call to the endpoint, unless it has ended.
func (c *call) arrive() {
	f, run := c.forwarder, c.forwarder.run
	c.endpoint.model.Approaching--
	if c.done || c.cancelled || c.incarnation != f.incarnation {
		return
	}
	c.arrived = true
	messages := make([]receiver.Message, len(c.submissions))
	for i, s := range c.submissions {
		messages[i] = s.receiverMessage()
	}
	c.received = &receiver.Call{Forwarder: f.number, Messages: messages, Answer: func(a receiver.Answer) {
		for _, m := range messages {
			run.log.AttemptClosed(m.ID, outcomeKnown(a.Code))
		}
		run.After(float64(run.scenario.NetworkDelay), func() { f.do(func() { f.callEnded(c, a) }) })
	}}
	c.endpoint.model.Accept(c.received)
}

// receiverMessage returns the message of a submission as a receiver sees it.
func (s *submission) receiverMessage() receiver.Message {
	t := s.effect.messageType
	return receiver.Message{
		ID:                  s.id,
		IdempotencyKey:      s.effect.idempotencyKey,
		DeduplicationWindow: float64(t.DeduplicationWindow),
		DeduplicatedPerZone: t.Group == scenario.KnownInOneZone,
		Tenant:              s.effect.tenant,
	}
}

// outcomeKnown reports whether a result code rules out that the message is still being executed.
func outcomeKnown(code transport.ResultCode) bool {
	outcome, _ := code.Outcome()
	return outcome != scheduler.Reset && outcome != scheduler.TimedOut && outcome != scheduler.Malformed
}

// abort closes the call's connection on the forwarder's side. The receiver notices it after the network delay.
func (c *call) abort() {
	run := c.forwarder.run
	if received := c.received; received != nil {
		run.After(float64(run.scenario.NetworkDelay), func() {
			received.Cancel()
			for _, m := range received.Messages {
				run.log.AttemptClosed(m.ID, false)
			}
		})
	}
}

// timedOut ends the call at its time-out, unless it has already ended.
func (c *call) timedOut() {
	if c.done || c.incarnation != c.forwarder.incarnation {
		return
	}
	c.abort()
	code := transport.ResultTimeout
	if !c.arrived {
		code = transport.ResultTimeoutBeforeSent
	}
	c.forwarder.callEnded(c, receiver.Answer{Code: code})
}
