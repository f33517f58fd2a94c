package scheduler

// lane holds one tenant's messages that are queued for their first call.
type lane struct {
	queued     int         // number of messages, including those behind others of their ordering key
	queues     []typeQueue // one for each message type seen in this lane
	inRotation bool        // the lane is in Destination.lanes
	byValue    bool        // the latest message was chosen by value
}

// typeQueue holds those messages of one type in a lane that are the first of their ordering key. It is a heap in the
// order of admission.
type typeQueue struct {
	messageType *MessageType
	messages    []*Message
}

var byRank = ordering[*Message]{
	before:   func(a, b *Message) bool { return a.rank < b.rank },
	position: func(m *Message) *int32 { return &m.queuePosition },
}

// assignLane assigns a fresh message to its tenant's lane, or to the lane for messages beyond the quotas.
func (s *Scheduler) assignLane(message *Message) {
	destination := message.Dest
	if message.overQuota = s.takeQuota(message.Tenant); message.overQuota {
		message.lane = &destination.overQuotaLane
		return
	}
	lane := &destination.tenantLanes[min(message.Tenant, len(s.settings.TenantRate))]
	message.lane = lane
	if !lane.inRotation {
		lane.inRotation = true
		destination.lanes = append(destination.lanes, lane)
	}
}

// nextRank returns the next Message.rank. Messages get one when they are admitted and again when they become a retry.
func (s *Scheduler) nextRank() uint64 {
	s.lastRank++
	return s.lastRank
}

// enqueue queues a message for a call, in its lane or, if it has none, among the retries.
func (s *Scheduler) enqueue(message *Message) {
	message.queued = true
	message.Dest.queued++
	if message.lane != nil {
		message.lane.queued++
	}
	if message.keyQueue == nil || message.keyQueue.first == message {
		message.makeSelectable()
	}
	if !message.Dest.inRing {
		message.Dest.inRing = true
		s.ring.add(message.Dest)
	}
}

// dequeue removes a message from its queue. It can be queued again only as a retry.
func (s *Scheduler) dequeue(message *Message) {
	if !message.queued {
		return
	}
	message.queued = false
	if message.Dest.queued--; message.Dest.queued == 0 {
		s.ring.unpark(message.Dest.ringNode)
	}
	if message.lane == nil {
		message.Dest.retries.remove(message)
		return
	}
	message.lane.queued--
	message.lane.remove(message)
	message.lane = nil
}

// makeSelectable enters a queued message that is the first of its ordering key into the heap from which calls are
// filled.
func (m *Message) makeSelectable() {
	if m.lane == nil {
		m.Dest.retries.add(m)
	} else {
		m.lane.add(m)
	}
}

func (l *lane) add(message *Message) {
	for i := range l.queues {
		if l.queues[i].messageType == message.messageType {
			byRank.push(&l.queues[i].messages, message)
			return
		}
	}
	q := typeQueue{messageType: message.messageType}
	byRank.push(&q.messages, message)
	l.queues = append(l.queues, q)
}

func (l *lane) remove(message *Message) {
	for i := range l.queues {
		if l.queues[i].messageType == message.messageType {
			byRank.remove(&l.queues[i].messages, message)
		}
	}
}

// first returns the earliest message that is accepted, nil if none is.
func (l *lane) first(accept func(*Message) bool) *Message {
	var next *Message
	for _, q := range l.queues {
		if message, found := byRank.first(q.messages, accept); found && (next == nil || message.rank < next.rank) {
			next = message
		}
	}
	return next
}

// mostValuable returns the accepted message of a lane with the highest current value or, on a tie, the earliest one. If
// value does not change with age, only the first message of each type is compared; otherwise all messages of the lane
// that are first of their ordering key.
func (s *Scheduler) mostValuable(lane *lane, accept func(*Message) bool) *Message {
	var next *Message
	consider := func(message *Message) {
		if next == nil || s.moreValuable(message, next) || !s.moreValuable(next, message) && message.rank < next.rank {
			next = message
		}
	}
	for _, q := range lane.queues {
		if !s.settings.HalvingValue {
			if message, found := byRank.first(q.messages, accept); found {
				consider(message)
			}
			continue
		}
		for _, message := range q.messages {
			if accept(message) {
				consider(message)
			}
		}
	}
	return next
}
