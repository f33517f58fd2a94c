package scheduler

import "math"

const sheddingThreshold = 0.97 // share of the queue's capacity above which the longest backlog is reduced

// shedLoad rejects the least valuable messages of the longest backlog while the queue is nearly full.
//
// Trade-off: an ejected or flooded destination does not cause the messages of all other destinations to be rejected,
// but the messages that are shed might have been delivered in time.
func (s *Scheduler) shedLoad() {
	for float64(s.held.count) > sheddingThreshold*float64(s.settings.QueueCapacity) {
		message := s.shedCandidate(s.longestBacklog())
		if message == nil {
			return
		}
		s.rejectOrFail(message, LoadShed)
	}
}

// longestBacklog returns the destination whose queued messages take the most time or, on a tie, the one whose round is
// first. It returns nil if no message is queued.
func (s *Scheduler) longestBacklog() *Destination {
	var longest *Destination
	s.ring.each(func(destination *Destination) {
		if destination.queued > 0 && (longest == nil || backlogTime(destination) > backlogTime(longest)) {
			longest = destination
		}
	})
	return longest
}

// backlogTime returns the time in seconds that a destination's queued messages would occupy one slot. The length of the
// queue would mislead, because calls with many messages each clear a long queue quickly.
func backlogTime(destination *Destination) float64 {
	return float64(destination.queued) * destination.latency.p90 / float64(max(1, destination.batchSize))
}

// currentValue returns the current value of a message. It changes with age only if values halve: if value falls
// linearly, a late message loses as much by waiting as any other.
func (s *Scheduler) currentValue(message *Message) float64 {
	messageType := message.messageType
	late := s.now - message.deadline + messageType.TimeToLive - messageType.LatencyObjective
	if late > 0 && s.settings.HalvingValue {
		left := math.Pow(2, -late/messageType.LatencyObjective)
		return messageType.Value * math.Max(messageType.LateValueShare, left)
	}
	return messageType.Value
}

// moreValuable reports whether a has a higher value than b. Messages beyond their tenant's quota count less than all
// others.
func (s *Scheduler) moreValuable(a, b *Message) bool {
	if a.overQuota != b.overQuota {
		return b.overQuota
	}
	return s.currentValue(a) > s.currentValue(b)
}

// shedClass holds a destination's messages of one type, either those within their tenants' quotas or those beyond, in
// the order of admission. Recovered messages that were not attempted yet are in no class, because they are never shed.
type shedClass struct {
	messageType *MessageType
	overQuota   bool
	first, last *Message
}

// addToShedClass appends a message that was just accepted to its class.
func (d *Destination) addToShedClass(message *Message) {
	class := d.findShedClass(message)
	message.shedClass, message.shedPrevious = class, class.last
	if class.last == nil {
		class.first = message
	} else {
		class.last.shedNext = message
	}
	class.last = message
}

func (d *Destination) findShedClass(message *Message) *shedClass {
	for _, class := range d.shedClasses {
		if class.messageType == message.messageType && class.overQuota == message.overQuota {
			return class
		}
	}
	class := &shedClass{messageType: message.messageType, overQuota: message.overQuota}
	d.shedClasses = append(d.shedClasses, class)
	return class
}

// leaveShedClass removes a message from its class, if it is in one.
func (m *Message) leaveShedClass() {
	class := m.shedClass
	if class == nil {
		return
	}
	if m.shedPrevious == nil {
		class.first = m.shedNext
	} else {
		m.shedPrevious.shedNext = m.shedNext
	}
	if m.shedNext == nil {
		class.last = m.shedPrevious
	} else {
		m.shedNext.shedPrevious = m.shedPrevious
	}
	m.shedClass, m.shedPrevious, m.shedNext = nil, nil, nil
}

// oldest returns the first message of a class that is queued, nil if there is none.
func (c *shedClass) oldest() *Message {
	message := c.first
	for message != nil && !message.queued {
		message = message.shedNext
	}
	return message
}

// leastValuable returns the queued message of a class with the lowest current value of those that have not run or, on a
// tie, the latest one. If value does not change with age, that is the last such message of the class.
func (s *Scheduler) leastValuable(class *shedClass) *Message {
	var least *Message
	for message := class.last; message != nil; message = message.shedPrevious {
		if !message.queued || message.firstRanAt != 0 {
			continue
		}
		if least == nil || s.currentValue(message) < s.currentValue(least) {
			least = message
		}
		if !s.settings.HalvingValue {
			break
		}
	}
	return least
}

// shedCandidate returns the queued message of a destination that is to be shed. Normally that is, of the messages that
// have not run, the one with the lowest value or, on a tie, the latest. It is the oldest queued message instead if that
// one has a lower value or if all queued messages may have run. It returns nil if no message is queued.
func (s *Scheduler) shedCandidate(destination *Destination) *Message {
	if destination == nil {
		return nil
	}
	var oldest, least *Message
	for _, class := range destination.shedClasses {
		if message := class.oldest(); message != nil && (oldest == nil || message.sequence < oldest.sequence) {
			oldest = message
		}
		message := s.leastValuable(class)
		if message == nil {
			continue
		}
		if least == nil || s.shedBefore(message, least) {
			least = message
		}
	}
	if least == nil || s.moreValuable(least, oldest) {
		return oldest
	}
	return least
}

// shedBefore reports whether a is shed before b: it has a lower value, or the same value and was accepted later.
func (s *Scheduler) shedBefore(a, b *Message) bool {
	return s.moreValuable(b, a) || !s.moreValuable(a, b) && a.sequence > b.sequence
}
