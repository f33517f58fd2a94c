package scheduler

import "math"

const sheddingThreshold = 0.97 // of the queue's capacity: from here on the longest backlog is cut

// shedLoad answers the least valuable messages of the longest backlog while the queue is nearly full.
//
// Trade-off: an ejected or flooded destination does not cause the messages of all others to be rejected, but the flood
// might have passed in time.
func (s *Scheduler) shedLoad() {
	for float64(s.held.count) > sheddingThreshold*float64(s.settings.QueueCapacity) {
		message := s.shedCandidate(s.longestBacklog())
		if message == nil {
			return
		}
		s.rejectOrFail(message, LoadShed)
	}
}

// longestBacklog returns the destination whose waiting messages take the most time, of several the one whose round is
// next; nil if none waits.
func (s *Scheduler) longestBacklog() *Destination {
	var longest *Destination
	s.ring.each(func(destination *Destination) {
		if destination.queued > 0 && (longest == nil || backlogTime(destination) > backlogTime(longest)) {
			longest = destination
		}
	})
	return longest
}

// backlogTime returns the seconds of a slot that a destination's waiting messages take: a few calls may clear a long
// queue.
func backlogTime(destination *Destination) float64 {
	return float64(destination.queued) * destination.latency.p90 / float64(max(1, destination.batchSize))
}

// currentValue returns what a message is worth now. Where value falls evenly, a late message loses no less by waiting.
func (s *Scheduler) currentValue(message *Message) float64 {
	messageType := message.messageType
	late := s.now - message.deadline + messageType.TimeToLive - messageType.LatencyObjective
	if late > 0 && s.settings.HalvingValue {
		left := math.Pow(2, -late/messageType.LatencyObjective)
		return messageType.Value * math.Max(messageType.LateValueShare, left)
	}
	return messageType.Value
}

// moreValuable reports whether a is worth more than b; messages beyond their tenant's quota come last.
func (s *Scheduler) moreValuable(a, b *Message) bool {
	if a.overQuota != b.overQuota {
		return b.overQuota
	}
	return s.currentValue(a) > s.currentValue(b)
}

// shedClass is a destination's held messages of one type that are all within their tenants' quotas, or all beyond, in
// the order of admission. Messages that an earlier process had not tried are in none: they are not shed.
type shedClass struct {
	messageType *MessageType
	overQuota   bool
	first, last *Message
}

// addToShedClass enters a message that was just accepted.
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

// leaveShedClass takes a message out of its class, if it is in one.
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

// oldest returns the first message of a class that waits for a call, nil if none does.
func (c *shedClass) oldest() *Message {
	message := c.first
	for message != nil && !message.queued {
		message = message.shedNext
	}
	return message
}

// leastValuable returns the message of a class that waits, surely has not run and is worth least now; of several the
// latest. While value does not change with age the search ends at the first one from the end of the class.
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

// shedCandidate returns the waiting message of a destination that makes room for others: of those that surely have not
// run the one worth least, of several the latest; the oldest one if only it is worth less or nothing else waits. It
// returns nil if none waits.
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

// shedBefore reports whether a is shed before b: it is worth less, or as much and accepted later.
func (s *Scheduler) shedBefore(a, b *Message) bool {
	return s.moreValuable(b, a) || !s.moreValuable(a, b) && a.sequence > b.sequence
}
