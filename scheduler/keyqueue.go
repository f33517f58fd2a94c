package scheduler

import "math"

const maxIdleKeys = 64 // idle keys are removed if there are more keys than this plus twice the number of held messages

// keyQueue holds the unfinished messages of one ordering key in the order of admission. Only the first may be sent.
type keyQueue struct {
	first, last   *Message
	cooldownUntil float64 // time before which no message of the key gets its first attempt
}

// PauseKeys reports that attempts of an earlier process of this forwarder may have been in flight until now. Their
// ordering keys are unknown, because messages with a final answer are not recorded. Therefore all keys pause. It must
// be called before the first message is accepted.
//
// Trade-off: the next message of a key is not sent while the previous one may still run; but messages with a key that
// are recovered, or accepted within a cooldown after the start, are delayed by up to that cooldown.
func (s *Scheduler) PauseKeys() { s.keysPausedUntil = s.cooldownEnd() }

// cooldownEnd returns the end of a cooldown of an ordering key that begins now.
func (s *Scheduler) cooldownEnd() float64 { return s.now + s.settings.KeyCooldown + cooldownMargin }

// pauseKey starts the cooldown of an ordering key, as one of its messages may still run.
func (s *Scheduler) pauseKey(queue *keyQueue) {
	queue.cooldownUntil = math.Max(queue.cooldownUntil, s.cooldownEnd())
}

// joinKeyQueue appends a message to the queue of its ordering key, if it has one.
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

// dropIdleKeys removes keys without messages whose cooldown has ended, if there are many keys. leaveKeyQueue keeps a
// key whose last message finishes during the cooldown.
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

// leaveKeyQueue removes a message from the queue of its ordering key if it is finished, so that the next message of the
// key may be sent. It also subtracts the size of the message from the stored bytes.
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
