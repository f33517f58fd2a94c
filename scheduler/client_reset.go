package scheduler

// A client waits this long for the reply to a message, in seconds; a later reset of its connection leaves no reply
// unread. The second part is the time by which limits are longer on sockets.
const (
	clientPatience = 0.4
	socketSlack    = 0.05
)

// ClientReset reports that the client of a message has reset its connection at a time after the message was accepted,
// in seconds. If the client may not have read the reply, it submits the message again under another ID. A message
// without an attempt is therefore rejected, which does no harm to a client that has read it. So is a message whose first
// attempts never ran, if its call has not begun.
//
// Trade-off: the effect does not happen twice, but a client that had read the reply has to submit the message again.
func (s *Scheduler) ClientReset(message *Message, sinceReply float64) {
	if message.answered || message.recoveredUntried || sinceReply > clientPatience+socketSlack {
		return
	}
	message.clientLeftAt = s.now
	switch {
	case message.attempts == 0:
		s.rejectOrFail(message, ReplyUnread)
	case !message.mayHaveRun():
		s.cancelLater(message)
	}
}
