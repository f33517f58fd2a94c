package forward

import (
	"time"

	"spanflow/choice"
	"spanflow/internal/directory"
	"spanflow/internal/ledger"
	"spanflow/internal/outlet"
)

// flush sends the calls that the module has decided on.
func (o *owner) flush() {
	for _, c := range o.calls {
		o.outlet.Send(c)
	}
	o.calls = o.calls[:0]
}

// Transmit, Reject, Abandon, Recall, CloseIdle, Release, Wake, Watch and Log make an owner the choice.Host.

// Transmit adds a document to the call that is being made up for the target, as far as one call carries them.
func (o *owner) Transmit(d *choice.Doc, to *choice.Target, timeout float64) {
	p, t := o.docs[d.Door], o.targets[to.Door]
	if err := o.ledger.Out(d.Door, micros(o.clock(time.Now())), t.zone); err != nil {
		o.unkept(err)
		c := &outlet.Call{Door: to.Door, Target: t.addr, Papers: []outlet.Paper{p.Paper}}
		o.exchange.CallEnded(outlet.Ended{Call: c, Ends: []outlet.End{outlet.Unsent}})
		return
	}
	allow := time.Duration(timeout * float64(time.Second))
	for _, c := range o.calls {
		if c.Door == to.Door && len(c.Papers) < t.batch {
			c.Papers = append(c.Papers, p.Paper)
			c.Allow = min(c.Allow, allow)
			return
		}
	}
	o.calls = append(o.calls, &outlet.Call{Door: to.Door, Target: t.addr, Papers: []outlet.Paper{p.Paper}, Allow: allow})
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
		o.unkept(err)
	}
	o.notify(p, a, after)
}

func (o *owner) notify(p *paper, a ledger.Answer, after int) {
	o.dir.Notify(directory.Notice{Door: p.Door, ID: p.ID, Returned: a == ledger.Returned, AfterMs: after})
}

func (o *owner) Recall(t *choice.Target) { o.outlet.Recall(t.Door) }

func (o *owner) CloseIdle(t *choice.Target) {
	o.flush() // what was decided before takes the connections first
	o.outlet.CloseIdle(t.Door)
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

func (o *owner) Watch() { o.dir.Watch(o.rev) }

func (o *owner) Log(line string) { o.log.Info().Str("mode", line).Msg("module") }
