package scheduler

// callsToGrow is the number of calls of the allowed size that a destination has to take before a larger one is tried.
const callsToGrow = 20

// sizeLimit is what was learned of the number of messages that a destination takes in one call. The limit of its kind
// holds for all destinations of the kind; one of them may take less, for example because something on the way limits the
// size of a body.
type sizeLimit struct {
	messages int // maximum number of messages in one call; 0 means that only the limit of the kind is known
	taken    int // calls of that size since the limit was changed
}

// maxCallSize returns the maximum number of messages in the next call.
func (d *Destination) maxCallSize() int {
	if d.sizeLimit.messages > 0 {
		return min(d.sizeLimit.messages, d.batchSize)
	}
	return d.batchSize
}

// refusesCall reports whether the destination has turned away a call as a whole, because of its size or form.
func (o Outcome) refusesCall() bool { return o == CallUnreadable || o == CallTooLarge }

// recordCallSize updates what is known of the size of calls after a call. If a joined call is turned away as a whole, the
// next ones have at most half its messages; once some calls of that size were taken, one more is tried.
//
// Trade-off: a destination that takes less than the limit of its kind gets all its messages, but from time to time a call
// in vain.
func (d *Destination) recordCallSize(call *call, outcome Outcome) {
	limit := &d.sizeLimit
	switch {
	case outcome.refusesCall() && call.size() > 1:
		half := call.size() / 2
		if limit.messages > 0 {
			half = min(half, limit.messages) // several calls may have been in flight
		}
		*limit = sizeLimit{messages: half}
	case outcome == Delivered && limit.messages > 0 && call.size() >= limit.messages:
		if limit.taken++; limit.taken >= callsToGrow {
			*limit = sizeLimit{messages: limit.messages + 1}
		}
		if limit.messages >= d.batchSize {
			*limit = sizeLimit{}
		}
	}
}

// recordCallSize updates a message after its call was turned away as a whole. A joined call costs its messages no attempt.
// A message that is too large by itself gets its final answer at once.
func (m *Message) recordCallSize(call *call, outcome Outcome) {
	switch {
	case outcome.refusesCall() && call.size() > 1:
		m.attempts--
	case outcome == CallTooLarge:
		m.tooLarge = true
	}
}
