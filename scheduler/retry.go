package scheduler

import "math"

const (
	urgentLifetimeDivisor = 2 // a retry is urgent when only its time to live divided by this is left
	urgentWindowDivisor   = 3 // a retry is also urgent when its deduplication window divided by this has passed
)

// retryLane holds those messages of a destination that are queued for a retry and are the first of their ordering key.
type retryLane struct {
	messages []*Message // heap by Message.rank: in the order in which the messages became retries
	urgent   []*Message // the same messages, a heap by Message.urgentAt
}

var byUrgency = ordering[*Message]{
	before:   func(a, b *Message) bool { return a.urgentAt() < b.urgentAt() },
	position: func(m *Message) *int32 { return &m.urgencyPosition },
}

// retry queues a message for a further attempt.
func (s *Scheduler) retry(message *Message) {
	message.rank = s.nextRank()
	s.enqueue(message)
}

// resume queues a recovered message according to its history: for its first call, or for a retry.
func (s *Scheduler) resume(message *Message) {
	if message.recoveredUntried {
		message.leaveShedClass()
	} else {
		s.dequeue(message)
		s.retry(message)
	}
	s.trackQueued(message)
}

func (r *retryLane) add(message *Message) {
	byRank.push(&r.messages, message)
	byUrgency.push(&r.urgent, message)
}

func (r *retryLane) remove(message *Message) {
	byRank.remove(&r.messages, message)
	byUrgency.remove(&r.urgent, message)
}

// first returns the earliest message that is accepted, nil if none is.
func (r *retryLane) first(accept func(*Message) bool) *Message {
	message, _ := byRank.first(r.messages, accept)
	return message
}

// anyUrgent reports whether a message is urgent and has to be sent before fresh ones.
func (r *retryLane) anyUrgent(now float64) bool {
	return len(r.urgent) > 0 && now > r.urgent[0].urgentAt()
}

// urgentAt returns the time after which a retry goes before fresh messages, because it soon can no longer be sent.
func (m *Message) urgentAt() float64 {
	at := m.deadline - m.messageType.TimeToLive/urgentLifetimeDivisor
	if m.hasUsedKey() {
		at = math.Min(at, m.firstRanAt+m.messageType.DeduplicationWindow/urgentWindowDivisor)
	}
	return at
}
