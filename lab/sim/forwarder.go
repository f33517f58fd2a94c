package sim

import (
	"slices"

	"spanflow/lab/audit"
	"spanflow/lab/receiver"
	"spanflow/lab/scenario"
	"spanflow/scheduler"
	"spanflow/transport"
)

// forwarder is a simulated forwarder. It consists of the policy and a simulation of the event loop, the write-ahead log
// and the upstream that the policy uses. It implements scheduler.Host.
type forwarder struct {
	run            *simRun
	number         int
	seed           uint64
	incarnation    int // number of the process; events of earlier processes are ignored
	up             bool
	stalledUntil   float64
	policy         Policy
	destinations   []*scheduler.Destination
	endpoints      [][]*knownEndpoint // by destination and endpoint number
	endpointByID   map[uint64]*knownEndpoint
	submissions    map[uint64]*submission
	unanswered     []*submission // in the order of acceptance; also contains finished ones until track compacts it
	pendingCalls   []*call       // calls of the current reconciliation that have not been sent
	openCalls      []*call
	timer          int      // number of the latest timer; earlier timers are ignored
	deferredEvents []func() // events that arrived during a stall
	deferReconcile bool     // true while deferred events are handled, so that the policy reconciles once after them
}

// knownEndpoint is a receiver's endpoint as a forwarder knows it.
type knownEndpoint struct {
	model     *receiver.Endpoint
	handle    *scheduler.Endpoint
	idleSince []float64 // time of the last use of each idle connection, in ascending order
}

// endpointID returns an endpoint's id, which combines the numbers of the destination and the endpoint.
func endpointID(destination, endpoint int) uint64 { return uint64(destination)<<32 | uint64(endpoint) }

// endpointOf returns the model of the endpoint with an id.
func (run *simRun) endpointOf(id uint64) *receiver.Endpoint {
	return run.destinations[id>>32].Endpoints[uint32(id)]
}

// start starts a process, which recovers the messages that the previous one left unanswered.
func (f *forwarder) start() {
	run := f.run
	f.incarnation++
	f.up = true
	f.submissions, f.endpointByID = map[uint64]*submission{}, map[uint64]*knownEndpoint{}
	f.pendingCalls, f.openCalls = nil, nil
	f.policy = run.newPolicy(run.scenario.SchedulerSettings(f.number), f.seed+uint64(f.incarnation), run.Now(), f)
	if p, ok := f.policy.(*baseline); ok && p.oracle {
		p.inspect = func(id uint64) (ready bool, inService int) {
			e := run.endpointOf(id)
			return e.Ready(f.number), e.InService()
		}
	}
	f.destinations, f.endpoints = nil, make([][]*knownEndpoint, len(run.destinations))
	var updates []scheduler.EndpointUpdate
	for i, destination := range run.destinations {
		f.destinations = append(f.destinations, f.policy.NewDestination(uint64(i)))
		for _, e := range destination.Endpoints {
			if !e.Fault.Removed {
				updates = append(updates, f.endpointUpdate(e))
			}
		}
	}
	f.policy.SetTime(run.Now())
	f.policy.UpdateEndpoints(true, updates)
	f.recover()
	f.reconcile()
}

// recover passes the messages that the previous process left unanswered to the policy.
func (f *forwarder) recover() {
	unanswered := f.unanswered
	f.unanswered = nil
	for _, s := range unanswered {
		if s.finished {
			continue
		}
		if s.attemptStart > 0 { // an attempt was open when that process ended
			s.recordPossibleExecution()
			s.attemptStart = 0
		}
		f.track(s)
		f.policy.Recover(s.message, s.effect.typeIndex, s.expiry-f.run.Now(), s.recovered)
	}
}

// recordPossibleExecution records that the open attempt may have been executed, unless an earlier one may have been.
func (s *submission) recordPossibleExecution() {
	if s.recovered.FirstRanAt == 0 {
		s.recovered.FirstRanAt, s.recovered.Zone = s.attemptStart, s.attemptZone
	}
}

// endpointUpdate returns an endpoint's current entry of the endpoint list, and adds the endpoint if the forwarder does
// not know it.
func (f *forwarder) endpointUpdate(e *receiver.Endpoint) scheduler.EndpointUpdate {
	d := e.Destination.Number
	for len(f.endpoints[d]) <= e.Number {
		f.endpoints[d] = append(f.endpoints[d], nil)
	}
	known := f.endpoints[d][e.Number]
	if known == nil {
		known = &knownEndpoint{model: e, handle: &scheduler.Endpoint{ID: endpointID(d, e.Number)}}
		f.endpoints[d][e.Number] = known
		f.endpointByID[known.handle.ID] = known
	}
	update := scheduler.EndpointUpdate{Endpoint: known.handle, Destination: f.destinations[d], Kind: f.run.group[d], Zone: e.Zone}
	if f.run.scenario.Dispatch.ListedRates != "none" {
		update.Rate = e.Destination.Behavior.Rate
	}
	switch {
	case e.Fault.Removed:
		update.State = scheduler.Removed
	case e.Fault.Draining:
		update.State = scheduler.Draining
	}
	return update
}

// updateEndpoints notifies the forwarder of changed endpoints.
func (f *forwarder) updateEndpoints(endpoints []*receiver.Endpoint) {
	f.do(func() {
		f.policy.SetTime(f.run.Now())
		var updates []scheduler.EndpointUpdate
		for _, e := range endpoints {
			updates = append(updates, f.endpointUpdate(e))
			if e.Fault.Draining || e.Fault.Removed {
				f.endpoints[e.Destination.Number][e.Number].idleSince = nil
			}
		}
		f.policy.UpdateEndpoints(false, updates)
		f.reconcile()
	})
}

// compactionThreshold is the length of forwarder.unanswered above which track may remove finished submissions.
const compactionThreshold = 64

// track adds a submission to those of the current process.
func (f *forwarder) track(s *submission) {
	s.message = &scheduler.Message{ID: s.id, Tenant: s.effect.tenant, Key: s.effect.key, Dest: f.destinations[s.effect.destination], Size: messageSize}
	f.submissions[s.id] = s
	f.unanswered = append(f.unanswered, s)
	if len(f.unanswered) > compactionThreshold && len(f.unanswered) > 4*len(f.submissions) {
		f.unanswered = slices.DeleteFunc(f.unanswered, func(s *submission) bool { return s.finished })
	}
}

// reconcile lets the policy decide and sends the calls that it adds to pendingCalls.
func (f *forwarder) reconcile() {
	if f.deferReconcile {
		return
	}
	f.policy.Reconcile()
	calls := f.pendingCalls
	f.pendingCalls = nil
	for _, c := range calls {
		c.begin()
	}
}

// admit submits an effect as a new message, which the policy admits or refuses.
func (f *forwarder) admit(e *effect, expiry float64) {
	run := f.run
	f.policy.SetTime(run.Now())
	left := expiry - run.Now()
	run.lastID++
	id := run.lastID
	if e.id == 0 {
		e.id = id
	}
	admitted, retryAfter := f.policy.Admit(messageSize, left)
	if !admitted {
		run.result.Refused++
		run.resubmit(e, retryAfter)
		return
	}
	run.log.MessageSubmitted(auditMessage(e, id, f.number, run.Now(), expiry))
	run.log.MessageAccepted(id)
	run.effects[id] = e
	run.result.Accepted++
	s := &submission{id: id, effect: e, expiry: expiry}
	run.submissions[id] = s
	f.track(s)
	f.policy.Accept(s.message, e.typeIndex, left)
	f.reconcile()
}

// auditMessage returns the audit's record of a submission.
func auditMessage(e *effect, id uint64, forwarder int, now, expiry float64) *audit.Message {
	return &audit.Message{
		ID:             id,
		FirstID:        e.id,
		IdempotencyKey: e.idempotencyKey,
		Key:            e.key,
		Type:           e.typeIndex,
		AtMostOnce:     e.messageType.Idempotency == scenario.AtMostOnce,
		Keyed:          e.idempotencyKey != 0,
		Destination:    e.destination,
		Forwarder:      forwarder,
		SubmittedAt:    now,
		Expiry:         expiry,
	}
}

// callEnded handles the end of a call. If the call ended without an answer, a contains only the result code.
func (f *forwarder) callEnded(c *call, a receiver.Answer) {
	if c.done || c.incarnation != f.incarnation {
		return
	}
	now := f.run.Now()
	c.done = true
	f.openCalls = slices.DeleteFunc(f.openCalls, func(other *call) bool { return other == c })
	switch a.Code {
	case transport.ResultOK, transport.ResultServerError, transport.ResultRetryAfter, transport.ResultOverloaded:
		c.endpoint.idleSince = append(c.endpoint.idleSince, now)
	}
	outcome, _ := a.Code.Outcome()
	if outcome != scheduler.Delivered && outcome != scheduler.NotSent && outcome != scheduler.NotBegun {
		c.endpoint.model.ForwarderSawFailure(f.number)
	}
	f.policy.SetTime(now)
	for _, s := range c.submissions {
		f.attemptEnded(s, a, now-c.startedAt)
	}
	f.reconcile()
}

// attemptEnded records the result of an attempt of a submission and passes it to the policy.
func (f *forwarder) attemptEnded(s *submission, a receiver.Answer, latency float64) {
	f.run.result.AttemptResults[a.Code.String()]++
	if a.Code.MayHaveRun() {
		s.recordPossibleExecution()
	}
	s.attemptStart = 0
	outcome, final := a.Code.Outcome()
	if outcome == scheduler.NotBegun {
		s.recovered.Attempts--
	}
	if final {
		if outcome == scheduler.Delivered && !s.finished { // a finished message has been answered, e.g. at its expiry
			f.run.log.FinalAnswer(s.id, answerDelivered)
		}
		s.finished = true
	}
	f.policy.AttemptEnded(s.message, scheduler.AttemptResult{
		Outcome:       outcome,
		Final:         final,
		Latency:       latency,
		RetryAfter:    a.RetryAfter,
		ReportedLimit: a.ReportedLimit,
		ReportedShare: a.ReportedRemaining,
	})
	if s.finished {
		delete(f.submissions, s.id)
	}
}
