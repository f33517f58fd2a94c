package scheduler

import (
	"math"
	"slices"
)

const (
	quantum              = 2    // messages per round; more only if a single call carries more
	knownKeyMargin       = 0.01 // seconds before the end of a deduplication window after which no repeat begins
	probeAttemptsDivisor = 2    // MaxAttempts divided by this is the maximum for probes with a message that never ran
)

// serveRounds gives each destination with queued messages its round in turn, until none can send any more messages. It
// sends either fresh messages, together with the retries that fit into their calls, or only retries.
func (s *Scheduler) serveRounds(retries bool) {
	s.ring.wake(s.now)
	for idle := 0; idle < s.ring.size(); {
		destination, passed := s.ring.next(s.ring.size() - idle)
		if idle += passed; destination == nil {
			break
		}
		if s.serveRound(destination, retries) > 0 {
			idle = -1
		}
		idle++
		if destination.inRing = destination.queued > 0; destination.inRing {
			s.ring.advance()
		} else {
			s.ring.drop()
		}
	}
}

// serveRound begins calls to a destination until the quantum is used up, and returns the number of messages sent.
func (s *Scheduler) serveRound(destination *Destination, retries bool) (sent int) {
	for sent < quantum {
		endpoint := s.selectEndpoint(destination)
		if endpoint == nil {
			s.park(destination)
			break
		}
		messages := s.selectMessages(destination, endpoint, retries)
		if len(messages) == 0 {
			break
		}
		s.startCall(endpoint, messages)
		sent += len(messages)
	}
	return sent
}

// park makes rounds skip a destination while none of its endpoints may take a call. Any event of the destination ends
// the parking.
func (s *Scheduler) park(destination *Destination) {
	until := math.Inf(1)
	for _, endpoint := range destination.endpoints {
		if endpoint.state != Ready {
			continue
		}
		if s.now >= endpoint.notBefore {
			return
		}
		until = math.Min(until, endpoint.notBefore)
	}
	if destination.queued > 0 {
		s.ring.park(destination.ringNode, until)
	}
}

// eligible reports whether the rules for ordering keys and for repeats allow a message to be sent to an endpoint now.
func (s *Scheduler) eligible(message *Message, endpoint *Endpoint) bool {
	if queue := message.keyQueue; queue != nil {
		if queue.first != message || queue.cooldownUntil > s.now && message.attempts == 0 {
			return false
		}
	}
	if !message.hasUsedKey() {
		return true
	}
	messageType := message.messageType
	keyKnown := s.now < message.firstRanAt+messageType.DeduplicationWindow-knownKeyMargin
	return keyKnown && (!messageType.DeduplicatedPerZone || message.firstRanZone == endpoint.zone)
}

// selection collects the messages of one call.
type selection struct {
	scheduler  *Scheduler
	endpoint   *Endpoint
	messages   []*Message
	size       int  // maximum number of messages
	bytes      int  // sum of Message.CallBytes
	filled     bool // the next message does not fit
	allRetries bool // retries that are not urgent may be sent too
}

// selectMessages returns the messages of a call to an endpoint: fresh messages from the tenants' lanes, with retries
// where they go first or fill the call, or only retries.
//
// An endpoint that is ejected or recovering gets all retries first, because retries lose the least if that call fails.
// Any other endpoint first gets only the urgent retries, which soon can no longer be sent. Trade-off: messages that may
// have run are not lost, but fresh messages are delayed.
func (s *Scheduler) selectMessages(destination *Destination, endpoint *Endpoint, retries bool) []*Message {
	batch := selection{scheduler: s, endpoint: endpoint, size: destination.maxCallSize(),
		allRetries: retries || endpoint.health != healthy}
	if batch.allRetries || destination.retries.anyUrgent(s.now) {
		batch.addRetries(&destination.retries)
	}
	if retries {
		return batch.messages
	}
	batch.addFresh(destination)
	batch.addFrom(&destination.overQuotaLane)
	// Retries fill a call that is made anyway. Trade-off: where a limit counts calls, retries do not starve while calls
	// are sent half empty, but each call carries a little more work.
	if len(batch.messages) > 0 && !batch.full() {
		batch.allRetries = true
		batch.addRetries(&destination.retries)
	}
	return batch.messages
}

func (b *selection) full() bool { return b.filled || len(b.messages) >= b.size }

// add adds a message to the call, and reports whether it fits. One that does not fit stays in its place and is first in a
// later call. A single message always fits.
func (b *selection) add(message *Message) bool {
	if len(b.messages) > 0 && !b.fits(message) {
		b.filled = true
		return false
	}
	b.messages = append(b.messages, message)
	b.bytes += message.CallBytes
	return true
}

// accepts reports whether a message may be part of the call.
func (b *selection) accepts(message *Message) bool {
	return b.scheduler.eligible(message, b.endpoint) && !slices.Contains(b.messages, message)
}

// acceptsRetry reports whether a retry may be part of the call. Probes of an ejected endpoint do not use up all
// attempts of one message.
func (b *selection) acceptsRetry(message *Message) bool {
	s := b.scheduler
	maxProbes := s.settings.MaxAttempts / probeAttemptsDivisor
	if b.endpoint.health == ejected && !message.mayHaveRun() && message.attempts > maxProbes {
		return false
	}
	return (b.allRetries || s.now > message.urgentAt()) && b.accepts(message)
}

// fits reports whether a message can be joined with those of the call: their bodies are not too large together, and no
// repeat has to end before its idempotency key is forgotten, which would cut the time of the others.
func (b *selection) fits(message *Message) bool {
	limit := b.scheduler.settings.MaxCallBytes
	if limit > 0 && b.bytes+message.CallBytes > limit {
		return false
	}
	return !b.endsWithKey(message) && !b.endsWithKey(b.messages[0])
}

// endsWithKey reports whether the key of a message is forgotten before a call would time out.
func (b *selection) endsWithKey(message *Message) bool {
	return message.hasUsedKey() && b.scheduler.keyTimeLeft(message) < b.scheduler.timeout(b.endpoint)
}

func (b *selection) addRetries(retries *retryLane) {
	accepts := b.acceptsRetry
	for message := retries.first(accepts); message != nil && !b.full(); message = retries.first(accepts) {
		b.add(message)
	}
}

func (b *selection) addFrom(lane *lane) {
	accepts := b.accepts
	for message := lane.first(accepts); message != nil && !b.full(); message = lane.first(accepts) {
		b.add(message)
	}
}

// addFresh takes one message from each tenant's lane in turn. It alternates between the most valuable and the first
// message of a lane, so that a valuable message does not wait behind a burst.
func (b *selection) addFresh(destination *Destination) {
	accepts := b.accepts
	for idle := 0; idle < len(destination.lanes) && !b.full(); {
		lane := destination.lanes[0]
		var next *Message
		if lane.byValue {
			next = lane.first(accepts)
		} else {
			next = b.scheduler.mostValuable(lane, accepts)
		}
		if next != nil && !b.add(next) {
			return
		}
		lane.byValue = !lane.byValue
		destination.lanes = destination.lanes[1:]
		idle++
		if next != nil {
			idle = 0
		}
		if lane.inRotation = lane.queued > 0; lane.inRotation {
			destination.lanes = append(destination.lanes, lane)
		}
	}
}
