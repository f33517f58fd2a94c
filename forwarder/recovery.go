package forwarder

import (
	"time"

	"spanflow/internal/statefile"
	"spanflow/internal/wal"
	"spanflow/scheduler"
	"spanflow/transport"
)

// begin gives the scheduler the known list and what an earlier process owed.
func (o *owner) begin(now time.Time) {
	o.f = scheduler.New(o.order.Scheduler, o.order.Seed, o.clock(now), o)
	if o.order.InheritedListener > 0 { // this process and the one before are one forwarder; a restart ends the retry-after state
		o.retryAfter = statefile.ReadRetryAfter(o.order.Folder, o.clock(now))
	}
	if o.learnedLatencies = readLatencies(o.order.Folder, o.order.latencyDeployment(), &o.log); len(o.learnedLatencies) > 0 {
		o.log.Info().Int("destinations", len(o.learnedLatencies)).Msg("learned latencies restored")
	}
	o.listed(&o.order.LastEndpoints, true)
	o.runSpooledCommands()
	owed := o.ledger.Pending()
	overtaking := o.resolve()
	for _, e := range owed {
		o.recover(e, now, overtaking[e.Seq])
	}
	o.f.Reconcile()
	o.flush()
}

// recover takes up a message that an earlier process owed. One that would overtake stored ones is answered without a
// call.
func (o *owner) recover(e *wal.Entry, now time.Time, overtaking bool) {
	typ, known := o.types[e.Type]
	if !known {
		o.log.Error().Str("id", e.ID).Str("type", e.Type).Msg("recovered document of an unknown type")
		typ = 0
	}
	past := o.pastOf(e)
	p := o.paper(e, typ)
	switch {
	case e.CallerWaits: // its caller's connection died with that process: told to nobody
		o.counts.withdrawn++
	case e.Answer == wal.Rejected:
		o.tell(p, transport.Rejected, e.RetryAfter)
	case e.Answer == wal.Failed:
		o.tell(p, transport.Failed, 0)
	}
	left := float64(e.Expiry)/1e6 - o.clock(now)
	if overtaking && !past.Answered && !past.CallerGone {
		o.f.GiveUp(p.doc, typ, left, past)
	} else {
		o.f.Recover(p.doc, typ, left, past)
		o.uncountWindow(p)
	}
	if !past.Answered {
		o.inMemory(p)
	}
	o.counts.recovered++
	if p.untried = past.Attempts == 0 && !past.Answered && !past.CallerGone; p.untried {
		if o.figures.untried++; left <= 0 {
			o.figures.expired++
		}
		o.untried++
	}
	if p.withdrawn = e.CallerWaits; p.withdrawn {
		o.removeIfDone(p)
	}
}

// uncountWindow takes a message off what its destination is asked for where a store is used: windows of many
// destinations that are out, found by a start, are no demand of its first seconds, by which each would be tried often.
func (o *owner) uncountWindow(p *paper) {
	if o.stored != nil {
		o.f.Uncount(p.doc.Dest)
	}
}

// pastOf is what the scheduler is told of a message's earlier attempts. One that was out when that process ended
// counts as ended with it, and may have run.
func (o *owner) pastOf(e *wal.Entry) scheduler.RecoveredState {
	if e.AttemptBegan > 0 {
		if err := o.ledger.RecordAttemptEnd(e.Seq, true); err != nil {
			o.logLedgerError(err)
		}
	}
	return scheduler.RecoveredState{
		Attempts:   e.Attempts,
		FirstRanAt: float64(e.FirstRanAt) / 1e6,
		Zone:       e.FirstRanZone,
		Answered:   e.Answer != wal.NoAnswer,
		CallerGone: e.CallerWaits,
	}
}

// noLongerUntried takes a message that a restart found untried off the count of those that are: it was called, or has
// ended without. With the last of them a line says how many were.
func (o *owner) noLongerUntried(p *paper, called bool) {
	if !p.untried {
		return
	}
	p.untried = false
	o.untried--
	if called {
		o.figures.called++
	}
	if o.untried == 0 {
		o.log.Info().Int("recovered", o.counts.recovered).Int("untried", o.figures.untried).Int("called", o.figures.called).
			Int("uncalled", o.figures.untried-o.figures.called).Int("expired_before", o.figures.expired).
			Msg("recovered documents settled")
	}
}
