package scheduler

import "math"

// A call is chosen before its connection is established, and what allowed it may end in between. Each of its messages is
// taken out of it, or the call as a whole is cancelled (CancelUnsent), as soon as the scheduler learns of that. The host
// decides whether this comes before the first byte: it takes a message out of its call only if nothing of the call has been
// sent. Only then has the message surely not run, and may it be rejected. Otherwise the attempt has begun, and the message's
// final answer regards it as one that may run.

// LatestStart returns the time on the clock of SetTime after which a call with the message must not begin any more, however
// late the scheduler's next Reconcile comes: its deadline, or the time at which the destination forgets its idempotency key.
func (m *Message) LatestStart() float64 {
	if !m.hasUsedKey() {
		return m.deadline
	}
	return math.Min(m.deadline, m.firstRanAt+m.messageType.DeduplicationWindow-knownKeyMargin)
}

// cancelAttempt takes a message out of its call if nothing of the call has been sent.
func (s *Scheduler) cancelAttempt(message *Message) {
	if message.call != nil && s.host.CancelAttempt(message) {
		s.markUpdated(message.Dest)
		s.leaveUnsentCall(message)
		s.leaveKeyQueue(message)
	}
}

// leaveUnsentCall takes a message out of its call, of which nothing has been sent. The attempt does not count.
func (s *Scheduler) leaveUnsentCall(message *Message) {
	call := message.call
	message.call = nil
	message.attempts--
	call.messages = removeFirst(call.messages, message)
	s.endCall(call)
}

// cancelLater makes the next Reconcile take a message out of its call if nothing of the call has been sent.
func (s *Scheduler) cancelLater(message *Message) {
	if message.call != nil {
		s.departed = append(s.departed, message)
	}
}

// cancelBeforeStop cancels the unsent calls to destinations to which no call may begin any more, as it would probably still be
// in flight when the process ends. The next process begins them.
func (s *Scheduler) cancelBeforeStop() {
	if s.stopAt == 0 || s.callsInFlight == 0 {
		return
	}
	for _, destination := range s.destinations {
		if destination.callsInFlight == 0 || !s.stopsBeforeAnswer(destination) {
			continue
		}
		for _, endpoint := range destination.endpoints {
			s.cancelUnsentCalls(endpoint)
		}
	}
}

// stopsBeforeAnswer reports whether the process stops before a call to a destination that begins now is likely to be answered.
func (s *Scheduler) stopsBeforeAnswer(destination *Destination) bool {
	return s.stopAt > 0 && s.now+destination.latency.p90 > s.stopAt
}

// cancelDeparted takes the messages whose clients have left out of their calls. Those that have no final answer yet are
// rejected, as they have surely not run.
func (s *Scheduler) cancelDeparted() {
	for _, message := range s.departed {
		if message.call == nil { // its attempt has ended meanwhile
			continue
		}
		s.cancelAttempt(message)
		if message.call == nil && !message.answered {
			s.rejectOrFail(message, ReplyUnread)
		}
	}
	clear(s.departed)
	s.departed = s.departed[:0]
}
