package scheduler

import (
	"iter"
	"slices"
)

// heldList is the messages of a forwarder that are not answered, in the order of taking.
type heldList struct {
	first, last *Message
	count       int
}

func (l *heldList) add(message *Message) {
	message.previous = l.last
	if l.last == nil {
		l.first = message
	} else {
		l.last.next = message
	}
	l.last = message
	l.count++
}

func (l *heldList) remove(message *Message) {
	if message.previous == nil {
		l.first = message.next
	} else {
		message.previous.next = message.next
	}
	if message.next == nil {
		l.last = message.previous
	} else {
		message.next.previous = message.previous
	}
	message.previous, message.next = nil, nil
	l.count--
}

func (l *heldList) all() iter.Seq[*Message] {
	return func(yield func(*Message) bool) {
		for message := l.first; message != nil; message = message.next {
			if !yield(message) {
				return
			}
		}
	}
}

// shedClass is a destination's held messages of one type that are alike in being beyond their tenant's share or not, in
// the order of taking: what may have to make room for others. Messages that a restart found untried are in none.
type shedClass struct {
	messageType *MessageType
	surplus     bool
	first, last *Message
}

// addToShedClass enters a message that was just taken in its class.
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
		if class.messageType == message.messageType && class.surplus == message.overQuota {
			return class
		}
	}
	class := &shedClass{messageType: message.messageType, surplus: message.overQuota}
	d.shedClasses = append(d.shedClasses, class)
	return class
}

// leaveShedClass takes a message out of its class.
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

// oldest is the first message of a class that waits for a call, nil if none does.
func (c *shedClass) oldest() *Message {
	message := c.first
	for message != nil && !message.queued {
		message = message.shedNext
	}
	return message
}

// leastValuable is the message of a class that waits, surely has not run and is worth least now; of several the latest.
// While value does not change with age the search ends at the first one from the end of the class.
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

// shedCandidate is the waiting message of a destination that makes room for others: of those that surely have not run the one
// worth least, of several the latest; the oldest one if only it is worth less or nothing else waits. Nil: none waits.
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
		if least == nil || s.worthMore(least, message) || !s.worthMore(message, least) && message.sequence > least.sequence {
			least = message
		}
	}
	if least == nil || s.worthMore(least, oldest) {
		return oldest
	}
	return least
}

// keyQueue is the messages of one ordering key that are not over, in the order of taking.
type keyQueue struct {
	first, last   *Message
	cooldownUntil float64 // nothing new before
}

// joinKeyQueue puts a message behind the earlier ones of its key.
func (s *Scheduler) joinKeyQueue(message *Message) {
	if !message.messageType.InOrder || message.Key == 0 {
		return
	}
	if message.keyQueue = s.keyQueues[message.Key]; message.keyQueue == nil {
		s.dropIdleKeys()
		message.keyQueue = &keyQueue{}
		s.keyQueues[message.Key] = message.keyQueue
	}
	queue := message.keyQueue
	message.keyPrevious = queue.last
	if queue.last == nil {
		queue.first = message
	} else {
		queue.last.keyNext = message
	}
	queue.last = message
}

// dropIdleKeys lets go of the keys whose last message ended while they rested, once there are many.
func (s *Scheduler) dropIdleKeys() {
	if len(s.keyQueues) <= 2*s.held.count+64 {
		return
	}
	for key, queue := range s.keyQueues {
		if queue.first == nil && queue.cooldownUntil <= s.now {
			delete(s.keyQueues, key)
		}
	}
}

// leaveKeyQueue lets go of a message of which nothing more can be heard. The next one of its key may be sent then.
func (s *Scheduler) leaveKeyQueue(message *Message) {
	if !message.Finished() {
		return
	}
	if !message.bytesReleased {
		message.bytesReleased = true
		s.storedBytes -= message.Size
	}
	queue := message.keyQueue
	if queue == nil {
		return
	}
	message.keyQueue = nil
	wasFirst := queue.first == message
	queue.remove(message)
	if queue.first == nil {
		if queue.cooldownUntil <= s.now {
			delete(s.keyQueues, message.Key)
		}
	} else if wasFirst && queue.first.queued {
		queue.first.expose()
	}
}

func (q *keyQueue) remove(message *Message) {
	if message.keyPrevious == nil {
		q.first = message.keyNext
	} else {
		message.keyPrevious.keyNext = message.keyNext
	}
	if message.keyNext == nil {
		q.last = message.keyPrevious
	} else {
		message.keyNext.keyPrevious = message.keyPrevious
	}
	message.keyPrevious, message.keyNext = nil, nil
}

// NextOfKey is the next message of the same ordering key that is not over, in the order of taking; nil if there is none
// or the message's type does not keep the order of keys.
func (m *Message) NextOfKey() *Message { return m.keyNext }

// ResultRetryAfter tells that a message waits for a call: it may be taken back by Withdraw without a trace.
func (m *Message) Waiting() bool { return m.queued }

// Dark tells that no endpoint of a destination answers.
func (s *Scheduler) Dark(destination *Destination) bool { return s.allEjected(destination) }

// Stored counts a message for a destination that is kept elsewhere from its taking on: it is asked for all the same.
func (s *Scheduler) Stored(destination *Destination) { destination.accepted++ }

// Uncount takes a message off what a destination is asked for: it was counted before, or by an earlier process.
func (s *Scheduler) Uncount(destination *Destination) { destination.accepted-- }

// Answered tells that a destination has answered as it should since the start.
func (s *Scheduler) Answered(destination *Destination) bool {
	return slices.ContainsFunc(destination.endpoints, func(endpoint *Endpoint) bool { return endpoint.lastSuccess > 0 })
}

// TakeBack takes a message that was kept elsewhere, with its history, before anything newer of its key.
func (s *Scheduler) TakeBack(message *Message, messageType int, left float64, recovered RecoveredState) {
	if recovered.Attempts > 0 {
		s.Recover(message, messageType, left, recovered)
	} else {
		s.Accept(message, messageType, left)
	}
}

// GiveUp takes a message that was kept elsewhere, with its history, and has the next settling answer it without a call.
func (s *Scheduler) GiveUp(message *Message, messageType int, left float64, recovered RecoveredState) {
	s.Recover(message, messageType, left, recovered)
	s.Uncount(message.Dest)
	if !message.answered {
		s.rejectOrFail(message)
	}
}
