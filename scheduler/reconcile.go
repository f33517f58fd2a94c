package scheduler

import "math"

const (
	queuedCheckInterval = 0.02  // longest time in seconds between two calls of Reconcile while messages are queued
	minWake             = 0.001 // shortest wake-up time in seconds
)

// Reconcile makes the decisions that follow from the events since its last call, and calls the host to carry them out.
func (s *Scheduler) Reconcile() {
	s.expireLease()
	s.cancelBeforeStop()
	s.cancelDeparted()
	s.endExpired()
	s.serveRounds(false)
	s.serveRounds(true)
	s.shedLoad()
	s.updateModes()
	s.apply()
}

// apply calls the host for all decisions: cancelled calls, attempts, final answers, closed idle connections, a request
// for the endpoint list and the next wake-up.
func (s *Scheduler) apply() {
	for _, endpoint := range s.cancelUnsent {
		s.host.CancelUnsent(endpoint)
	}
	for _, message := range s.changed {
		s.applyAction(message)
	}
	for _, endpoint := range s.closeIdle {
		s.host.CloseIdle(endpoint)
		endpoint.idleConnection = false
	}
	s.changed, s.closeIdle, s.cancelUnsent = s.changed[:0], s.closeIdle[:0], s.cancelUnsent[:0]
	if s.now >= s.nextPoll {
		s.polledAt, s.nextPoll = s.now, math.Inf(1)
		s.host.WatchEndpoints()
	}
	if next := s.nextWake(); next < s.wakeAt {
		s.wakeAt = next
		s.host.Wake(math.Max(minWake, next-s.now))
	}
}

// applyAction calls the host for the action of one message.
func (s *Scheduler) applyAction(message *Message) {
	switch message.action {
	case actionSend:
		s.host.Send(message, message.endpoint, message.timeout)
	case actionReject:
		s.host.Reject(message, message.retryAfter)
	case actionFail:
		s.host.Fail(message)
	}
	message.action = actionNone
}

// nextWake returns the time at which Reconcile has to be called if no event comes first.
func (s *Scheduler) nextWake() float64 {
	next := s.nextPoll
	if s.callsInFlight > 0 && !s.lease.expired {
		next = math.Min(next, s.lease.expiresAt)
	}
	for message := range s.held.all() {
		if message.call == nil {
			return math.Min(next, s.now+queuedCheckInterval)
		}
		next = math.Min(next, message.deadline+deadlineGrace)
	}
	return next
}
