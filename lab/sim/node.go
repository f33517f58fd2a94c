package sim

import (
	"slices"

	"spanflow/lab/audit"
	"spanflow/lab/receiver"
	"spanflow/scheduler"
	"spanflow/transport"
)

// node is one forwarder: the policy, and what an owner, a write-ahead log and an upstream are to it.
type node struct {
	run           *simRun
	number        int
	seed          uint64
	incarnation   int // counts starts: what an earlier process asked for counts for nothing
	up            bool
	stalledUntil  float64 // until when it stands still
	policy        Policy
	destinations  []*scheduler.Destination
	endpoints     [][]*knownEndpoint
	endpointByID  map[uint64]*knownEndpoint
	submissions   map[uint64]*submission
	unanswered    []*submission // in the order of taking; those over are dropped now and then
	pendingCalls  []*call       // being made up
	openCalls     []*call
	timerSequence int
	inTurn        bool
	waiting       []func() // what came while it stands still
	batching      bool     // it takes that up: decided is once, at the end
}

// endpoint is a receiver's endpoint as a forwarder knows it.
type knownEndpoint struct {
	model     *receiver.Endpoint
	handle    *scheduler.Endpoint
	idleSince []float64 // connections, by when each was last used
	listed    scheduler.EndpointState
}

type call struct {
	node        *node
	incarnation int
	endpoint    *knownEndpoint
	submissions []*submission
	timeout     float64
	startedAt   float64
	received    *receiver.Call
	arrived     bool
	done        bool
	cancelled   bool // taken back before its first byte
}

func newNode(d *simRun, n int, seed uint64) *node { return &node{run: d, number: n, seed: seed} }

// start starts the process, with what an earlier one owed.
func (n *node) start() {
	d := n.run
	n.incarnation++
	n.up = true
	n.submissions, n.endpointByID, n.pendingCalls, n.openCalls = map[uint64]*submission{}, map[uint64]*knownEndpoint{}, nil, nil
	n.policy = n.run.newPolicy(d.scenario.SchedulerSettings(n.number), n.seed+uint64(n.incarnation), d.Now(), n)
	if p, ok := n.policy.(*baseline); ok && p.oracle {
		p.inspect = func(id uint64) (bool, int) {
			t := d.destinations[id>>32].Endpoints[uint32(id)]
			return t.Ready(n.number), t.InService()
		}
	}
	n.destinations, n.endpoints = nil, make([][]*knownEndpoint, len(d.destinations))
	var lines []scheduler.EndpointUpdate
	for i, dest := range d.destinations {
		n.destinations = append(n.destinations, n.policy.NewDestination(uint64(i)))
		for _, t := range dest.Endpoints {
			if !t.Fault.Removed {
				lines = append(lines, n.endpointUpdate(t))
			}
		}
	}
	n.policy.SetTime(d.Now())
	n.policy.UpdateEndpoints(true, lines)
	owed := n.unanswered
	n.unanswered = nil
	for _, h := range owed {
		if h.finished {
			continue
		}
		if h.attemptStart > 0 { // it was out when that process ended
			if h.recovered.FirstRanAt == 0 {
				h.recovered.FirstRanAt, h.recovered.Zone = h.attemptStart, h.attemptZone
			}
			h.attemptStart = 0
		}
		n.track(h)
		n.policy.Recover(h.message, h.effect.typeIndex, h.expiry-d.Now(), h.recovered)
	}
	n.reconcile()
}

// endpointUpdate is the list's line of an endpoint, which the forwarder knows from then on.
func (n *node) endpointUpdate(t *receiver.Endpoint) scheduler.EndpointUpdate {
	d := t.Destination.Number
	for len(n.endpoints[d]) <= t.Number {
		n.endpoints[d] = append(n.endpoints[d], nil)
	}
	k := n.endpoints[d][t.Number]
	if k == nil {
		k = &knownEndpoint{model: t, handle: &scheduler.Endpoint{ID: uint64(d)<<32 | uint64(t.Number)}}
		n.endpoints[d][t.Number] = k
		n.endpointByID[k.handle.ID] = k
	}
	l := scheduler.EndpointUpdate{Endpoint: k.handle, Destination: n.destinations[d], Kind: n.run.group[d], Zone: t.Zone}
	if n.run.scenario.Dispatch.ListedRates != "none" {
		l.Rate = t.Destination.Behavior.Rate
	}
	switch {
	case t.Fault.Removed:
		l.State = scheduler.Removed
	case t.Fault.Draining:
		l.State = scheduler.Draining
	}
	k.listed = l.State
	return l
}

func (n *node) track(h *submission) {
	h.node = n
	h.message = &scheduler.Message{ID: h.id, Tenant: h.effect.tenant, Key: h.effect.key, Dest: n.destinations[h.effect.destination], Size: 500}
	n.submissions[h.id] = h
	n.unanswered = append(n.unanswered, h)
	if len(n.unanswered) > 64 && len(n.unanswered) > 4*len(n.submissions) {
		n.unanswered = slices.DeleteFunc(n.unanswered, func(h *submission) bool { return h.finished })
	}
}

// stall holds the forwarder, whichever process it has, until a moment.
func (n *node) stall(until float64) {
	n.stalledUntil = max(n.stalledUntil, until)
	n.run.log.ForwarderStalled(n.number, until)
}

// isStalled tells that the forwarder stands still.
func (n *node) isStalled() bool { return n.run.Now() < n.stalledUntil }

// do does something in the process as it is now; without a process nobody hears of it. While it stands still all that
// comes waits; then it takes it all before it decides once, as the forwarder's owner takes what lies in the Exchange.
func (n *node) do(what func()) {
	switch {
	case !n.up:
	case n.isStalled():
		if n.waiting = append(n.waiting, what); len(n.waiting) == 1 {
			n.resumeAfterStall(n.incarnation)
		}
	default:
		what()
	}
}

// resumeAfterStall takes up what waited, once the process no longer stands still.
func (n *node) resumeAfterStall(life int) {
	n.run.At(n.stalledUntil, func() {
		switch {
		case n.incarnation != life: // that process is gone, with what waited
		case n.isStalled(): // it was told to stand still for longer
			n.resumeAfterStall(life)
		default:
			waiting := n.waiting
			n.waiting, n.batching = nil, true
			for _, what := range waiting {
				what()
			}
			n.batching = false
			n.policy.SetTime(n.run.Now())
			n.reconcile()
		}
	})
}

func (n *node) reconcile() {
	if n.batching {
		return
	}
	n.inTurn = true
	n.policy.Reconcile()
	n.inTurn = false
	calls := n.pendingCalls
	n.pendingCalls = nil
	for _, c := range calls {
		c.begin()
	}
}

func (n *node) admit(e *effect, expiry float64) {
	d := n.run
	n.policy.SetTime(d.Now())
	left := expiry - d.Now()
	d.lastID++
	id := d.lastID
	message := &audit.Message{ID: id, IdempotencyKey: e.idempotencyKey, Key: e.key, Type: e.typeIndex, AtMostOnce: e.typ.Idempotency == "binding", Keyed: e.idempotencyKey != 0,
		Destination: e.destination, Forwarder: n.number, SubmittedAt: d.Now(), Expiry: expiry}
	if e.id == 0 {
		e.id = id
	}
	message.FirstID = e.id
	taken, back := n.policy.Admit(500, left)
	if !taken {
		e.refused++
		d.result.Refused++
		d.resubmit(e, back)
		return
	}
	d.log.MessageSubmitted(message)
	d.log.MessageAccepted(id)
	d.effects[id] = e
	d.result.Accepted++
	h := &submission{id: id, effect: e, expiry: expiry}
	d.submissions[id] = h
	n.track(h)
	n.policy.Accept(h.message, e.typeIndex, left)
	n.reconcile()
}

// callEnded takes the end of a call.
func (n *node) callEnded(c *call, a receiver.Answer) {
	d := n.run
	if c.done || c.incarnation != n.incarnation {
		return
	}
	c.done = true
	n.openCalls = slices.DeleteFunc(n.openCalls, func(o *call) bool { return o == c })
	switch a.Code {
	case transport.ResultOK, transport.ResultServerError, transport.ResultRetryAfter, transport.ResultOverloaded:
		c.endpoint.idleSince = append(c.endpoint.idleSince, d.Now())
	}
	out, over := a.Code.Outcome()
	if out != scheduler.Delivered && out != scheduler.NotSent {
		c.endpoint.model.ForwarderSawFailure(n.number)
	}
	n.policy.SetTime(d.Now())
	for _, h := range c.submissions {
		d.result.AttemptResults[a.Code.String()]++
		if a.Code.MayHaveRun() && h.recovered.FirstRanAt == 0 {
			h.recovered.FirstRanAt, h.recovered.Zone = h.attemptStart, h.attemptZone
		}
		h.attemptStart = 0
		if over {
			if out == scheduler.Delivered && !h.finished { // else its client has been answered, at expiry say
				d.log.FinalAnswer(h.id, "delivered")
			}
			h.finished = true
		}
		n.policy.AttemptEnded(h.message, scheduler.AttemptResult{Outcome: out, Final: over, Latency: d.Now() - c.startedAt, RetryAfter: a.RetryAfter, ReportedLimit: a.ReportedLimit,
			ReportedShare: a.ReportedRemaining})
		if h.finished {
			delete(n.submissions, h.id)
		}
	}
	n.reconcile()
}

// begin sends a call: on the idle connection used last, or on a new one.
func (c *call) begin() {
	n, d, t := c.node, c.node.run, c.endpoint
	c.startedAt = d.Now()
	n.openCalls = append(n.openCalls, c)
	rest := float64(d.scenario.NetworkDelay)
	way, dead := 3*rest, false // a new connection takes a way there and back before the call
	life := float64(d.scenario.Dispatch.IdleTimeout)
	if p, ok := n.policy.(*baseline); ok && p.oracle { // it knows which connections are dead: a new one each time
		t.idleSince = nil
	}
	for len(t.idleSince) > 0 {
		used := t.idleSince[len(t.idleSince)-1]
		t.idleSince = t.idleSince[:len(t.idleSince)-1]
		if idle := d.Now() - used; idle < life {
			way, dead = rest, d.reapFaults > 0 && idle > reapedIdleTime
			break
		}
	}
	fresh := way > rest
	d.After(c.timeout, func() { n.do(func() { c.timedOut() }) })
	refused, silent := t.model.Connectivity()
	if dead || silent && fresh || refused {
		t.model.Approaching--
	}
	switch {
	case dead:
		c.arrived = true // as far as the forwarder can tell
		return
	case silent && fresh:
		d.After(min(c.timeout, float64(d.scenario.Dispatch.Connect)), func() {
			n.do(func() { n.callEnded(c, receiver.Answer{Code: transport.ResultConnectTimeout}) })
		})
		return
	case refused:
		d.After(2*rest, func() { n.do(func() { n.callEnded(c, receiver.Answer{Code: transport.ResultConnectRefused}) }) })
		return
	}
	d.After(way, func() {
		t.model.Approaching--
		if c.done || c.cancelled || c.incarnation != n.incarnation {
			return
		}
		c.arrived = true
		messages := make([]receiver.Message, len(c.submissions))
		for i, h := range c.submissions {
			messages[i] = receiver.Message{ID: h.id, IdempotencyKey: h.effect.idempotencyKey, DeduplicationWindow: float64(h.effect.typ.DeduplicationWindow), DeduplicatedPerZone: h.effect.typ.Group == "zone",
				Tenant: h.effect.tenant}
		}
		c.received = &receiver.Call{Forwarder: n.number, Messages: messages, Answer: func(a receiver.Answer) {
			for _, message := range messages {
				d.log.AttemptClosed(message.ID, outcomeKnown(a.Code))
			}
			d.After(rest, func() { n.do(func() { n.callEnded(c, a) }) })
		}}
		t.model.Accept(c.received)
	})
}

// outcomeKnown tells that an end says what became of the message.
func outcomeKnown(e transport.ResultCode) bool {
	out, _ := e.Outcome()
	return out != scheduler.Reset && out != scheduler.TimedOut
}

// abort ends a call from the forwarder's side.
func (c *call) abort() {
	d := c.node.run
	if at := c.received; at != nil {
		d.After(float64(d.scenario.NetworkDelay), func() {
			at.Cancel()
			for _, message := range at.Messages {
				d.log.AttemptClosed(message.ID, false)
			}
		})
	}
}

func (c *call) timedOut() {
	if c.done || c.incarnation != c.node.incarnation {
		return
	}
	c.abort()
	end := transport.ResultTimeout
	if !c.arrived {
		end = transport.ResultTimeoutBeforeSent
	}
	c.node.callEnded(c, receiver.Answer{Code: end})
}

// kill ends the process; it starts again on what it owed.
func (n *node) kill() {
	if !n.up {
		return
	}
	d := n.run
	n.up = false
	n.incarnation++
	for _, c := range n.openCalls {
		c.done = true
		c.abort()
	}
	n.openCalls, n.pendingCalls, n.waiting = nil, nil, nil
	d.log.ForwarderRestarted(n.number, d.Now()+restartDelay+recoveryGrace)
	for _, dest := range d.destinations {
		dest.ForwarderRestarted(n.number)
	}
	d.After(restartDelay, n.restart)
}

// restart starts the process after a kill. One that is started while the forwarder stands still begins when that is over.
func (n *node) restart() {
	if n.isStalled() {
		n.run.log.ForwarderStalled(n.number, n.stalledUntil+recoveryGrace)
		n.run.At(n.stalledUntil, n.restart)
		return
	}
	n.start()
}

// Send, Reject, Fail, CancelUnsent, CloseIdle, ReleaseEndpoint, Wake, WatchEndpoints and Log make a node a choice.Host.

func (n *node) Send(message *scheduler.Message, to *scheduler.Endpoint, timeout float64) {
	h, t := n.run.submissions[message.ID], n.endpointByID[to.ID]
	h.recovered.Attempts++
	h.attemptStart, h.attemptZone = n.run.Now(), t.model.Zone
	n.run.result.Attempts++
	batch := n.run.scenario.Receivers[n.run.group[t.model.Destination.Number]].Batch
	for _, c := range n.pendingCalls {
		if c.endpoint == t && len(c.submissions) < batch {
			c.submissions = append(c.submissions, h)
			c.timeout = min(c.timeout, timeout)
			return
		}
	}
	t.model.Approaching++
	n.pendingCalls = append(n.pendingCalls, &call{node: n, incarnation: n.incarnation, endpoint: t, submissions: []*submission{h}, timeout: timeout})
}

func (n *node) Reject(message *scheduler.Message, comeBack float64) {
	n.finish(message, "returned", comeBack)
}
func (n *node) Fail(message *scheduler.Message) { n.finish(message, "abandoned", 0) }

func (n *node) finish(message *scheduler.Message, what string, comeBack float64) {
	h := n.run.submissions[message.ID]
	h.finished = true
	if h.attemptStart == 0 {
		delete(n.submissions, h.id)
	}
	n.run.result.FinalAnswers[what]++
	n.run.notifyClient(h, what, comeBack)
}

func (n *node) CancelUnsent(to *scheduler.Endpoint) {
	for _, c := range n.openCalls {
		if c.endpoint.handle == to && !c.arrived && !c.done {
			c.cancelled = true // its way ends here
			n.run.After(0, func() { n.do(func() { n.callEnded(c, receiver.Answer{Code: transport.ResultCancelled}) }) })
		}
	}
}

func (n *node) CloseIdle(to *scheduler.Endpoint) {
	if t := n.endpointByID[to.ID]; t != nil {
		t.idleSince = nil
	}
}

func (n *node) ReleaseEndpoint(to *scheduler.Endpoint) { delete(n.endpointByID, to.ID) }

func (n *node) Wake(in float64) {
	n.timerSequence++
	wake, life := n.timerSequence, n.incarnation
	n.run.After(in, func() {
		if n.incarnation != life || n.timerSequence != wake {
			return
		}
		n.do(func() {
			n.policy.SetTime(n.run.Now())
			n.policy.TimerFired()
			n.reconcile()
		})
	})
}

func (n *node) WatchEndpoints() {}
func (n *node) Log(line string) { n.run.result.ModeChanges++ }

// updateEndpoints tells a forwarder of changed endpoints.
func (n *node) updateEndpoints(endpoints []*receiver.Endpoint) {
	n.do(func() {
		n.policy.SetTime(n.run.Now())
		var lines []scheduler.EndpointUpdate
		for _, t := range endpoints {
			lines = append(lines, n.endpointUpdate(t))
			if t.Fault.Draining || t.Fault.Removed {
				n.endpoints[t.Destination.Number][t.Number].idleSince = nil
			}
		}
		n.policy.UpdateEndpoints(false, lines)
		n.reconcile()
	})
}
