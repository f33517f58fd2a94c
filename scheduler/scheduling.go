package scheduler

import (
	"math"
	"slices"
)

const (
	quantum              = 2    // messages in a round, more only where one call carries more
	knownKeyMargin       = 0.01 // seconds before a receiver forgets an idempotency key: no repeat begins after
	probeAttemptsDivisor = 2    // probes use up MaxAttempts divided by this of a message that surely never ran
)

// serveRounds gives each destination with waiting messages its round in turn, until none can send any more. It sends
// either fresh messages, with the retries that go along, or only retries.
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

// serveRound begins calls for a destination until the quantum is used up, and returns how many messages they carry.
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

// park lets rounds pass over a destination while none of its endpoints may take a call. Any event of it ends that.
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

// eligible reports whether a message may be sent to an endpoint now by the rules of order and repetition.
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
	size       int  // most messages
	allRetries bool // retries that are not urgent may go too
}

// selectMessages returns the messages of a call to an endpoint: fresh ones from the tenants' lanes, or only retries.
//
// Trade-off: to an endpoint that is ejected or recovering retries go first, which have least to lose, and elsewhere
// those that soon cannot be sent any more. What may have run is not lost, at the price of delay for fresh messages.
func (s *Scheduler) selectMessages(destination *Destination, endpoint *Endpoint, retries bool) []*Message {
	batch := selection{scheduler: s, endpoint: endpoint, size: destination.batchSize,
		allRetries: retries || endpoint.health != healthy}
	if batch.allRetries || destination.retries.anyUrgent(s.now) {
		batch.addRetries(&destination.retries)
	}
	if retries {
		return batch.messages
	}
	batch.addFresh(destination)
	batch.addFrom(&destination.overQuotaLane)
	// A call that is made anyway takes along the retries that wait. Trade-off: retries do not starve while calls leave
	// half empty, at a limit that counts calls; each call has a little more work.
	if len(batch.messages) > 0 && !batch.full() {
		batch.allRetries = true
		batch.addRetries(&destination.retries)
	}
	return batch.messages
}

func (b *selection) full() bool { return len(b.messages) >= b.size }

// accepts reports whether a message may be part of the call.
func (b *selection) accepts(message *Message) bool {
	return b.scheduler.eligible(message, b.endpoint) && !slices.Contains(b.messages, message)
}

// acceptsRetry is accepts for retries. Probes of an ejected endpoint do not use up one message's attempts.
func (b *selection) acceptsRetry(message *Message) bool {
	s := b.scheduler
	maxProbes := s.settings.MaxAttempts / probeAttemptsDivisor
	if b.endpoint.health == ejected && !message.mayHaveRun() && message.attempts > maxProbes {
		return false
	}
	return (b.allRetries || s.now > message.urgentAt()) && b.accepts(message)
}

func (b *selection) addRetries(retries *retryLane) {
	accepts := b.acceptsRetry
	for message := retries.first(accepts); message != nil && !b.full(); message = retries.first(accepts) {
		b.messages = append(b.messages, message)
	}
}

func (b *selection) addFrom(lane *lane) {
	accepts := b.accepts
	for message := lane.first(accepts); message != nil && !b.full(); message = lane.first(accepts) {
		b.messages = append(b.messages, message)
	}
}

// addFresh takes one message from each tenant's lane in turn. Every other time it is the most valuable one, else the
// first, so that a valuable message does not wait behind a burst.
func (b *selection) addFresh(destination *Destination) {
	accepts := b.accepts
	for idle := 0; idle < len(destination.lanes) && !b.full(); {
		lane := destination.lanes[0]
		destination.lanes = destination.lanes[1:]
		idle++
		var next *Message
		if lane.byValue = !lane.byValue; lane.byValue {
			next = b.scheduler.mostValuable(lane, accepts)
		} else {
			next = lane.first(accepts)
		}
		if next != nil {
			b.messages = append(b.messages, next)
			idle = 0
		}
		if lane.inRotation = lane.queued > 0; lane.inRotation {
			destination.lanes = append(destination.lanes, lane)
		}
	}
}
