package forwarder

import (
	"spanflow/scheduler"
	"spanflow/transport"
)

// ended takes in the end of a call.
func (o *owner) ended(e transport.Ended) {
	for pass := range 2 { // delivered ones first: the module judges a call by the first end
		for i, p := range e.Call.Papers {
			if (e.Ends[i] == transport.Took) == (pass == 0) {
				o.end(p.Door, e.Ends[i], &e)
			}
		}
	}
	if e.Why != "" {
		o.log.Info().Str("target", e.Call.Target).Stringer("end", e.Ends[0]).Dur("took_ms", e.Took).Str("why", e.Why).
			Msg("call failed")
	}
}

// end takes in the end of one document's transmission.
func (o *owner) end(door uint64, end transport.End, e *transport.Ended) {
	o.counts.ends[end]++
	o.meter.End(end, e.Took)
	p := o.docs[door]
	if p == nil {
		return
	}
	if p.traced {
		o.log.Info().Str("id", p.ID).Stringer("end", end).Dur("took_ms", e.Took).Msg("trace: end of a transmission")
	}
	outcome, over := end.Outcome()
	if end.Written() {
		o.figures.relayed++
	}
	o.f.AttemptEnded(p.doc, scheduler.AttemptResult{Outcome: outcome, Final: over, Latency: e.Took.Seconds(), RetryAfter: e.Wait, ReportedLimit: e.Most,
		ReportedShare: e.Left})
	switch {
	case over && p.doc.AwaitingAcknowledgement(): // owed until that is heard, so it stays recorded
	case over:
		o.finish(p, outcome)
	default:
		if err := o.ledger.Back(door, end.Ran()); err != nil {
			o.logLedgerError(err)
		}
	}
	o.noteOutage(p.doc.Dest)
	o.removeIfDone(p)
}

// finish records and tells the final answer of a document whose last transmission gave it.
func (o *owner) finish(p *paper, outcome scheduler.Outcome) {
	o.recordDone(p)
	final := transport.Abandoned
	if outcome == scheduler.Delivered {
		final = transport.Delivered
		o.counts.delivered++
	}
	o.final(p, final)
	if p.holder != nil && !p.withdrawn {
		p.holder.Tell(transport.Final{Door: p.Door, ID: p.ID, Outcome: final})
	}
}
