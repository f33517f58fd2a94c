package scheduler

import "math"

const (
	queuedCheckInterval = 0.02  // seconds between two calls of Reconcile while messages wait
	minWake             = 0.001 // seconds
)

// Reconcile decides what follows from the events since its last call, and calls the host.
func (s *Scheduler) Reconcile() {
	s.endExpired()
	s.serveRounds(false)
	s.serveRounds(true)
	s.shedLoad()
	s.updateModes()
	s.apply()
}

// apply brings the present state to the desired one: attempts, answers, the endpoint list, the next wake-up.
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
		s.nextPoll = math.Inf(1)
		s.host.WatchEndpoints()
	}
	if next := s.nextWake(); next < s.wakeAt {
		s.wakeAt = next
		s.host.Wake(math.Max(minWake, next-s.now))
	}
}

// applyAction has the host carry out a message's action.
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

// nextWake returns when Reconcile has to be called next if no event comes.
func (s *Scheduler) nextWake() float64 {
	next := s.nextPoll
	for message := range s.held.all() {
		if message.call == nil {
			return math.Min(next, s.now+queuedCheckInterval)
		}
		next = math.Min(next, message.deadline+deadlineGrace)
	}
	return next
}
