package forward

import (
	"time"

	"spanflow/choice"
	"spanflow/internal/ledger"
	"spanflow/seam"
)

// pending is a call that is being made up.
type pending struct {
	by   seam.Outlet
	call *seam.Call
}

// flush sends the calls that the module has decided on.
func (o *owner) flush() {
	for _, c := range o.calls {
		c.by.Send(c.call)
	}
	clear(o.calls)
	o.calls = o.calls[:0]
}

// Transmit, Reject, Abandon, Recall, CloseIdle, Release, Wake, Watch and Log make an owner the choice.Host.

// Transmit adds a document to the call that is being made up for the target, as far as one call carries them.
func (o *owner) Transmit(d *choice.Doc, to *choice.Target, timeout float64) {
	p, t := o.docs[d.Door], o.targets[to.Door]
	if err := o.ledger.Out(d.Door, micros(o.clock(time.Now())), t.zone); err != nil {
		o.logLedgerError(err)
		c := &seam.Call{Door: to.Door, Target: t.addr, Papers: []seam.Paper{p.Paper}}
		o.exchange.CallEnded(seam.Ended{Call: c, Ends: []seam.End{seam.Unsent}})
		return
	}
	o.noLongerUntried(p, true)
	if p.traced {
		o.log.Info().Str("id", p.ID).Uint64("dest", t.dest).Str("target", t.uid).Float64("timeout_s", timeout).
			Msg("trace: transmission")
	}
	allow := time.Duration(timeout * float64(time.Second))
	for _, c := range o.calls {
		if c := c.call; c.Door == to.Door && len(c.Papers) < t.batch {
			c.Papers = append(c.Papers, p.Paper)
			c.Allow = min(c.Allow, allow)
			return
		}
	}
	call := &seam.Call{Door: to.Door, Target: t.addr, Papers: []seam.Paper{p.Paper}, Allow: allow}
	o.calls = append(o.calls, pending{t.outlet, call})
}

func (o *owner) Reject(d *choice.Doc, comeBack float64) {
	o.counts.returned++
	o.answer(o.docs[d.Door], ledger.Returned, int(comeBack*1000))
}

func (o *owner) Abandon(d *choice.Doc) {
	o.counts.abandoned++
	o.answer(o.docs[d.Door], ledger.Abandoned, 0)
}

// answer records a final answer and tells it.
func (o *owner) answer(p *paper, a ledger.Answer, after int) {
	if err := o.ledger.Answer(p.Door, a, after); err != nil {
		o.logLedgerError(err)
	}
	outcome := seam.Abandoned
	if a == ledger.Returned {
		outcome = seam.Returned
	}
	o.final(p, outcome)
	o.leftMemory(p) // its notice may stay unheard for long
	o.tell(p, outcome, after)
}

// tell takes a final answer to whom it is for: to the caller that waits for it, or else to the teller. Where there is
// neither it stands in the log.
func (o *owner) tell(p *paper, outcome seam.Outcome, after int) {
	f := seam.Final{Door: p.Door, ID: p.ID, Outcome: outcome, AfterMs: after}
	if p.traced {
		o.log.Info().Str("id", p.ID).Stringer("outcome", outcome).Int("after_ms", after).Msg("trace: final answer")
	}
	o.noLongerUntried(p, false)
	switch {
	case p.holder != nil:
		p.holder.Tell(f)
		o.exchange.Told([]uint64{p.Door})
	case o.teller != nil:
		o.teller.Notify(f)
	default:
		o.log.Info().Str("id", p.ID).Stringer("outcome", outcome).Int("after_ms", after).Msg("final answer that nobody takes")
		o.exchange.Told([]uint64{p.Door})
	}
}

func (o *owner) Recall(t *choice.Target) {
	if known := o.targets[t.Door]; known != nil {
		known.outlet.Recall(t.Door)
	}
}

func (o *owner) CloseIdle(t *choice.Target) {
	o.flush() // what was decided before takes the connections first
	if known := o.targets[t.Door]; known != nil {
		known.outlet.CloseIdle(t.Door)
	}
}

// Release lets go of a target that is gone: of what names it here, and of its connections.
func (o *owner) Release(t *choice.Target) {
	o.CloseIdle(t)
	if known := o.targets[t.Door]; known != nil {
		delete(o.targets, t.Door)
		delete(o.byUID, known.uid)
	}
}

func (o *owner) Wake(in float64) { o.wakeAt = time.Now().Add(time.Duration(in * float64(time.Second))) }

func (o *owner) Watch() { o.source.Watch(o.rev) }

func (o *owner) Log(line string) { o.log.Info().Str("mode", line).Msg("module") }
