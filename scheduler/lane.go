package scheduler

// lane is a tenant's messages that wait for their first call.
type lane struct {
	queued     int         // messages, those behind others of their key included
	queues     []typeQueue // by type, of those types that were seen here
	inRotation bool        // it is in Destination.lanes
	byValue    bool        // the latest message was chosen by value
}

// typeQueue is the messages of one type in a lane that are first of their key: a heap in the order of admission.
type typeQueue struct {
	messageType *MessageType
	messages    []*Message
}

var byRank = ordering[*Message]{
	before:   func(a, b *Message) bool { return a.rank < b.rank },
	position: func(m *Message) *int32 { return &m.queuePosition },
}

// assignLane assigns a fresh message to a lane: its tenant's, or that of the messages beyond the quotas.
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

// nextRank returns the next number in the order of admission and of coming back as a retry.
func (s *Scheduler) nextRank() uint64 {
	s.lastRank++
	return s.lastRank
}

// enqueue makes a message wait for a call, in its lane or, if it has none, among the retries.
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

// dequeue ends a message's waiting. It can come back only as a retry.
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

// makeSelectable lets rounds find a waiting message that is first of its key.
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

// mostValuable returns the accepted message of a lane that is worth most now, of several the earliest. While value does
// not change with age that is the first of a type; else all that waits in the lane is looked at.
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
