package scheduler

import (
	"math"
	"slices"
)

const (
	deadlineGrace       = 0.01 // seconds after the deadline by which the end of the call should have been reported
	lateLifetimeDivisor = 8    // a message may always be sent while its lifetime divided by this is left
)

// tooLate reports whether a message has less time left than most calls to its destination take, or whether its
// endpoints are blocked until its deadline.
//
// Trade-off: the messages of a long queue are not sent just too late, when each of them would time out and make a
// healthy endpoint look unhealthy, and messages that can no longer be sent are not kept. But a fast call might still
// have been in time. A recovered message that was not attempted yet is held as long as there is time, even if its
// endpoints are blocked. If it were sent too late, it would take a slot from other messages.
func (s *Scheduler) tooLate(message *Message) bool {
	destination := message.Dest
	enough := math.Max(minTimeLeft, math.Min(destination.latency.p90, message.lifetime/lateLifetimeDivisor))
	if message.deadline-s.now < enough {
		return true
	}
	if message.recoveredUntried && message.attempts == 0 || len(destination.endpoints) == 0 {
		return false
	}
	return !slices.ContainsFunc(destination.endpoints, func(endpoint *Endpoint) bool {
		return endpoint.state != Ready || endpoint.route.blockedUntil < message.deadline
	})
}

// endExpired rejects or fails the messages that can no longer be delivered.
func (s *Scheduler) endExpired() {
	for _, message := range s.collectDue() {
		if message.answered || message.call != nil && s.now < message.deadline+deadlineGrace {
			continue
		}
		if reason := s.undeliverable(message); reason != NoReason {
			s.cancelAttempt(message)
			s.rejectOrFail(message, reason)
		}
	}
}

// undeliverable returns why no further attempt of a message is made, or NoReason if an attempt is possible.
func (s *Scheduler) undeliverable(message *Message) AnswerReason {
	switch {
	case message.tooLarge:
		return TooLarge
	case s.repeatUnsafe(message):
		return RepeatUnsafe
	case s.tooLate(message):
		return OutOfTime
	case s.settings.MaxAttempts > 0 && message.attempts >= s.settings.MaxAttempts:
		return AttemptsExhausted
	}
	return NoReason
}

// repeatUnsafe reports whether a message may have run and a further attempt could run a second time.
func (s *Scheduler) repeatUnsafe(message *Message) bool {
	messageType := message.messageType
	if !message.mayHaveRun() || messageType.Idempotency == Idempotent {
		return false
	}
	if messageType.Idempotency == AtMostOnce || s.now > message.keyExpiredAt() {
		return true
	}
	// While no endpoint answers, a message whose key is soon forgotten is rejected early enough for its client to
	// submit it again while the key is known.
	return !messageType.DeduplicatedPerZone && s.now > message.keyExpiringAt() && s.allEjected(message.Dest)
}

// rejectOrFail gives a message its final answer: rejected if submitting it again is harmless, otherwise failed.
func (s *Scheduler) rejectOrFail(message *Message, reason AnswerReason) {
	messageType := message.messageType
	message.reason = reason
	ran := message.mayHaveRun() || message.call != nil
	keyForgotten := messageType.DeduplicatedPerZone || s.now > message.firstRanAt+messageType.DeduplicationWindow
	message.action = actionReject
	if ran && (messageType.Idempotency == AtMostOnce || messageType.Idempotency == IdempotentWithKey && keyForgotten) {
		message.action = actionFail
	}
	if !message.mayHaveRun() { // otherwise its key is soon forgotten, and the client must not wait
		message.retryAfter = s.rejectionRetryAfter()
	}
	message.awaitingAcknowledgement = s.settings.AwaitAcknowledgement
	s.finish(message)
	s.changed = append(s.changed, message)
}

// rejectionRetryAfter returns the Retry-After of a rejection in seconds.
func (s *Scheduler) rejectionRetryAfter() float64 {
	return math.Min(maxRejectionRetryAfter, s.settings.MaxRetryAfter)
}
