package scheduler

import "math"

const maxIdleKeys = 64 // keys beyond twice the number of held messages, before idle ones are looked for

// keyQueue is the unfinished messages of one ordering key, in the order of admission. Only the first may be sent.
type keyQueue struct {
	first, last   *Message
	cooldownUntil float64 // no first attempt before
}

// PauseKeys reports that attempts of an earlier process of this forwarder may have been in flight until now. Which keys
// they had is not known any more, as messages that have their final answer are on no record: every key pauses. It
// is called before the first message.
//
// Trade-off: the next message of a key is not called while the one before may still run; what is in order and waits, or
// comes within a cooldown of the start, is sent that much later.
func (s *Scheduler) PauseKeys() { s.keysPausedUntil = s.cooldownEnd() }

// cooldownEnd returns when a cooldown that begins now ends.
func (s *Scheduler) cooldownEnd() float64 { return s.now + s.settings.KeyCooldown + cooldownMargin }

// pauseKey starts the cooldown of an ordering key, as one of its messages may still run.
func (s *Scheduler) pauseKey(queue *keyQueue) {
	queue.cooldownUntil = math.Max(queue.cooldownUntil, s.cooldownEnd())
}

// joinKeyQueue puts a message behind the earlier ones of its key.
func (s *Scheduler) joinKeyQueue(message *Message) {
	if !message.messageType.InOrder || message.Key == 0 {
		return
	}
	if message.keyQueue = s.keyQueues[message.Key]; message.keyQueue == nil {
		s.dropIdleKeys()
		message.keyQueue = &keyQueue{cooldownUntil: s.keysPausedUntil}
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

// dropIdleKeys removes the keys whose last message finished during their cooldown, once there are many.
func (s *Scheduler) dropIdleKeys() {
	if len(s.keyQueues) <= 2*s.held.count+maxIdleKeys {
		return
	}
	for key, queue := range s.keyQueues {
		if queue.first == nil && queue.cooldownUntil <= s.now {
			delete(s.keyQueues, key)
		}
	}
}

// leaveKeyQueue removes a message to which nothing more can happen from the queue of its key. The next one of its key
// may be sent then.
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
		queue.first.makeSelectable()
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
