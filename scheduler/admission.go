package scheduler

import "math"

// Limits on clients, in seconds. The frontends enforce them.
const (
	CommandTimeout    = 2.7 // seconds in which a client has to send a whole command
	ClientIdleTimeout = 3.0 // seconds that a client may be connected between two commands
)

const (
	minTimeLeft            = 0.04 // seconds before the deadline: nothing is sent after, so that the answer is in time
	quotaBurst             = 1    // seconds of a tenant's rate that it may use at once
	maxRejectionRetryAfter = 2    // seconds: longest Retry-After of a rejection, if the settings allow it
)

// Admit reports whether a message of size bytes, with left seconds to its deadline, may be accepted, and if not, after
// how many seconds it may be submitted again.
func (s *Scheduler) Admit(size int, left float64) (accepted bool, retryAfter float64) {
	queueFull := s.held.count >= s.settings.QueueCapacity
	storeFull := s.settings.MaxStoredBytes > 0 && s.storedBytes+size > s.settings.MaxStoredBytes
	if queueFull || storeFull || left <= minTimeLeft {
		return false, s.rejectionRetryAfter()
	}
	return true, 0
}

// Accept takes a message with left seconds to its deadline; messageType is an index into Settings.Types. The message
// belongs to the scheduler until it is Finished.
func (s *Scheduler) Accept(message *Message, messageType int, left float64) {
	message.messageType = &s.settings.Types[messageType]
	message.deadline, message.lifetime = s.now+left, left
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

// takeQuota counts a message against a tenant's quota, as far as this forwarder's even part of it goes, and reports
// whether the quota was used up already. A burst of one tenant then waits behind messages that are within the quotas of
// others.
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

// Recover takes a message that an earlier process of this forwarder had accepted, in the order of admission. An attempt
// that was in flight then may have run, and the next one is a retry. A message that cannot be delivered any more gets
// its final answer from the next Reconcile.
func (s *Scheduler) Recover(message *Message, messageType int, left float64, recovered RecoveredState) {
	s.Accept(message, messageType, left)
	switch {
	case recovered.CallerGone:
		// The caller may have submitted another message for the same effect. Trade-off: there is no second effect, but
		// a caller that relied on this message loses it. If it may still run, its key pauses.
		if recovered.Attempts > 0 && message.keyQueue != nil {
			s.pauseKey(message.keyQueue)
		}
		s.finish(message)
	case recovered.Answered: // it is not sent any more
		message.awaitingAcknowledgement = true
		s.finish(message)
	default:
		message.attempts = recovered.Attempts
		message.firstRanAt, message.firstRanZone = recovered.FirstRanAt, recovered.Zone
		message.recoveredUntried = recovered.Attempts == 0
		s.resume(message)
	}
}

// LoadStored takes a message that was stored elsewhere, with its history, before anything newer of its key.
func (s *Scheduler) LoadStored(message *Message, messageType int, left float64, recovered RecoveredState) {
	if recovered.Attempts > 0 {
		s.Recover(message, messageType, left, recovered)
	} else {
		s.Accept(message, messageType, left)
	}
}

// AnswerWithoutCall takes a message that was stored elsewhere, with its history, and has the next Reconcile answer it without a
// call.
func (s *Scheduler) AnswerWithoutCall(message *Message, messageType int, left float64, recovered RecoveredState) {
	s.Recover(message, messageType, left, recovered)
	s.UncountDemand(message.Dest)
	if !message.answered {
		s.rejectOrFail(message, AnsweredWithoutCall)
	}
}

// Withdraw takes back a message that its client does not want any more. It gets no final answer.
func (s *Scheduler) Withdraw(message *Message) { s.finish(message) }

// NoticeAcknowledged reports that a message's final answer was acknowledged.
func (s *Scheduler) NoticeAcknowledged(message *Message) {
	message.awaitingAcknowledgement = false
	s.leaveKeyQueue(message)
}

// finish marks a message as answered and takes it out of all queues; a call that carries it may still be in flight.
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
