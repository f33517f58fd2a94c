package scheduler

import "math"

const (
	urgentLifetimeDivisor = 2 // a retry is urgent from this part of its time to live before the deadline on, or
	urgentWindowDivisor   = 3 // once this part of its deduplication window is over
)

// retryLane is a destination's messages that wait for a further call, without those behind others of their key.
type retryLane struct {
	messages []*Message // heap in the order of coming back
	urgent   []*Message // the same messages, a heap by the time from which they go before fresh ones
}

var byUrgency = ordering[*Message]{
	before:   func(a, b *Message) bool { return a.urgentAt() < b.urgentAt() },
	position: func(m *Message) *int32 { return &m.urgencyPosition },
}

// retry makes a message wait for a further call.
func (s *Scheduler) retry(message *Message) {
	message.rank = s.nextRank()
	s.enqueue(message)
}

// resume makes a recovered message wait as its history requires: for its first call, or for a retry.
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

// anyUrgent reports whether some message goes before fresh ones.
func (r *retryLane) anyUrgent(now float64) bool {
	return len(r.urgent) > 0 && now > r.urgent[0].urgentAt()
}

// urgentAt returns the time from which on a retry goes before fresh messages, as soon it cannot be sent any more.
func (m *Message) urgentAt() float64 {
	at := m.deadline - m.messageType.TimeToLive/urgentLifetimeDivisor
	if m.hasUsedKey() {
		at = math.Min(at, m.firstRanAt+m.messageType.DeduplicationWindow/urgentWindowDivisor)
	}
	return at
}
