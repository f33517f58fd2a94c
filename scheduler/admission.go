package scheduler

import "math"

// Limits on clients, in seconds. The frontends enforce them.
const (
	CommandTimeout    = 2.7 // time in which a client has to send a complete command
	ClientIdleTimeout = 3.0 // time that a client may stay connected between two commands
)

const (
	minTimeLeft            = 0.04 // seconds before the deadline after which nothing is sent, so that the answer is in time
	quotaBurst             = 1    // a tenant may use its rate for this many seconds at once
	maxRejectionRetryAfter = 2    // longest Retry-After of a rejection in seconds; the settings may lower it
)

// Admit reports whether a message of size bytes may be accepted timeLeft seconds before its deadline. If not,
// retryAfter is the number of seconds after which it may be submitted again.
func (s *Scheduler) Admit(size int, timeLeft float64) (accepted bool, retryAfter float64) {
	queueFull := s.held.count >= s.settings.QueueCapacity
	storeFull := s.settings.MaxStoredBytes > 0 && s.storedBytes+size > s.settings.MaxStoredBytes
	if queueFull || storeFull || timeLeft <= minTimeLeft {
		return false, s.rejectionRetryAfter()
	}
	return true, 0
}

// Accept queues a message timeLeft seconds before its deadline; messageType is an index into Settings.Types. The
// message belongs to the scheduler until it is Finished.
func (s *Scheduler) Accept(message *Message, messageType int, timeLeft float64) {
	message.messageType = &s.settings.Types[messageType]
	message.deadline, message.lifetime = s.now+timeLeft, timeLeft
	message.sequence = s.nextRank()
	message.rank = message.sequence
	s.held.add(message)
	s.storedBytes += message.Size
	destination := message.Dest
	destination.held++
	destination.accepted++
	s.joinKeyQueue(message)
	s.markUpdated(destination)
	s.assignLane(message)
	destination.addToShedClass(message)
	s.enqueue(message)
	s.trackQueued(message)
}

// takeQuota counts a message against this forwarder's equal share of a tenant's quota, and reports whether that share
// was already used up. Messages over the quota are sent after those of other tenants that are within their quotas, so
// that a burst of one tenant does not delay the others.
func (s *Scheduler) takeQuota(tenant int) (overQuota bool) {
	if tenant >= len(s.settings.TenantRate) {
		return false
	}
	rate := s.settings.TenantRate[tenant] / float64(s.settings.Forwarders)
	usedUntil := math.Max(s.quotaUsedUntil[tenant], s.now-quotaBurst)
	if rate <= 0 || usedUntil > s.now {
		return true
	}
	s.quotaUsedUntil[tenant] = usedUntil + 1/rate
	return false
}

// Recover takes over a message that an earlier process of this forwarder accepted. It is called in the order of
// admission. An attempt that was in flight when that process ended may have run, and the next attempt is a retry. A
// message that can no longer be delivered gets its final answer in the next Reconcile.
func (s *Scheduler) Recover(message *Message, messageType int, timeLeft float64, recovered RecoveredState) {
	s.Accept(message, messageType, timeLeft)
	switch {
	case recovered.CallerGone:
		// The caller may have submitted another message for the same effect. Trade-off: the effect cannot happen twice,
		// but it does not happen at all if the caller relied on this message. If the message may still run, its
		// ordering key pauses.
		if recovered.Attempts > 0 && message.keyQueue != nil {
			s.pauseKey(message.keyQueue)
		}
		s.finish(message)
	case recovered.Answered: // it is not sent again
		message.awaitingAcknowledgement = true
		s.finish(message)
	default:
		message.attempts = recovered.Attempts
		message.firstRanAt, message.firstRanZone = recovered.FirstRanAt, recovered.Zone
		message.recoveredUntried = recovered.Attempts == 0
		s.resume(message)
	}
}

// LoadStored queues a message that was loaded from the backlog store, with its history. It must be called before any
// newer message with the same ordering key is accepted.
func (s *Scheduler) LoadStored(message *Message, messageType int, timeLeft float64, recovered RecoveredState) {
	if recovered.Attempts > 0 {
		s.Recover(message, messageType, timeLeft, recovered)
	} else {
		s.Accept(message, messageType, timeLeft)
	}
}

// AnswerWithoutCall takes a message that was loaded from the backlog store, with its history, and makes the next
// Reconcile reject or fail it without a call.
func (s *Scheduler) AnswerWithoutCall(message *Message, messageType int, timeLeft float64, recovered RecoveredState) {
	s.Recover(message, messageType, timeLeft, recovered)
	s.UncountDemand(message.Dest)
	if !message.answered {
		s.rejectOrFail(message, AnsweredWithoutCall)
	}
}

// Withdraw removes a message that its client no longer wants. The message gets no final answer. If it is in a call, the next
// Reconcile takes it out unless the call has begun.
func (s *Scheduler) Withdraw(message *Message) {
	s.cancelLater(message)
	s.finish(message)
}

// NoticeAcknowledged reports that the client acknowledged the final answer of a message.
func (s *Scheduler) NoticeAcknowledged(message *Message) {
	message.awaitingAcknowledgement = false
	s.leaveKeyQueue(message)
}

// finish marks a message as answered and removes it from all queues. A call with the message may still be in flight.
func (s *Scheduler) finish(message *Message) {
	if message.answered {
		return
	}
	message.answered = true
	message.Dest.held--
	s.held.remove(message)
	s.unstage(message)
	message.leaveShedClass()
	s.dequeue(message)
	s.leaveKeyQueue(message)
}
