package scheduler

import (
	"cmp"
	"math"
	"slices"
)

// Reason a review has to look at is found by time and by news, never by a walk over all held messages. Heaps tell a
// superset of what can be due, and review decides on each by its exact conditions. A message that waits for a call is
// looked at when it begins to wait, when its timer fires, and when news of its destination or the time makes it late
// there; one that is out, once its expiry is over.

const (
	timerSlack  = 1e-6 // seconds: a message is looked at so much early, as sums of times are rounded
	scratchMost = 4096 // candidates for which the array is kept from one review to the next
)

// stage is where a held message is kept until it is due.
type stage uint8

const (
	stageNone  stage = iota
	stageOut         // a call carries it: in Scheduler.flying
	stageYoung       // waits and cannot be late yet: in expiries.young
	stageAged        // waits and is late once its destination is slow enough: in expiries.aged
	stageOwed        // as stageAged, for one that a restart found untried: in expiries.owed
	stageFresh       // as stageYoung, for one that a restart found untried: in no heap but the timers
)

// dueMessages is where a review finds what it has to look at.
type dueMessages struct {
	flying     []*Message     // those that calls carry, a heap by expiry
	timers     []*Message     // those that wait, a heap by their timers
	late       []*Destination // a heap by the time at which their first waiting message is late
	touched    []*Destination // with news since the last review
	candidates []*Message
	reviewed   []*Message // the candidates of the latest review
	fired      []*Message // of this review
}

// expiries is the waiting messages of one destination, each in one heap by expiry.
type expiries struct {
	young, aged, owed []*Message
	fading            []*Message // whose numbers are soon forgotten; those that do not wait any more are removed later
}

var (
	byExpiry = ordering[*Message]{
		before:   func(a, b *Message) bool { return a.expiry < b.expiry },
		position: func(d *Message) *int32 { return &d.expiryAt },
	}
	byTimer = ordering[*Message]{
		before:   func(a, b *Message) bool { return a.timer < b.timer },
		position: func(d *Message) *int32 { return &d.timerAt },
	}
	byLate = ordering[*Destination]{
		before:   func(a, b *Destination) bool { return a.lateAt < b.lateAt },
		position: func(d *Destination) *int32 { return &d.latePosition },
	}
)

// agesAt is when a message can be late first, however slow its destination: see short.
func (d *Message) agesAt() float64 { return d.expiry - math.Max(lastCall, d.time/8) }

// fadesAt is when a repeat of a message is given up if nothing answers, and forgottenAt when it is in any case.
func (d *Message) fadesAt() float64     { return d.ranFrom + d.typ.DeduplicationWindow*2/3 }
func (d *Message) forgottenAt() float64 { return d.ranFrom + d.typ.DeduplicationWindow - 0.05 }

// await keeps a message that waits for a call, from its taking or from the end of a call on.
func (f *Scheduler) await(d *Message) {
	f.unstage(d)
	f.due.consider(d)
	f.due.touch(d.Dest)
	untried := d.owed && d.sent == 0
	switch old := f.now+timerSlack >= d.agesAt(); {
	case old && untried:
		d.Dest.stage(d, stageOwed)
	case old:
		d.Dest.stage(d, stageAged)
	case untried:
		d.stage = stageFresh
	default:
		d.Dest.stage(d, stageYoung)
	}
	f.fade(d, f.now+timerSlack)
	f.setTimer(d)
}

// depart keeps a message that a call carries from now on.
func (f *Scheduler) depart(d *Message) {
	f.unstage(d)
	d.stage = stageOut
	byExpiry.push(&f.due.flying, d)
}

// unstage takes a message out of all that tells when it is due.
func (f *Scheduler) unstage(d *Message) {
	byTimer.remove(&f.due.timers, d)
	if d.stage == stageOut {
		byExpiry.remove(&f.due.flying, d)
	} else if heap := d.Dest.heap(d.stage); heap != nil {
		byExpiry.remove(heap, d)
	}
	d.stage = stageNone
}

func (d *Destination) stage(doc *Message, s stage) {
	if d.expiries == nil {
		d.expiries = &expiries{}
	}
	doc.stage = s
	byExpiry.push(d.heap(s), doc)
}

// heap is where messages of a stage are, nil for those that are in none of the destination's.
func (d *Destination) heap(s stage) *[]*Message {
	switch s {
	case stageYoung:
		return &d.expiries.young
	case stageAged:
		return &d.expiries.aged
	case stageOwed:
		return &d.expiries.owed
	default:
		return nil
	}
}

// setTimer sets a waiting message's timer to the next time at which it may be due or changes its stage.
func (f *Scheduler) setTimer(d *Message) {
	byTimer.remove(&f.due.timers, d)
	d.timer = math.Inf(1)
	if d.stage == stageYoung || d.stage == stageFresh {
		d.timer = d.agesAt()
	}
	if d.ranFrom > 0 && d.typ.Idempotency == IdempotentWithKey {
		for _, at := range [...]float64{d.fadesAt(), d.forgottenAt()} {
			if !(f.now > at) {
				d.timer = math.Min(d.timer, at)
			}
		}
	}
	if !math.IsInf(d.timer, 1) {
		byTimer.push(&f.due.timers, d)
	}
}

// consider has the next review look at a message.
func (u *dueMessages) consider(d *Message) {
	if !d.considered {
		d.considered = true
		u.candidates = append(u.candidates, d)
	}
}

// touch has the next review look at what news of a destination may have made due.
func (u *dueMessages) touch(d *Destination) {
	if !d.touched {
		d.touched = true
		u.touched = append(u.touched, d)
	}
}

// collectDue is the messages that the review has to look at, in the order of taking. They are valid until the next call.
func (f *Scheduler) collectDue() []*Message {
	u := &f.due
	limit := f.now + timerSlack
	visit(u.flying, func(d *Message) bool { return d.expiry+overdue <= limit }, u.consider)
	f.fireTimers(limit)
	visit(u.late, func(d *Destination) bool { return d.lateAt <= limit }, u.touch)
	for _, d := range u.touched {
		d.touched = false
		f.examine(d, limit)
	}
	clear(u.touched)
	u.touched = u.touched[:0]
	found := u.candidates
	u.candidates, u.reviewed = u.scratch(), found
	for _, d := range found {
		d.considered = false
	}
	slices.SortFunc(found, func(a, b *Message) int { return cmp.Compare(a.taking, b.taking) })
	return found
}

// scratch is the array of the latest review's candidates, emptied, unless it is large.
func (u *dueMessages) scratch() []*Message {
	if cap(u.reviewed) > scratchMost {
		return nil
	}
	clear(u.reviewed)
	return u.reviewed[:0]
}

// fireTimers moves on the messages whose timers have fired.
func (f *Scheduler) fireTimers(limit float64) {
	u := &f.due
	within := func(d *Message) bool { return d.timer <= limit }
	visit(u.timers, within, func(d *Message) { u.fired = append(u.fired, d) })
	for _, d := range u.fired {
		u.consider(d)
		f.fire(d, limit)
	}
	u.fired = nil
}

// fire carries out what the time has brought to a waiting message.
func (f *Scheduler) fire(d *Message, limit float64) {
	if limit >= d.agesAt() {
		f.age(d)
	}
	f.fade(d, limit)
	f.setTimer(d)
}

// fade enters a message whose number is soon forgotten among those that are given up if nothing answers.
func (f *Scheduler) fade(d *Message, limit float64) {
	if d.ranFrom > 0 && d.typ.Idempotency == IdempotentWithKey && !d.fading && limit >= d.fadesAt() {
		d.fading = true
		d.Dest.expiries.fading = append(d.Dest.expiries.fading, d)
	}
}

// age makes a message one that may be late.
func (f *Scheduler) age(d *Message) {
	next := stageAged
	switch d.stage {
	case stageYoung:
		byExpiry.remove(&d.Dest.expiries.young, d)
	case stageFresh:
		next = stageOwed
	default:
		return
	}
	d.Dest.stage(d, next)
	f.due.touch(d.Dest)
}

// examine finds what may be due at a destination: what its waits outlast, what is late, and what its silence ends.
func (f *Scheduler) examine(d *Destination, limit float64) {
	e := d.expiries
	if e == nil {
		byLate.remove(&f.due.late, d)
		return
	}
	shut := d.shutUntil()
	outlasted := func(doc *Message) bool { return doc.expiry <= shut }
	visit(e.young, outlasted, f.due.consider)
	visit(e.aged, outlasted, f.due.consider)
	margin := math.Max(lastCall, d.took.slow)
	late := func(doc *Message) bool { return doc.expiry-margin <= limit }
	visit(e.aged, late, f.due.consider)
	visit(e.owed, late, f.due.consider)
	e.fading = slices.DeleteFunc(e.fading, func(doc *Message) bool {
		doc.fading = doc.queued
		return !doc.queued
	})
	if len(e.fading) > 0 && f.dark(d) {
		for _, doc := range e.fading {
			f.due.consider(doc)
		}
	}
	f.scheduleLate(d, margin)
	if d.held == 0 {
		d.expiries = nil
	}
}

// scheduleLate sets the time at which the first waiting message of a destination is late.
func (f *Scheduler) scheduleLate(d *Destination, margin float64) {
	byLate.remove(&f.due.late, d)
	first := math.Inf(1)
	for _, heap := range [...][]*Message{d.expiries.aged, d.expiries.owed} {
		if len(heap) > 0 {
			first = math.Min(first, heap[0].expiry)
		}
	}
	if !math.IsInf(first, 1) {
		d.lateAt = first - margin
		byLate.push(&f.due.late, d)
	}
}

// shutUntil is the time before which no endpoint of a destination takes a call; far in the past if one may any time.
func (d *Destination) shutUntil() float64 {
	until := math.Inf(1)
	for _, t := range d.targets {
		if t.standing != Ready {
			return math.Inf(-1)
		}
		until = math.Min(until, t.route.closed)
	}
	if len(d.targets) == 0 {
		return math.Inf(-1)
	}
	return until
}
