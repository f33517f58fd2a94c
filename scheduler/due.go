package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// What a check of deadlines has to look at is found by time and by events, never by a walk over all held messages.
// Heaps give a superset of what can be due, and endExpired decides on each by its exact conditions. A message that
// waits for a call is looked at when it begins to wait, when its timer fires, and when an event of its destination or
// the time makes it late there; one that is in flight, once its deadline is over.

const (
	timerSlack         = 1e-6 // seconds: a message is looked at so much early, as sums of times are rounded
	maxScratch         = 4096 // candidates for which the array is kept from one check to the next
	keyExpiredMargin   = 0.05 // seconds before the end of its deduplication window: then no repeat any more
	keyExpiringFactor  = 2    // of keyExpiringDivisor parts of that window: after these only if an endpoint answers
	keyExpiringDivisor = 3
)

// stage is where a held message is kept until it is due.
type stage uint8

const (
	stageNone            stage = iota
	stageInFlight              // a call carries it: in dueMessages.inFlight
	stageQueued                // waits and cannot be late yet: in deadlineHeaps.queued
	stageAtRisk                // waits and is late once its destination is slow enough: in deadlineHeaps.atRisk
	stageRecoveredAtRisk       // the same for one recovered untried: in deadlineHeaps.recoveredAtRisk
	stageRecovered             // as stageQueued, for one recovered untried: in no heap but the timers
)

// dueMessages is where a check of deadlines finds what it has to look at.
type dueMessages struct {
	inFlight   []*Message     // a heap by deadline
	timers     []*Message     // those that wait, a heap by their timers
	late       []*Destination // a heap by the time at which their first waiting message is late
	touched    []*Destination // with events since the last check
	candidates []*Message
	reviewed   []*Message // the candidates of the latest check
	fired      []*Message // of this check
}

// deadlineHeaps is the waiting messages of one destination, each in one heap by deadline.
type deadlineHeaps struct {
	queued, atRisk, recoveredAtRisk []*Message

	// keyExpiring is the messages whose idempotency keys are soon forgotten; those that do not wait any more are
	// removed later.
	keyExpiring []*Message
}

var (
	byDeadline = ordering[*Message]{
		before:   func(a, b *Message) bool { return a.deadline < b.deadline },
		position: func(message *Message) *int32 { return &message.deadlinePosition },
	}
	byTimer = ordering[*Message]{
		before:   func(a, b *Message) bool { return a.timer < b.timer },
		position: func(message *Message) *int32 { return &message.timerPosition },
	}
	byLate = ordering[*Destination]{
		before:   func(a, b *Destination) bool { return a.lateAt < b.lateAt },
		position: func(destination *Destination) *int32 { return &destination.latePosition },
	}
)

// atRiskAt returns when a message can be late first, however slow its destination: see tooLate.
func (m *Message) atRiskAt() float64 {
	return m.deadline - math.Max(minTimeLeft, m.lifetime/lateLifetimeDivisor)
}

// keyExpiringAt returns when a repeat of a message is given up if no endpoint answers.
func (m *Message) keyExpiringAt() float64 {
	return m.firstRanAt + m.messageType.DeduplicationWindow*keyExpiringFactor/keyExpiringDivisor
}

// keyExpiredAt returns when a repeat of a message is given up in any case.
func (m *Message) keyExpiredAt() float64 {
	return m.firstRanAt + m.messageType.DeduplicationWindow - keyExpiredMargin
}

// trackQueued keeps a message that waits for a call, from its admission or from the end of a call on.
func (s *Scheduler) trackQueued(message *Message) {
	s.unstage(message)
	s.due.addCandidate(message)
	s.due.touch(message.Dest)
	untried := message.recoveredUntried && message.attempts == 0
	switch atRisk := s.now+timerSlack >= message.atRiskAt(); {
	case atRisk && untried:
		message.Dest.pushStage(message, stageRecoveredAtRisk)
	case atRisk:
		message.Dest.pushStage(message, stageAtRisk)
	case untried:
		message.stage = stageRecovered
	default:
		message.Dest.pushStage(message, stageQueued)
	}
	s.trackKeyExpiry(message, s.now+timerSlack)
	s.setTimer(message)
}

// trackInFlight keeps a message that a call carries from now on.
func (s *Scheduler) trackInFlight(message *Message) {
	s.unstage(message)
	message.stage = stageInFlight
	byDeadline.push(&s.due.inFlight, message)
}

// unstage takes a message out of all that records when it is due.
func (s *Scheduler) unstage(message *Message) {
	byTimer.remove(&s.due.timers, message)
	if message.stage == stageInFlight {
		byDeadline.remove(&s.due.inFlight, message)
	} else if heap := message.Dest.stageHeap(message.stage); heap != nil {
		byDeadline.remove(heap, message)
	}
	message.stage = stageNone
}

func (d *Destination) pushStage(message *Message, stage stage) {
	if d.deadlines == nil {
		d.deadlines = &deadlineHeaps{}
	}
	message.stage = stage
	byDeadline.push(d.stageHeap(stage), message)
}

// stageHeap returns where messages of a stage are, nil for those that are in none of the destination's heaps.
func (d *Destination) stageHeap(stage stage) *[]*Message {
	switch stage {
	case stageQueued:
		return &d.deadlines.queued
	case stageAtRisk:
		return &d.deadlines.atRisk
	case stageRecoveredAtRisk:
		return &d.deadlines.recoveredAtRisk
	default:
		return nil
	}
}

// setTimer sets a waiting message's timer to the next time at which it may be due or changes its stage.
func (s *Scheduler) setTimer(message *Message) {
	byTimer.remove(&s.due.timers, message)
	message.timer = math.Inf(1)
	if message.stage == stageQueued || message.stage == stageRecovered {
		message.timer = message.atRiskAt()
	}
	if message.hasUsedKey() {
		for _, at := range [...]float64{message.keyExpiringAt(), message.keyExpiredAt()} {
			if !(s.now > at) {
				message.timer = math.Min(message.timer, at)
			}
		}
	}
	if !math.IsInf(message.timer, 1) {
		byTimer.push(&s.due.timers, message)
	}
}

// addCandidate has the next check look at a message.
func (u *dueMessages) addCandidate(message *Message) {
	if !message.isCandidate {
		message.isCandidate = true
		u.candidates = append(u.candidates, message)
	}
}

// touch has the next check look at what an event of a destination may have made due.
func (u *dueMessages) touch(destination *Destination) {
	if !destination.touched {
		destination.touched = true
		u.touched = append(u.touched, destination)
	}
}

// collectDue returns the messages that the check has to look at, in the order of admission. They are valid until the
// next call.
func (s *Scheduler) collectDue() []*Message {
	u := &s.due
	limit := s.now + timerSlack
	visit(u.inFlight, func(message *Message) bool { return message.deadline+deadlineGrace <= limit }, u.addCandidate)
	s.fireTimers(limit)
	visit(u.late, func(destination *Destination) bool { return destination.lateAt <= limit }, u.touch)
	for _, destination := range u.touched {
		destination.touched = false
		s.examine(destination, limit)
	}
	clear(u.touched)
	u.touched = u.touched[:0]
	found := u.candidates
	u.candidates, u.reviewed = u.scratch(), found
	for _, message := range found {
		message.isCandidate = false
	}
	slices.SortFunc(found, func(a, b *Message) int { return cmp.Compare(a.sequence, b.sequence) })
	return found
}

// scratch returns the array of the latest check's candidates, emptied, unless it is large.
func (u *dueMessages) scratch() []*Message {
	if cap(u.reviewed) > maxScratch {
		return nil
	}
	clear(u.reviewed)
	return u.reviewed[:0]
}

// fireTimers moves on the messages whose timers have fired.
func (s *Scheduler) fireTimers(limit float64) {
	u := &s.due
	within := func(message *Message) bool { return message.timer <= limit }
	visit(u.timers, within, func(message *Message) { u.fired = append(u.fired, message) })
	for _, message := range u.fired {
		u.addCandidate(message)
		s.fire(message, limit)
	}
	u.fired = nil
}

// fire carries out what the time has brought to a waiting message.
func (s *Scheduler) fire(message *Message, limit float64) {
	if limit >= message.atRiskAt() {
		s.moveToAtRisk(message)
	}
	s.trackKeyExpiry(message, limit)
	s.setTimer(message)
}

// trackKeyExpiry enters a message whose key is soon forgotten among those that are given up if nothing answers.
func (s *Scheduler) trackKeyExpiry(message *Message, limit float64) {
	if message.hasUsedKey() && !message.keyExpiring && limit >= message.keyExpiringAt() {
		message.keyExpiring = true
		message.Dest.deadlines.keyExpiring = append(message.Dest.deadlines.keyExpiring, message)
	}
}

// moveToAtRisk moves a message on to those that may be late.
func (s *Scheduler) moveToAtRisk(message *Message) {
	next := stageAtRisk
	switch message.stage {
	case stageQueued:
		byDeadline.remove(&message.Dest.deadlines.queued, message)
	case stageRecovered:
		next = stageRecoveredAtRisk
	default:
		return
	}
	message.Dest.pushStage(message, next)
	s.due.touch(message.Dest)
}

// examine finds what may be due at a destination: what is blocked beyond its deadline, what is late, and what must not
// wait while nothing answers.
func (s *Scheduler) examine(destination *Destination, limit float64) {
	heaps := destination.deadlines
	if heaps == nil {
		byLate.remove(&s.due.late, destination)
		return
	}
	shut := destination.blockedUntil()
	outlasted := func(message *Message) bool { return message.deadline <= shut }
	visit(heaps.queued, outlasted, s.due.addCandidate)
	visit(heaps.atRisk, outlasted, s.due.addCandidate)
	margin := math.Max(minTimeLeft, destination.latency.p90)
	late := func(message *Message) bool { return message.deadline-margin <= limit }
	visit(heaps.atRisk, late, s.due.addCandidate)
	visit(heaps.recoveredAtRisk, late, s.due.addCandidate)
	heaps.keyExpiring = slices.DeleteFunc(heaps.keyExpiring, func(message *Message) bool {
		message.keyExpiring = message.queued
		return !message.queued
	})
	if len(heaps.keyExpiring) > 0 && s.allEjected(destination) {
		for _, message := range heaps.keyExpiring {
			s.due.addCandidate(message)
		}
	}
	s.scheduleLate(destination, margin)
	if destination.held == 0 {
		destination.deadlines = nil
	}
}

// scheduleLate sets the time at which the first waiting message of a destination is late.
func (s *Scheduler) scheduleLate(destination *Destination, margin float64) {
	byLate.remove(&s.due.late, destination)
	first := math.Inf(1)
	for _, heap := range [...][]*Message{destination.deadlines.atRisk, destination.deadlines.recoveredAtRisk} {
		if len(heap) > 0 {
			first = math.Min(first, heap[0].deadline)
		}
	}
	if !math.IsInf(first, 1) {
		destination.lateAt = first - margin
		byLate.push(&s.due.late, destination)
	}
}

// blockedUntil returns the time before which no endpoint of a destination takes a call; negative infinity if one may
// any time.
func (d *Destination) blockedUntil() float64 {
	until := math.Inf(1)
	for _, endpoint := range d.endpoints {
		if endpoint.state != Ready {
			return math.Inf(-1)
		}
		until = math.Min(until, endpoint.route.blockedUntil)
	}
	if len(d.endpoints) == 0 {
		return math.Inf(-1)
	}
	return until
}
