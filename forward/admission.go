package forward

import (
	"time"

	"spanflow/choice"
	"spanflow/internal/ledger"
	"spanflow/seam"
)

func (o *owner) asked(a *asked) {
	switch {
	case a.Alive && o.lame: // clients are sent elsewhere: their front asks, and takes this for a no
		a.From.Answer(seam.Reply{Word: seam.Declined, Why: "lameduck: this forwarder is being emptied"})
	case a.Alive:
		a.From.Answer(seam.Reply{Word: seam.Alive})
	case a.Paper != nil:
		reply := o.handedIn(a)
		o.meter.Asked(a.front.front, reply.Word)
		if typ, known := o.types[a.Paper.Type]; known && reply.Word == seam.Busy {
			o.figures.count(&o.figures.throttled, typ)
		}
		if reply.Word != seam.Taken && !a.From.Gone() {
			a.From.Answer(reply)
		}
	default:
		if o.worth("bad command") {
			o.log.Warn().Str("answer", a.Why).Msg("bad command")
		}
		a.From.Answer(seam.Reply{Word: seam.Malformed, Why: a.Why, Last: a.Last})
	}
}

// handedIn takes a document on, if the module will, and answers its caller then; any other answer it returns.
func (o *owner) handedIn(a *asked) seam.Reply {
	in := a.Paper
	declined := func(why string) seam.Reply { return seam.Reply{Word: seam.Declined, Why: why} }
	typ, known := o.types[in.Type]
	if !known {
		return declined("unknown type of document")
	}
	_, listed := o.dests[in.Dest]
	switch {
	case o.byID[in.ID] != nil || o.past.has(in.ID):
		return declined("a document with this id was taken on")
	case o.order.Terms.Types[typ].Repeat == choice.Numbered && in.Mark == "":
		return declined("k is missing, by which a repeat is known")
	case !listed && o.heard:
		return declined("unknown destination")
	case !listed: // the list may be old
		return seam.Reply{Word: seam.Busy, Wait: int(1000 * min(lateList.Seconds(), o.order.Terms.ComeBackMost))}
	}
	if a.From.Gone() { // nobody hears the answer: whatever happened to it would count for nothing
		return seam.Reply{Word: seam.Busy}
	}
	holder, held := a.From.(seam.Holder)
	e := &ledger.Entry{Key: in.Key, Dest: in.Dest, Tenant: index(o.order.Names.Tenants, in.Tenant), Type: in.Type, ID: in.ID,
		Mark: in.Mark, Body: in.Body, Expiry: in.Came.UnixMicro() + micros(in.Left), Front: a.front.name, Held: held}
	left := in.Left - time.Since(in.Came).Seconds()
	if in.Unknown != "" && !o.unknown[in.Unknown] && len(o.unknown) < mostNames {
		o.unknown[in.Unknown] = true
		o.log.Warn().Str("name", in.Unknown).Msg("unknown name with a document")
	}
	if taken, back := o.f.Admit(e.Size(), left); !taken {
		o.counts.refused++
		return seam.Reply{Word: seam.Busy, Wait: min(int(back*1000), refuseMost)}
	}
	if err := o.ledger.Take(e); err != nil {
		o.unkept(err)
		return seam.Reply{Word: seam.Busy}
	}
	p := o.paper(e, typ)
	p.holder, p.came = holder, in.Came
	p.doc.Noticed = p.doc.Noticed && !held
	o.f.Take(p.doc, typ, left)
	if !a.From.Answer(seam.Reply{Word: seam.Taken}) { // not heard: its caller hands it in again under another id
		o.f.Withdrawn(p.doc)
		o.over(p)
		o.forget(p)
		return seam.Reply{Word: seam.Taken}
	}
	if p.traced {
		o.log.Info().Str("id", p.ID).Uint64("dest", in.Dest).Str("type", in.Type).Float64("left_s", left).Msg("trace: taken")
	}
	o.counts.taken++
	return seam.Reply{Word: seam.Taken}
}
