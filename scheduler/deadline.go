package scheduler

import (
	"math"
	"slices"
)

const (
	deadlineGrace       = 0.01 // seconds after the deadline: the end of the call should have come
	lateLifetimeDivisor = 8    // a message may be sent while its lifetime divided by this is left
)

// tooLate reports whether a message has less time left than calls to its destination mostly take, or its endpoints are
// blocked for.
//
// Trade-off: a long queue is not sent just too late, each message a timeout that makes its endpoint look bad, and what
// cannot be sent any more is not kept; fast calls could still have been made. A message that an earlier process had not
// tried is held while there is time, whatever blocks its endpoints; sent too late it would take the place of others.
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

// endExpired answers the messages that cannot be delivered any more.
func (s *Scheduler) endExpired() {
	for _, message := range s.collectDue() {
		if message.answered || message.call != nil && s.now < message.deadline+deadlineGrace {
			continue
		}
		if reason := s.undeliverable(message); reason != NoReason {
			s.rejectOrFail(message, reason)
		}
	}
}

// undeliverable returns why no further attempt of a message is made, NoReason if one may be.
func (s *Scheduler) undeliverable(message *Message) AnswerReason {
	switch {
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
	// While nothing answers, a message whose key is soon forgotten goes back; its client may still repeat it.
	return !messageType.DeduplicatedPerZone && s.now > message.keyExpiringAt() && s.allEjected(message.Dest)
}

// rejectOrFail gives a message its final answer: a rejection where a second try is harmless, else a failure.
func (s *Scheduler) rejectOrFail(message *Message, reason AnswerReason) {
	messageType := message.messageType
	message.reason = reason
	ran := message.mayHaveRun() || message.call != nil
	keyForgotten := messageType.DeduplicatedPerZone || s.now > message.firstRanAt+messageType.DeduplicationWindow
	message.action = actionReject
	if ran && (messageType.Idempotency == AtMostOnce || messageType.Idempotency == IdempotentWithKey && keyForgotten) {
		message.action = actionFail
	}
	if !message.mayHaveRun() { // else its key is soon forgotten
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
