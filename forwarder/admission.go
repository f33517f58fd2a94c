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
	case a.Alive && o.lame: // clients are sent elsewhere: their front asks, and takes this for a no
		a.From.Answer(transport.Reply{Word: transport.Declined, Why: "lameduck: this forwarder is being emptied"})
	case a.Alive:
		a.From.Answer(transport.Reply{Word: transport.Alive})
	case a.Paper != nil:
		reply := o.handedIn(a)
		o.meter.Asked(a.front.front, reply.Word)
		if typ, known := o.types[a.Paper.Type]; known && reply.Word == transport.Busy {
			o.figures.count(&o.figures.throttled, typ)
		}
		if reply.Word != transport.Taken && !a.From.Gone() {
			a.From.Answer(reply)
		}
	default:
		if o.mayLog("bad command") {
			o.log.Warn().Str("answer", a.Why).Msg("bad command")
		}
		a.From.Answer(transport.Reply{Word: transport.Malformed, Why: a.Why, Last: a.Last})
	}
}

const (
	refuseMost = 9_999_999   // milliseconds
	lateList   = time.Second // until discovery has told its list, most likely
	mostNames  = 16          // unknown names that get a line
)

func declined(why string) transport.Reply { return transport.Reply{Word: transport.Declined, Why: why} }

// handedIn takes a document on, if the module will, and answers its caller then; any other answer it returns.
func (o *owner) handedIn(a *asked) transport.Reply {
	in := a.Paper
	typ, known := o.types[in.Type]
	if !known {
		return declined("unknown type of document")
	}
	if reply, refused := o.refused(in, typ); refused {
		return reply
	}
	if a.From.Gone() { // nobody hears the answer: whatever happened to it would count for nothing
		return transport.Reply{Word: transport.Busy}
	}
	e := o.entry(a)
	left := in.Left - time.Since(in.Came).Seconds()
	o.noteUnknown(in.Unknown)
	if reply, done := o.toBacklog(a, e, left); done {
		return reply
	}
	if taken, back := o.f.Admit(e.Size(), left); !taken {
		o.counts.refused++
		return transport.Reply{Word: transport.Busy, Wait: min(int(back*1000), refuseMost)}
	}
	if err := o.ledger.Take(e); err != nil {
		o.logLedgerError(err)
		return transport.Reply{Word: transport.Busy}
	}
	o.take(a, e, typ, left)
	return transport.Reply{Word: transport.Taken}
}

// refused tells if a document is turned away for what it says, and with which answer.
func (o *owner) refused(in *transport.Handed, typ int) (reply transport.Reply, refused bool) {
	_, listed := o.dests[in.Dest]
	switch {
	case o.byID[in.ID] != nil || o.recentIDs.has(in.ID) || o.stored.knows(in.ID):
		return declined("a document with this id was taken on"), true
	case o.order.Terms.Types[typ].Idempotency == scheduler.IdempotentWithKey && in.Mark == "":
		return declined("k is missing, by which a repeat is known"), true
	case !listed && o.heard:
		return declined("unknown destination"), true
	case !listed: // the list may be old
		return transport.Reply{Word: transport.Busy, Wait: int(1000 * min(lateList.Seconds(), o.order.Terms.MaxRetryAfter))}, true
	}
	return transport.Reply{}, false
}

// entry is what the ledger keeps of a document.
func (o *owner) entry(a *asked) *wal.Entry {
	in := a.Paper
	_, held := a.From.(transport.Holder)
	return &wal.Entry{
		Key:    in.Key,
		Dest:   in.Dest,
		Tenant: index(o.order.Names.Tenants, in.Tenant),
		Type:   in.Type,
		ID:     in.ID,
		Mark:   in.Mark,
		Body:   in.Body,
		Expiry: in.Came.UnixMicro() + micros(in.Left),
		Front:  a.front.name,
		Held:   held,
	}
}

// noteUnknown logs a name that came with a document and is not known here, each once.
func (o *owner) noteUnknown(name string) {
	if name != "" && !o.unknown[name] && len(o.unknown) < mostNames {
		o.unknown[name] = true
		o.log.Warn().Str("name", name).Msg("unknown name with a document")
	}
}

// take gives the module a document that the ledger has, and answers its caller.
func (o *owner) take(a *asked, e *wal.Entry, typ int, left float64) {
	in := a.Paper
	p := o.paper(e, typ)
	p.holder, _ = a.From.(transport.Holder)
	p.came = in.Came
	p.doc.AnsweredByNotice = p.doc.AnsweredByNotice && p.holder == nil
	o.f.Accept(p.doc, typ, left)
	o.inMemory(p)
	if !a.From.Answer(transport.Reply{Word: transport.Taken}) { // not heard: its caller hands it in again under another id
		o.f.Withdraw(p.doc)
		o.recordDone(p)
		o.removeIfDone(p)
		return
	}
	if p.traced {
		o.log.Info().Str("id", p.ID).Uint64("dest", in.Dest).Str("type", in.Type).Float64("left_s", left).Msg("trace: taken")
	}
	o.counts.taken++
}
