package scheduler

// A 200 counts for a message only if the endpoint and the message's client still take the message to be open when it is
// written. Where that is in doubt, the message gets a notice as well, or in place of the delivery. A notice for a message
// that is over does no harm, whereas a message whose answer does not count and that has no notice is lost, and the next
// message of its ordering key overtakes it.

// A message that is delivered less than noticeMargin before its deadline may be late by its client's clock, and the
// client would then have no answer. Trade-off: the notice is unnecessary if the clocks agree.
const noticeMargin = 0.1 // seconds

// size returns the number of messages in a call.
func (c *call) size() int { return len(c.messages) }

// hasEnded reports whether a message of a call may have ended for its client: its time may be up by the client's clock,
// it has its final answer, or the client has left during the call without having read the reply.
func (c *call) hasEnded(message *Message, now float64) bool {
	return message.answered || now > message.deadline-noticeMargin || message.clientLeftAt >= c.began
}

// countEnded counts the messages of a call that may have ended for their clients. It is called when the call has ended, before
// the first of its messages gets its result.
func (c *call) countEnded(now float64) {
	for _, message := range c.messages {
		if c.hasEnded(message, now) {
			c.ended++
		}
	}
}

// isDoubtful reports whether an answer that ends a message may not count, because another message of its call has ended. The
// endpoint may take the call to be over since then, and not know of the others' time.
//
// Trade-off: no message is taken for delivered that is not; but the client of one that was delivered may have to submit it
// again, which does no harm, or hears that it failed.
func (s *Scheduler) isDoubtful(message *Message) bool {
	call := message.call
	if call == nil || message.answered || !message.AnsweredByNotice {
		return false
	}
	others := call.ended
	if call.hasEnded(message, s.now) {
		others--
	}
	return others > 0
}

// endInDoubt gives a message its final answer although its call was answered: rejected if submitting it again is harmless,
// otherwise failed.
func (s *Scheduler) endInDoubt(message *Message, call *call, outcome Outcome) {
	if outcome == Delivered {
		message.recordRun(call)
	}
	s.rejectOrFail(message, AnswerInDoubt)
}

// confirmLateDelivery requests a notice for a message that was delivered close to its deadline; see noticeMargin.
func (s *Scheduler) confirmLateDelivery(message *Message, outcome Outcome) {
	if outcome != Delivered || !message.AnsweredByNotice || message.answered {
		return
	}
	if s.now > message.deadline-noticeMargin {
		message.action, message.reason, message.awaitingAcknowledgement = actionFail, DeliveredLate, true
		s.changed = append(s.changed, message)
	}
}
