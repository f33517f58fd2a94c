package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// A deadline check finds the messages that may be due by their times and by events. It never walks over all held
// messages. Heaps yield a superset of the messages that are due, and endExpired tests the exact conditions for each. A
// queued message is checked when it is queued, when its timer fires, and when it becomes too late for its destination,
// because of an event there or because time passed. A message in flight is checked once its deadline has passed.

const (
	timerSlack       = 1e-6 // seconds by which a message is checked early, because sums of times are rounded
	maxScratch       = 4096 // largest capacity of the candidates' array that is reused by later checks
	keyExpiredMargin = 0.05 // repeats of a message end this many seconds before its deduplication window

	// While no endpoint answers, a message's repeats already end after this fraction of its deduplication window.
	keyExpiringFactor  = 2
	keyExpiringDivisor = 3
)

// stage identifies the structure that holds a message until it is due.
type stage uint8

const (
	stageNone            stage = iota
	stageInFlight              // in a call; kept in dueMessages.inFlight
	stageQueued                // queued and not late yet, however slow the destination is; in deadlineHeaps.queued
	stageAtRisk                // queued and late if the destination is slow enough; in deadlineHeaps.atRisk
	stageRecoveredAtRisk       // as stageAtRisk, for recovered untried messages; in deadlineHeaps.recoveredAtRisk
	stageRecovered             // as stageQueued, for recovered untried messages; in no heap except for the timers
)

// dueMessages holds the structures in which a deadline check finds the messages to check.
type dueMessages struct {
	inFlight   []*Message     // heap by deadline
	timers     []*Message     // queued messages, a heap by Message.timer
	late       []*Destination // heap by Destination.lateAt
	touched    []*Destination // destinations with events since the last check
	candidates []*Message     // messages for the next check
	reviewed   []*Message     // candidates of the latest check
	fired      []*Message     // messages whose timers fired in this check
}

// deadlineHeaps holds the queued messages of one destination in heaps by deadline. A message is in at most one of them.
type deadlineHeaps struct {
	queued, atRisk, recoveredAtRisk []*Message

	// keyExpiring lists the messages whose idempotency keys the destination will soon forget. Messages that are no
	// longer queued are removed at the next examination of the destination.
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

// atRiskAt returns the earliest time at which a message can be too late for even the slowest destination; see tooLate.
func (m *Message) atRiskAt() float64 {
	return m.deadline - math.Max(minTimeLeft, m.lifetime/lateLifetimeDivisor)
}

// keyExpiringAt returns the time after which a message is not repeated while no endpoint answers.
func (m *Message) keyExpiringAt() float64 {
	return m.firstRanAt + m.messageType.DeduplicationWindow*keyExpiringFactor/keyExpiringDivisor
}

// keyExpiredAt returns the time after which a message is not repeated in any case.
func (m *Message) keyExpiredAt() float64 {
	return m.firstRanAt + m.messageType.DeduplicationWindow - keyExpiredMargin
}

// trackQueued enters a message that was just queued, after its admission or the end of a call, into the structures for
// deadline checks.
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

// trackInFlight moves a message whose call begins to the messages in flight.
func (s *Scheduler) trackInFlight(message *Message) {
	s.unstage(message)
	message.stage = stageInFlight
	byDeadline.push(&s.due.inFlight, message)
}

// unstage removes a message from its stage and from the timers.
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

// stageHeap returns the destination's heap for a stage, nil if the stage has none.
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

// setTimer sets a queued message's timer to the next time at which the message may be due or changes its stage.
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

// addCandidate adds a message to the next deadline check.
func (u *dueMessages) addCandidate(message *Message) {
	if !message.isCandidate {
		message.isCandidate = true
		u.candidates = append(u.candidates, message)
	}
}

// touch makes the next deadline check examine a destination, because an event may have made its messages due.
func (u *dueMessages) touch(destination *Destination) {
	if !destination.touched {
		destination.touched = true
		u.touched = append(u.touched, destination)
	}
}

// collectDue returns the messages that may be due, in the order of admission. The slice is valid until the next call.
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

// scratch returns the emptied array of the latest check's candidates for reuse, or nil if the array is large.
func (u *dueMessages) scratch() []*Message {
	if cap(u.reviewed) > maxScratch {
		return nil
	}
	clear(u.reviewed)
	return u.reviewed[:0]
}

// fireTimers processes the messages whose timers have fired.
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

// fire updates the stage of a queued message whose timer has fired, and sets its next timer.
func (s *Scheduler) fire(message *Message, limit float64) {
	if limit >= message.atRiskAt() {
		s.moveToAtRisk(message)
	}
	s.trackKeyExpiry(message, limit)
	s.setTimer(message)
}

// trackKeyExpiry enters a message whose key is soon forgotten into the list of messages that are rejected if no
// endpoint answers.
func (s *Scheduler) trackKeyExpiry(message *Message, limit float64) {
	if message.hasUsedKey() && !message.keyExpiring && limit >= message.keyExpiringAt() {
		message.keyExpiring = true
		message.Dest.deadlines.keyExpiring = append(message.Dest.deadlines.keyExpiring, message)
	}
}

// moveToAtRisk moves a message to the heap of messages that may be late.
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

// examine adds the messages of a destination that may be due to the candidates: those with a deadline before the end of
// a block, those that are late, and, if no endpoint answers, those whose keys are soon forgotten.
func (s *Scheduler) examine(destination *Destination, limit float64) {
	heaps := destination.deadlines
	if heaps == nil {
		byLate.remove(&s.due.late, destination)
		return
	}
	blockedUntil := destination.blockedUntil()
	blocked := func(message *Message) bool { return message.deadline <= blockedUntil }
	visit(heaps.queued, blocked, s.due.addCandidate)
	visit(heaps.atRisk, blocked, s.due.addCandidate)
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

// scheduleLate sets the time at which the first queued message of a destination becomes late.
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

// blockedUntil returns the time before which the routes of all endpoints of a destination take no call. It returns
// negative infinity if there is no endpoint or if one is not ready, as it may become ready at any time.
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
