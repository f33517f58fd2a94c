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

func (l *heldList) add(d *Message) {
	d.previous = l.last
	if l.last == nil {
		l.first = d
	} else {
		l.last.next = d
	}
	l.last = d
	l.count++
}

func (l *heldList) remove(d *Message) {
	if d.previous == nil {
		l.first = d.next
	} else {
		d.previous.next = d.next
	}
	if d.next == nil {
		l.last = d.previous
	} else {
		d.next.previous = d.previous
	}
	d.previous, d.next = nil, nil
	l.count--
}

func (l *heldList) all() iter.Seq[*Message] {
	return func(yield func(*Message) bool) {
		for d := l.first; d != nil; d = d.next {
			if !yield(d) {
				return
			}
		}
	}
}

// class is a destination's held messages of one type that are alike in being beyond their tenant's share or not, in
// the order of taking: what may have to make room for others. Messages that a restart found untried are in none.
type class struct {
	docType     *MessageType
	surplus     bool
	first, last *Message
}

// classify enters a message that was just taken in its class.
func (d *Destination) classify(doc *Message) {
	c := d.class(doc)
	doc.class, doc.classPrevious = c, c.last
	if c.last == nil {
		c.first = doc
	} else {
		c.last.classNext = doc
	}
	c.last = doc
}

func (d *Destination) class(doc *Message) *class {
	for _, c := range d.classes {
		if c.docType == doc.typ && c.surplus == doc.surplus {
			return c
		}
	}
	c := &class{docType: doc.typ, surplus: doc.surplus}
	d.classes = append(d.classes, c)
	return c
}

// declassify takes a message out of its class.
func (doc *Message) declassify() {
	c := doc.class
	if c == nil {
		return
	}
	if doc.classPrevious == nil {
		c.first = doc.classNext
	} else {
		doc.classPrevious.classNext = doc.classNext
	}
	if doc.classNext == nil {
		c.last = doc.classPrevious
	} else {
		doc.classNext.classPrevious = doc.classPrevious
	}
	doc.class, doc.classPrevious, doc.classNext = nil, nil, nil
}

// oldest is the first message of a class that waits for a call, nil if none does.
func (c *class) oldest() *Message {
	doc := c.first
	for doc != nil && !doc.queued {
		doc = doc.classNext
	}
	return doc
}

// cheapest is the message of a class that waits, surely has not run and is worth least now; of several the latest.
// While value does not change with age the search ends at the first one from the end of the class.
func (f *Scheduler) cheapest(c *class) *Message {
	var least *Message
	for doc := c.last; doc != nil; doc = doc.classPrevious {
		if !doc.queued || doc.ranFrom != 0 {
			continue
		}
		if least == nil || f.worth(doc) < f.worth(least) {
			least = doc
		}
		if !f.terms.HalvingValue {
			break
		}
	}
	return least
}

// victim is the waiting message of a destination that makes room for others: of those that surely have not run the one
// worth least, of several the latest; the oldest one if only it is worth less or nothing else waits. Nil: none waits.
func (f *Scheduler) victim(d *Destination) *Message {
	if d == nil {
		return nil
	}
	var oldest, least *Message
	for _, c := range d.classes {
		if doc := c.oldest(); doc != nil && (oldest == nil || doc.taking < oldest.taking) {
			oldest = doc
		}
		doc := f.cheapest(c)
		if doc == nil {
			continue
		}
		if least == nil || f.dearer(least, doc) || !f.dearer(doc, least) && doc.taking > least.taking {
			least = doc
		}
	}
	if least == nil || f.dearer(least, oldest) {
		return oldest
	}
	return least
}

// chain is the messages of one ordering key that are not over, in the order of taking.
type chain struct {
	first, last *Message
	rest        float64 // nothing new before
}

// chain puts a message behind the earlier ones of its key.
func (f *Scheduler) chain(d *Message) {
	if !d.typ.InOrder || d.Key == 0 {
		return
	}
	if d.chain = f.chains[d.Key]; d.chain == nil {
		f.forgetRestedKeys()
		d.chain = &chain{}
		f.chains[d.Key] = d.chain
	}
	c := d.chain
	d.chainPrevious = c.last
	if c.last == nil {
		c.first = d
	} else {
		c.last.chainNext = d
	}
	c.last = d
}

// forgetRestedKeys lets go of the keys whose last message ended while they rested, once there are many.
func (f *Scheduler) forgetRestedKeys() {
	if len(f.chains) <= 2*f.held.count+64 {
		return
	}
	for key, c := range f.chains {
		if c.first == nil && c.rest <= f.now {
			delete(f.chains, key)
		}
	}
}

// unchain lets go of a message of which nothing more can be heard. The next one of its key may be sent then.
func (f *Scheduler) unchain(d *Message) {
	if !d.Finished() {
		return
	}
	if !d.freed {
		d.freed = true
		f.kept -= d.Size
	}
	c := d.chain
	if c == nil {
		return
	}
	d.chain = nil
	wasFirst := c.first == d
	c.remove(d)
	if c.first == nil {
		if c.rest <= f.now {
			delete(f.chains, d.Key)
		}
	} else if wasFirst && c.first.queued {
		c.first.expose()
	}
}

func (c *chain) remove(d *Message) {
	if d.chainPrevious == nil {
		c.first = d.chainNext
	} else {
		d.chainPrevious.chainNext = d.chainNext
	}
	if d.chainNext == nil {
		c.last = d.chainPrevious
	} else {
		d.chainNext.chainPrevious = d.chainPrevious
	}
	d.chainPrevious, d.chainNext = nil, nil
}

// NextOfKey is the next message of the same ordering key that is not over, in the order of taking; nil if there is none
// or the message's type does not keep the order of keys.
func (d *Message) NextOfKey() *Message { return d.chainNext }

// ResultRetryAfter tells that a message waits for a call: it may be taken back by Withdraw without a trace.
func (d *Message) Waiting() bool { return d.queued }

// Dark tells that no endpoint of a destination answers.
func (f *Scheduler) Dark(d *Destination) bool { return f.dark(d) }

// Stored counts a message for a destination that is kept elsewhere from its taking on: it is asked for all the same.
func (f *Scheduler) Stored(d *Destination) { d.taken++ }

// Uncount takes a message off what a destination is asked for: it was counted before, or by an earlier process.
func (f *Scheduler) Uncount(d *Destination) { d.taken-- }

// Answered tells that a destination has answered as it should since the start.
func (f *Scheduler) Answered(d *Destination) bool {
	return slices.ContainsFunc(d.targets, func(t *Endpoint) bool { return t.lastGood > 0 })
}

// TakeBack takes a message that was kept elsewhere, with its history, before anything newer of its key.
func (f *Scheduler) TakeBack(d *Message, typ int, left float64, past RecoveredState) {
	if past.Attempts > 0 {
		f.Recover(d, typ, left, past)
	} else {
		f.Accept(d, typ, left)
	}
}

// GiveUp takes a message that was kept elsewhere, with its history, and has the next settling answer it without a call.
func (f *Scheduler) GiveUp(d *Message, typ int, left float64, past RecoveredState) {
	f.Recover(d, typ, left, past)
	f.Uncount(d.Dest)
	if !d.answered {
		f.answer(d)
	}
}
