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
	day     *day
	number  int
	seed    uint64
	life    int // counts starts: what an earlier process asked for counts for nothing
	up      bool
	stalled float64 // until when it stands still
	policy  Policy
	dests   []*scheduler.Destination
	targets [][]*target
	byDoor  map[uint64]*target
	docs    map[uint64]*submission
	owed    []*submission // in the order of taking; those over are dropped now and then
	calls   []*call       // being made up
	out     []*call
	wake    int
	inTurn  bool
	waiting []func() // what came while it stands still
	held    bool     // it takes that up: decided is once, at the end
}

// endpoint is a receiver's endpoint as a forwarder knows it.
type target struct {
	is     *receiver.Endpoint
	module *scheduler.Endpoint
	idle   []float64 // connections, by when each was last used
	listed scheduler.EndpointState
}

type call struct {
	node    *node
	life    int
	to      *target
	docs    []*submission
	allow   float64
	began   float64
	at      *receiver.Call
	arrived bool
	done    bool
	back    bool // taken back before its first byte
}

func newNode(d *day, n int, seed uint64) *node { return &node{day: d, number: n, seed: seed} }

// start starts the process, with what an earlier one owed.
func (n *node) start() {
	d := n.day
	n.life++
	n.up = true
	n.docs, n.byDoor, n.calls, n.out = map[uint64]*submission{}, map[uint64]*target{}, nil, nil
	n.policy = n.day.make(d.scene.SchedulerSettings(n.number), n.seed+uint64(n.life), d.Now(), n)
	if p, ok := n.policy.(*plain); ok && p.seer {
		p.sees = func(door uint64) (bool, int) {
			t := d.dests[door>>32].Endpoints[uint32(door)]
			return t.Ready(n.number), t.Busy()
		}
	}
	n.dests, n.targets = nil, make([][]*target, len(d.dests))
	var lines []scheduler.EndpointUpdate
	for i, dest := range d.dests {
		n.dests = append(n.dests, n.policy.NewDestination(uint64(i)))
		for _, t := range dest.Endpoints {
			if !t.Fault.Removed {
				lines = append(lines, n.line(t))
			}
		}
	}
	n.policy.SetTime(d.Now())
	n.policy.UpdateEndpoints(true, lines)
	owed := n.owed
	n.owed = nil
	for _, h := range owed {
		if h.over {
			continue
		}
		if h.out > 0 { // it was out when that process ended
			if h.past.FirstRanAt == 0 {
				h.past.FirstRanAt, h.past.Zone = h.out, h.outTo
			}
			h.out = 0
		}
		n.keep(h)
		n.policy.Recover(h.message, h.of.typeNo, h.expiry-d.Now(), h.past)
	}
	n.settle()
}

// line is the list's line of an endpoint, which the forwarder knows from then on.
func (n *node) line(t *receiver.Endpoint) scheduler.EndpointUpdate {
	d := t.Destination.Number
	for len(n.targets[d]) <= t.Number {
		n.targets[d] = append(n.targets[d], nil)
	}
	k := n.targets[d][t.Number]
	if k == nil {
		k = &target{is: t, module: &scheduler.Endpoint{ID: uint64(d)<<32 | uint64(t.Number)}}
		n.targets[d][t.Number] = k
		n.byDoor[k.module.ID] = k
	}
	l := scheduler.EndpointUpdate{Endpoint: k.module, Destination: n.dests[d], Kind: n.day.group[d], Zone: t.Zone}
	if n.day.scene.Dispatch.ListedRates != "none" {
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

func (n *node) keep(h *submission) {
	h.node = n
	h.message = &scheduler.Message{ID: h.id, Tenant: h.of.tenant, Key: h.of.key, Dest: n.dests[h.of.dest], Size: 500}
	n.docs[h.id] = h
	n.owed = append(n.owed, h)
	if len(n.owed) > 64 && len(n.owed) > 4*len(n.docs) {
		n.owed = slices.DeleteFunc(n.owed, func(h *submission) bool { return h.over })
	}
}

// standStill holds the forwarder, whichever process it has, until a moment.
func (n *node) standStill(until float64) {
	n.stalled = max(n.stalled, until)
	n.day.log.Stalled(n.number, until)
}

// stands tells that the forwarder stands still.
func (n *node) stands() bool { return n.day.Now() < n.stalled }

// do does something in the process as it is now; without a process nobody hears of it. While it stands still all that
// comes waits; then it takes it all before it decides once, as the forwarder's owner takes what lies in the Exchange.
func (n *node) do(what func()) {
	switch {
	case !n.up:
	case n.stands():
		if n.waiting = append(n.waiting, what); len(n.waiting) == 1 {
			n.thaw(n.life)
		}
	default:
		what()
	}
}

// thaw takes up what waited, once the process no longer stands still.
func (n *node) thaw(life int) {
	n.day.At(n.stalled, func() {
		switch {
		case n.life != life: // that process is gone, with what waited
		case n.stands(): // it was told to stand still for longer
			n.thaw(life)
		default:
			waiting := n.waiting
			n.waiting, n.held = nil, true
			for _, what := range waiting {
				what()
			}
			n.held = false
			n.policy.SetTime(n.day.Now())
			n.settle()
		}
	})
}

func (n *node) settle() {
	if n.held {
		return
	}
	n.inTurn = true
	n.policy.Reconcile()
	n.inTurn = false
	calls := n.calls
	n.calls = nil
	for _, c := range calls {
		c.begin()
	}
}

func (n *node) handedIn(e *effect, expiry float64) {
	d := n.day
	n.policy.SetTime(d.Now())
	left := expiry - d.Now()
	d.lastID++
	id := d.lastID
	doc := &audit.Message{ID: id, IdempotencyKey: e.mark, Key: e.key, Type: e.typeNo, AtMostOnce: e.typ.Idempotency == "binding", Keyed: e.mark != 0,
		Destination: e.dest, Forwarder: n.number, SubmittedAt: d.Now(), Expiry: expiry}
	if e.id == 0 {
		e.id = id
	}
	doc.FirstID = e.id
	taken, back := n.policy.Admit(500, left)
	if !taken {
		e.refused++
		d.result.Refused++
		d.again(e, back)
		return
	}
	d.log.Submitted(doc)
	d.log.Accepted(id)
	d.effects[id] = e
	d.result.Taken++
	h := &submission{id: id, of: e, expiry: expiry}
	d.handed[id] = h
	n.keep(h)
	n.policy.Accept(h.message, e.typeNo, left)
	n.settle()
}

// ended takes the end of a call.
func (n *node) ended(c *call, a receiver.Answer) {
	d := n.day
	if c.done || c.life != n.life {
		return
	}
	c.done = true
	n.out = slices.DeleteFunc(n.out, func(o *call) bool { return o == c })
	switch a.Code {
	case transport.ResultOK, transport.ResultServerError, transport.ResultRetryAfter, transport.ResultOverloaded:
		c.to.idle = append(c.to.idle, d.Now())
	}
	out, over := a.Code.Outcome()
	if out != scheduler.Delivered && out != scheduler.NotSent {
		c.to.is.Learned(n.number)
	}
	n.policy.SetTime(d.Now())
	for _, h := range c.docs {
		d.result.Ends[a.Code.String()]++
		if a.Code.MayHaveRun() && h.past.FirstRanAt == 0 {
			h.past.FirstRanAt, h.past.Zone = h.out, h.outTo
		}
		h.out = 0
		if over {
			if out == scheduler.Delivered && !h.over { // else its client has been answered, at expiry say
				d.log.FinalAnswer(h.id, "delivered")
			}
			h.over = true
		}
		n.policy.AttemptEnded(h.message, scheduler.AttemptResult{Outcome: out, Final: over, Latency: d.Now() - c.began, RetryAfter: a.RetryAfter, ReportedLimit: a.ReportedLimit,
			ReportedShare: a.ReportedShare})
		if h.over {
			delete(n.docs, h.id)
		}
	}
	n.settle()
}

// begin sends a call: on the idle connection used last, or on a new one.
func (c *call) begin() {
	n, d, t := c.node, c.node.day, c.to
	c.began = d.Now()
	n.out = append(n.out, c)
	rest := float64(d.scene.NetworkDelay)
	way, dead := 3*rest, false // a new connection takes a way there and back before the call
	life := float64(d.scene.Dispatch.IdleTimeout)
	if p, ok := n.policy.(*plain); ok && p.seer { // it knows which connections are dead: a new one each time
		t.idle = nil
	}
	for len(t.idle) > 0 {
		used := t.idle[len(t.idle)-1]
		t.idle = t.idle[:len(t.idle)-1]
		if idle := d.Now() - used; idle < life {
			way, dead = rest, d.reap > 0 && idle > idleDies
			break
		}
	}
	fresh := way > rest
	d.After(c.allow, func() { n.do(func() { c.giveUp() }) })
	refused, silent := t.is.Up()
	if dead || silent && fresh || refused {
		t.is.Approaching--
	}
	switch {
	case dead:
		c.arrived = true // as far as the forwarder can tell
		return
	case silent && fresh:
		d.After(min(c.allow, float64(d.scene.Dispatch.Connect)), func() {
			n.do(func() { n.ended(c, receiver.Answer{Code: transport.ResultConnectTimeout}) })
		})
		return
	case refused:
		d.After(2*rest, func() { n.do(func() { n.ended(c, receiver.Answer{Code: transport.ResultConnectRefused}) }) })
		return
	}
	d.After(way, func() {
		t.is.Approaching--
		if c.done || c.back || c.life != n.life {
			return
		}
		c.arrived = true
		docs := make([]receiver.Message, len(c.docs))
		for i, h := range c.docs {
			docs[i] = receiver.Message{ID: h.id, IdempotencyKey: h.of.mark, DeduplicationWindow: float64(h.of.typ.DeduplicationWindow), DeduplicatedPerZone: h.of.typ.Group == "zone",
				Tenant: h.of.tenant}
		}
		c.at = &receiver.Call{Forwarder: n.number, Messages: docs, Answer: func(a receiver.Answer) {
			for _, doc := range docs {
				d.log.Closed(doc.ID, told(a.Code))
			}
			d.After(rest, func() { n.do(func() { n.ended(c, a) }) })
		}}
		t.is.Take(c.at)
	})
}

// told tells that an end says what became of the message.
func told(e transport.ResultCode) bool {
	out, _ := e.Outcome()
	return out != scheduler.Reset && out != scheduler.TimedOut
}

// cut ends a call from the forwarder's side.
func (c *call) cut() {
	d := c.node.day
	if at := c.at; at != nil {
		d.After(float64(d.scene.NetworkDelay), func() {
			at.Cancel()
			for _, doc := range at.Messages {
				d.log.Closed(doc.ID, false)
			}
		})
	}
}

func (c *call) giveUp() {
	if c.done || c.life != c.node.life {
		return
	}
	c.cut()
	end := transport.ResultTimeout
	if !c.arrived {
		end = transport.ResultTimeoutBeforeSent
	}
	c.node.ended(c, receiver.Answer{Code: end})
}

// kill ends the process; it starts again on what it owed.
func (n *node) kill() {
	if !n.up {
		return
	}
	d := n.day
	n.up = false
	n.life++
	for _, c := range n.out {
		c.done = true
		c.cut()
	}
	n.out, n.calls, n.waiting = nil, nil, nil
	d.log.Restarted(n.number, d.Now()+downFor+rises)
	for _, dest := range d.dests {
		dest.Forget(n.number)
	}
	d.After(downFor, n.rise)
}

// rise starts the process after a kill. One that is started while the forwarder stands still begins when that is over.
func (n *node) rise() {
	if n.stands() {
		n.day.log.Stalled(n.number, n.stalled+rises)
		n.day.At(n.stalled, n.rise)
		return
	}
	n.start()
}

// Send, Reject, Fail, CancelUnsent, CloseIdle, ReleaseEndpoint, Wake, WatchEndpoints and Log make a node a choice.Host.

func (n *node) Send(doc *scheduler.Message, to *scheduler.Endpoint, timeout float64) {
	h, t := n.day.handed[doc.ID], n.byDoor[to.ID]
	h.past.Attempts++
	h.out, h.outTo = n.day.Now(), t.is.Zone
	n.day.result.Attempts++
	batch := n.day.scene.Receivers[n.day.group[t.is.Destination.Number]].Batch
	for _, c := range n.calls {
		if c.to == t && len(c.docs) < batch {
			c.docs = append(c.docs, h)
			c.allow = min(c.allow, timeout)
			return
		}
	}
	t.is.Approaching++
	n.calls = append(n.calls, &call{node: n, life: n.life, to: t, docs: []*submission{h}, allow: timeout})
}

func (n *node) Reject(doc *scheduler.Message, comeBack float64) { n.answer(doc, "returned", comeBack) }
func (n *node) Fail(doc *scheduler.Message)                     { n.answer(doc, "abandoned", 0) }

func (n *node) answer(doc *scheduler.Message, what string, comeBack float64) {
	h := n.day.handed[doc.ID]
	h.over = true
	if h.out == 0 {
		delete(n.docs, h.id)
	}
	n.day.result.Finals[what]++
	n.day.tell(h, what, comeBack)
}

func (n *node) CancelUnsent(to *scheduler.Endpoint) {
	for _, c := range n.out {
		if c.to.module == to && !c.arrived && !c.done {
			c.back = true // its way ends here
			n.day.After(0, func() { n.do(func() { n.ended(c, receiver.Answer{Code: transport.ResultCancelled}) }) })
		}
	}
}

func (n *node) CloseIdle(to *scheduler.Endpoint) {
	if t := n.byDoor[to.ID]; t != nil {
		t.idle = nil
	}
}

func (n *node) ReleaseEndpoint(to *scheduler.Endpoint) { delete(n.byDoor, to.ID) }

func (n *node) Wake(in float64) {
	n.wake++
	wake, life := n.wake, n.life
	n.day.After(in, func() {
		if n.life != life || n.wake != wake {
			return
		}
		n.do(func() {
			n.policy.SetTime(n.day.Now())
			n.policy.TimerFired()
			n.settle()
		})
	})
}

func (n *node) WatchEndpoints() {}
func (n *node) Log(line string) { n.day.result.Modes++ }

// listed tells a forwarder of changed endpoints.
func (n *node) listed(targets []*receiver.Endpoint) {
	n.do(func() {
		n.policy.SetTime(n.day.Now())
		var lines []scheduler.EndpointUpdate
		for _, t := range targets {
			lines = append(lines, n.line(t))
			if t.Fault.Draining || t.Fault.Removed {
				n.targets[t.Destination.Number][t.Number].idle = nil
			}
		}
		n.policy.UpdateEndpoints(false, lines)
		n.settle()
	})
}
