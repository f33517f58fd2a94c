package forwarder

import (
	"spanflow/scheduler"
	"spanflow/transport"
)

// ended takes in the end of a call.
func (o *owner) ended(e transport.CallResult) {
	for pass := range 2 { // delivered ones first: the scheduler judges a call by the first end
		for i, p := range e.Call.Messages {
			if (e.Codes[i] == transport.ResultOK) == (pass == 0) {
				o.end(p.MessageID, e.Codes[i], &e)
			}
		}
	}
	if e.Reason != "" {
		o.log.Info().Str("target", e.Call.Address).Stringer("end", e.Codes[0]).Dur("took_ms", e.Latency).Str("why", e.Reason).
			Msg("call failed")
	}
}

// end takes in the end of one message's attempt.
func (o *owner) end(door uint64, end transport.ResultCode, e *transport.CallResult) {
	o.counts.ends[end]++
	o.meter.AttemptEnded(end, e.Latency)
	p := o.docs[door]
	if p == nil {
		return
	}
	if p.traced {
		o.log.Info().Str("id", p.ID).Stringer("end", end).Dur("took_ms", e.Latency).Msg("trace: end of a transmission")
	}
	outcome, over := end.Outcome()
	if end.Written() {
		o.figures.relayed++
	}
	o.f.AttemptEnded(p.doc, scheduler.AttemptResult{Outcome: outcome, Final: over, Latency: e.Latency.Seconds(), RetryAfter: e.RetryAfter, ReportedLimit: e.ReportedLimit,
		ReportedShare: e.ReportedShare})
	switch {
	case over && p.doc.AwaitingAcknowledgement(): // owed until that is heard, so it stays recorded
	case over:
		o.finish(p, outcome)
	default:
		if err := o.ledger.RecordAttemptEnd(door, end.MayHaveRun()); err != nil {
			o.logLedgerError(err)
		}
	}
	o.noteOutage(p.doc.Dest)
	o.removeIfDone(p)
}

// finish records and tells the final answer of a message whose last attempt gave it.
func (o *owner) finish(p *paper, outcome scheduler.Outcome) {
	o.recordDone(p)
	final := transport.Failed
	if outcome == scheduler.Delivered {
		final = transport.Delivered
		o.counts.delivered++
	}
	o.final(p, final)
	if p.holder != nil && !p.withdrawn {
		p.holder.Complete(transport.FinalAnswer{MessageID: p.MessageID, ID: p.ID, Outcome: final})
	}
}
