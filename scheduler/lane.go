package scheduler

import "math"

// lane is a tenant's messages that wait for their first call.
type lane struct {
	waiting int         // messages, those behind others of their key included
	queues  []typeQueue // by type, of those types that came here
	ringed  bool
	dearest bool // the latest turn went by value
}

// typeQueue is the messages of one type in a lane that no other of their key is before: a heap in the order of taking.
type typeQueue struct {
	docType *MessageType
	docs    []*Message
}

// retryLane is a destination's messages that wait for a further call, without those behind others of their key.
type retryLane struct {
	docs    []*Message // heap in the order of coming back
	closing []*Message // the same messages, a heap by the time from which they go before fresh ones
}

var (
	byRank = ordering[*Message]{
		before:   func(a, b *Message) bool { return a.rank < b.rank },
		position: func(d *Message) *int32 { return &d.queueAt },
	}
	byClosing = ordering[*Message]{
		before:   func(a, b *Message) bool { return a.closesAt() < b.closesAt() },
		position: func(d *Message) *int32 { return &d.closingAt },
	}
)

func (f *Scheduler) nextRank() uint64 {
	f.rank++
	return f.rank
}

// enqueue makes a message wait for a call, in its lane or, if it has none, among the retries.
func (f *Scheduler) enqueue(d *Message) {
	d.queued = true
	d.Dest.waiting++
	if d.lane != nil {
		d.lane.waiting++
	}
	if d.chain == nil || d.chain.first == d {
		d.expose()
	}
	if !d.Dest.ringed {
		d.Dest.ringed = true
		f.ring.add(d.Dest)
	}
}

// retry makes a message wait for a further call.
func (f *Scheduler) retry(d *Message) {
	d.rank = f.nextRank()
	f.enqueue(d)
}

// resume makes a message that a restart found wait as its history asks for: untried, or for a further call.
func (f *Scheduler) resume(d *Message) {
	if d.owed {
		d.declassify() // it is not given up for room
	} else {
		f.dequeue(d)
		f.retry(d)
	}
	f.await(d)
}

// dequeue ends a message's waiting. It can come back only as a retry.
func (f *Scheduler) dequeue(d *Message) {
	if !d.queued {
		return
	}
	d.queued = false
	if d.Dest.waiting--; d.Dest.waiting == 0 {
		f.ring.unpark(d.Dest.node)
	}
	if d.lane == nil {
		d.Dest.retries.remove(d)
		return
	}
	d.lane.waiting--
	d.lane.remove(d)
	d.lane = nil
}

// expose makes a waiting message that no other of its key is before visible to turns.
func (d *Message) expose() {
	if d.lane == nil {
		d.Dest.retries.add(d)
	} else {
		d.lane.add(d)
	}
}

func (l *lane) add(d *Message) {
	for i := range l.queues {
		if l.queues[i].docType == d.typ {
			byRank.push(&l.queues[i].docs, d)
			return
		}
	}
	q := typeQueue{docType: d.typ}
	byRank.push(&q.docs, d)
	l.queues = append(l.queues, q)
}

func (l *lane) remove(d *Message) {
	for i := range l.queues {
		if l.queues[i].docType == d.typ {
			byRank.remove(&l.queues[i].docs, d)
		}
	}
}

// first is the earliest message that is accepted, nil if none is.
func (l *lane) first(accept func(*Message) bool) *Message {
	var next *Message
	for _, q := range l.queues {
		if d, found := byRank.first(q.docs, accept); found && (next == nil || d.rank < next.rank) {
			next = d
		}
	}
	return next
}

// dearestOf is the accepted message of a lane that is worth most now, of several the earliest. While value does not
// change with age that is the first of a type; else all that waits in the lane is looked at.
func (f *Scheduler) dearestOf(l *lane, accept func(*Message) bool) *Message {
	var next *Message
	consider := func(d *Message) {
		if next == nil || f.dearer(d, next) || !f.dearer(next, d) && d.rank < next.rank {
			next = d
		}
	}
	for _, q := range l.queues {
		if !f.terms.HalvingValue {
			if d, found := byRank.first(q.docs, accept); found {
				consider(d)
			}
			continue
		}
		for _, d := range q.docs {
			if accept(d) {
				consider(d)
			}
		}
	}
	return next
}

func (r *retryLane) add(d *Message) {
	byRank.push(&r.docs, d)
	byClosing.push(&r.closing, d)
}

func (r *retryLane) remove(d *Message) {
	byRank.remove(&r.docs, d)
	byClosing.remove(&r.closing, d)
}

// first is the earliest message that is accepted, nil if none is.
func (r *retryLane) first(accept func(*Message) bool) *Message {
	d, _ := byRank.first(r.docs, accept)
	return d
}

// anyClosing tells if some message soon cannot be sent any more.
func (r *retryLane) anyClosing(now float64) bool {
	return len(r.closing) > 0 && now > r.closing[0].closesAt()
}

// closesAt is when a retry begins to go before fresh messages.
func (d *Message) closesAt() float64 {
	at := d.expiry - d.typ.TimeToLive/2
	if d.ranFrom > 0 && d.typ.Idempotency == IdempotentWithKey {
		at = math.Min(at, d.ranFrom+d.typ.DeduplicationWindow/3)
	}
	return at
}
