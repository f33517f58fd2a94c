package forwarder

import (
	"time"

	"spanflow/internal/wal"
	"spanflow/scheduler"
	"spanflow/transport"
)

// asked carries out what a caller wants.
func (o *owner) asked(a *asked) {
	switch {
	case a.Ping && o.lame: // clients are sent elsewhere: their frontend asks, and takes this for a no
		a.From.Answer(transport.Reply{Status: transport.StatusInvalid, Reason: "lameduck: this forwarder is being emptied"})
	case a.Ping:
		a.From.Answer(transport.Reply{Status: transport.StatusAlive})
	case a.Submission != nil:
		reply := o.handedIn(a)
		o.meter.SubmissionAnswered(a.front.front, reply.Status)
		if typ, known := o.types[a.Submission.Type]; known && reply.Status == transport.StatusOverloaded {
			o.figures.count(&o.figures.throttled, typ)
		}
		if reply.Status != transport.StatusAccepted && !a.From.Disconnected() {
			a.From.Answer(reply)
		}
	default:
		if o.mayLog("bad command") {
			o.log.Warn().Str("answer", a.Malformed).Msg("bad command")
		}
		a.From.Answer(transport.Reply{Status: transport.StatusMalformed, Reason: a.Malformed, Close: a.Close})
	}
}

const (
	refuseMost = 9_999_999   // milliseconds
	lateList   = time.Second // until discovery has told its list, most likely
	mostNames  = 16          // unknown names that get a line
)

func declined(why string) transport.Reply {
	return transport.Reply{Status: transport.StatusInvalid, Reason: why}
}

// handedIn takes a message on, if the scheduler will, and answers its caller then; any other answer it returns.
func (o *owner) handedIn(a *asked) transport.Reply {
	in := a.Submission
	typ, known := o.types[in.Type]
	if !known {
		return declined("unknown type of document")
	}
	if reply, refused := o.refused(in, typ); refused {
		return reply
	}
	if a.From.Disconnected() { // nobody hears the answer: whatever happened to it would count for nothing
		return transport.Reply{Status: transport.StatusOverloaded}
	}
	e := o.entry(a)
	left := in.SecondsLeft - time.Since(in.ReceivedAt).Seconds()
	o.noteUnknown(in.UnknownOption)
	if reply, done := o.toBacklog(a, e, left); done {
		return reply
	}
	if taken, back := o.f.Admit(e.Size(), left); !taken {
		o.counts.refused++
		return transport.Reply{Status: transport.StatusOverloaded, RetryAfter: min(int(back*1000), refuseMost)}
	}
	if err := o.ledger.Append(e); err != nil {
		o.logLedgerError(err)
		return transport.Reply{Status: transport.StatusOverloaded}
	}
	o.take(a, e, typ, left)
	return transport.Reply{Status: transport.StatusAccepted}
}

// refused tells if a message is turned away for what it says, and with which answer.
func (o *owner) refused(in *transport.Submission, typ int) (reply transport.Reply, refused bool) {
	_, listed := o.dests[in.Destination]
	switch {
	case o.byID[in.ID] != nil || o.recentIDs.has(in.ID) || o.stored.knows(in.ID):
		return declined("a document with this id was taken on"), true
	case o.order.Scheduler.Types[typ].Idempotency == scheduler.IdempotentWithKey && in.IdempotencyKey == "":
		return declined("k is missing, by which a repeat is known"), true
	case !listed && o.heard:
		return declined("unknown destination"), true
	case !listed: // the list may be old
		return transport.Reply{Status: transport.StatusOverloaded, RetryAfter: int(1000 * min(lateList.Seconds(), o.order.Scheduler.MaxRetryAfter))}, true
	}
	return transport.Reply{}, false
}

// entry is what the write-ahead log keeps of a message.
func (o *owner) entry(a *asked) *wal.Entry {
	in := a.Submission
	_, held := a.From.(transport.WaitingCaller)
	return &wal.Entry{
		Key:            in.Key,
		Destination:    in.Destination,
		Tenant:         index(o.order.Names.Tenants, in.Tenant),
		Type:           in.Type,
		ID:             in.ID,
		IdempotencyKey: in.IdempotencyKey,
		Body:           in.Body,
		Expiry:         in.ReceivedAt.UnixMicro() + micros(in.SecondsLeft),
		Frontend:       a.front.name,
		CallerWaits:    held,
	}
}

// noteUnknown logs a name that came with a message and is not known here, each once.
func (o *owner) noteUnknown(name string) {
	if name != "" && !o.unknown[name] && len(o.unknown) < mostNames {
		o.unknown[name] = true
		o.log.Warn().Str("name", name).Msg("unknown name with a document")
	}
}

// take gives the scheduler a message that the write-ahead log has, and answers its caller.
func (o *owner) take(a *asked, e *wal.Entry, typ int, left float64) {
	in := a.Submission
	p := o.paper(e, typ)
	p.holder, _ = a.From.(transport.WaitingCaller)
	p.came = in.ReceivedAt
	p.doc.AnsweredByNotice = p.doc.AnsweredByNotice && p.holder == nil
	o.f.Accept(p.doc, typ, left)
	o.inMemory(p)
	if !a.From.Answer(transport.Reply{Status: transport.StatusAccepted}) { // not heard: its caller hands it in again under another id
		o.f.Withdraw(p.doc)
		o.recordDone(p)
		o.removeIfDone(p)
		return
	}
	if p.traced {
		o.log.Info().Str("id", p.ID).Uint64("dest", in.Destination).Str("type", in.Type).Float64("left_s", left).Msg("trace: taken")
	}
	o.counts.taken++
}
