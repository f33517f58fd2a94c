package sim

import (
	"slices"

	"spanflow/lab/receiver"
	"spanflow/scheduler"
	"spanflow/transport"
)

// Send adds a message to a pending call to the same endpoint that has room for it, or to a new pending call.
func (f *forwarder) Send(m *scheduler.Message, to *scheduler.Endpoint, timeout float64) {
	s, endpoint := f.run.submissions[m.ID], f.endpointByID[to.ID]
	s.recovered.Attempts++
	s.attemptStart, s.attemptZone = f.run.Now(), endpoint.model.Zone
	f.run.result.Attempts++
	batch := f.run.scenario.Receivers[f.run.group[endpoint.model.Destination.Number]].Batch
	for _, c := range f.pendingCalls {
		if c.endpoint == endpoint && len(c.submissions) < batch {
			c.submissions = append(c.submissions, s)
			c.timeout = min(c.timeout, timeout)
			return
		}
	}
	endpoint.model.Approaching++
	f.pendingCalls = append(f.pendingCalls,
		&call{forwarder: f, incarnation: f.incarnation, endpoint: endpoint, submissions: []*submission{s}, timeout: timeout})
}

// Reject answers the client that the message is rejected and may be submitted again after retryAfter seconds.
func (f *forwarder) Reject(m *scheduler.Message, retryAfter float64) {
	f.finish(m, answerRejected, retryAfter)
}

// Fail answers the client that the message has failed.
func (f *forwarder) Fail(m *scheduler.Message) { f.finish(m, answerFailed, 0) }

// finish gives a message its final answer. The submission stays tracked while it has an open attempt.
func (f *forwarder) finish(m *scheduler.Message, answer string, retryAfter float64) {
	s := f.run.submissions[m.ID]
	s.finished = true
	if s.attemptStart == 0 {
		delete(f.submissions, s.id)
	}
	f.run.result.FinalAnswers[answer]++
	f.run.notifyClient(s, answer, retryAfter)
}

// CancelUnsent cancels the open calls to an endpoint that have not arrived there.
func (f *forwarder) CancelUnsent(to *scheduler.Endpoint) {
	for _, c := range f.openCalls {
		if c.endpoint.handle == to && !c.arrived && !c.done {
			c.cancelled = true
			f.run.After(0, func() {
				f.do(func() { f.callEnded(c, receiver.Answer{Code: transport.ResultCancelled}) })
			})
		}
	}
}

// CancelAttempt takes a message out of its open call if that has not arrived at its endpoint, and reports whether it did.
func (f *forwarder) CancelAttempt(m *scheduler.Message) bool {
	s := f.run.submissions[m.ID]
	for _, c := range f.openCalls {
		i := slices.Index(c.submissions, s)
		if i < 0 || c.arrived || c.done || c.cancelled {
			continue
		}
		c.submissions = slices.Delete(c.submissions, i, i+1)
		s.attemptStart = 0
		s.recovered.Attempts--
		if len(c.submissions) == 0 {
			c.done = true
			f.openCalls = slices.DeleteFunc(f.openCalls, func(other *call) bool { return other == c })
		}
		return true
	}
	return false
}

// CloseIdle closes all idle connections to an endpoint.
func (f *forwarder) CloseIdle(to *scheduler.Endpoint) {
	if e := f.endpointByID[to.ID]; e != nil {
		e.idleSince = nil
	}
}

// ReleaseEndpoint removes an endpoint that the scheduler no longer uses.
func (f *forwarder) ReleaseEndpoint(to *scheduler.Endpoint) { delete(f.endpointByID, to.ID) }

// Wake sets the timer, replacing any earlier one. in is in seconds.
func (f *forwarder) Wake(in float64) {
	f.timer++
	timer, incarnation := f.timer, f.incarnation
	f.run.After(in, func() {
		if f.incarnation != incarnation || f.timer != timer {
			return
		}
		f.do(func() {
			f.policy.SetTime(f.run.Now())
			f.policy.TimerFired()
			f.reconcile()
		})
	})
}

// WatchEndpoints does nothing, as simRun.announce notifies all forwarders of every change.
func (f *forwarder) WatchEndpoints() {}

// Log counts the scheduler's log lines, which report its mode changes.
func (f *forwarder) Log(string) { f.run.result.ModeChanges++ }
