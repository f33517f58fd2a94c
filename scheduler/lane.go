package scheduler

import "math"

// lane is a tenant's messages that wait for their first call.
type lane struct {
	waiting    int         // messages, those behind others of their key included
	queues     []typeQueue // by type, of those types that came here
	inRotation bool
	byValue    bool // the latest turn went by value
}

// typeQueue is the messages of one type in a lane that no other of their key is before: a heap in the order of taking.
type typeQueue struct {
	messageType *MessageType
	messages    []*Message
}

// retryLane is a destination's messages that wait for a further call, without those behind others of their key.
type retryLane struct {
	messages []*Message // heap in the order of coming back
	urgent   []*Message // the same messages, a heap by the time from which they go before fresh ones
}

var (
	byRank = ordering[*Message]{
		before:   func(a, b *Message) bool { return a.rank < b.rank },
		position: func(message *Message) *int32 { return &message.queuePosition },
	}
	byUrgency = ordering[*Message]{
		before:   func(a, b *Message) bool { return a.urgentAt() < b.urgentAt() },
		position: func(message *Message) *int32 { return &message.urgencyPosition },
	}
)

func (s *Scheduler) nextRank() uint64 {
	s.lastRank++
	return s.lastRank
}

// enqueue makes a message wait for a call, in its lane or, if it has none, among the retries.
func (s *Scheduler) enqueue(message *Message) {
	message.queued = true
	message.Dest.waiting++
	if message.lane != nil {
		message.lane.waiting++
	}
	if message.keyQueue == nil || message.keyQueue.first == message {
		message.expose()
	}
	if !message.Dest.inRing {
		message.Dest.inRing = true
		s.ring.add(message.Dest)
	}
}

// retry makes a message wait for a further call.
func (s *Scheduler) retry(message *Message) {
	message.rank = s.nextRank()
	s.enqueue(message)
}

// resume makes a message that a restart found wait as its history asks for: untried, or for a further call.
func (s *Scheduler) resume(message *Message) {
	if message.recoveredUntried {
		message.leaveShedClass() // it is not given up for room
	} else {
		s.dequeue(message)
		s.retry(message)
	}
	s.awaitCall(message)
}

// dequeue ends a message's waiting. It can come back only as a retry.
func (s *Scheduler) dequeue(message *Message) {
	if !message.queued {
		return
	}
	message.queued = false
	if message.Dest.waiting--; message.Dest.waiting == 0 {
		s.ring.unpark(message.Dest.ringNode)
	}
	if message.lane == nil {
		message.Dest.retries.remove(message)
		return
	}
	message.lane.waiting--
	message.lane.remove(message)
	message.lane = nil
}

// expose makes a waiting message that no other of its key is before visible to turns.
func (m *Message) expose() {
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

// first is the earliest message that is accepted, nil if none is.
func (l *lane) first(accept func(*Message) bool) *Message {
	var next *Message
	for _, q := range l.queues {
		if message, found := byRank.first(q.messages, accept); found && (next == nil || message.rank < next.rank) {
			next = message
		}
	}
	return next
}

// mostValuable is the accepted message of a lane that is worth most now, of several the earliest. While value does not
// change with age that is the first of a type; else all that waits in the lane is looked at.
func (s *Scheduler) mostValuable(lane *lane, accept func(*Message) bool) *Message {
	var next *Message
	consider := func(message *Message) {
		if next == nil || s.worthMore(message, next) || !s.worthMore(next, message) && message.rank < next.rank {
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

func (r *retryLane) add(message *Message) {
	byRank.push(&r.messages, message)
	byUrgency.push(&r.urgent, message)
}

func (r *retryLane) remove(message *Message) {
	byRank.remove(&r.messages, message)
	byUrgency.remove(&r.urgent, message)
}

// first is the earliest message that is accepted, nil if none is.
func (r *retryLane) first(accept func(*Message) bool) *Message {
	message, _ := byRank.first(r.messages, accept)
	return message
}

// anyUrgent tells if some message soon cannot be sent any more.
func (r *retryLane) anyUrgent(now float64) bool {
	return len(r.urgent) > 0 && now > r.urgent[0].urgentAt()
}

// urgentAt is when a retry begins to go before fresh messages.
func (m *Message) urgentAt() float64 {
	at := m.deadline - m.messageType.TimeToLive/2
	if m.firstRanAt > 0 && m.messageType.Idempotency == IdempotentWithKey {
		at = math.Min(at, m.firstRanAt+m.messageType.DeduplicationWindow/3)
	}
	return at
}
