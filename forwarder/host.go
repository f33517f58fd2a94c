package forwarder

import (
	"time"

	"spanflow/internal/wal"
	"spanflow/scheduler"
	"spanflow/transport"
)

// pending is a call that is being made up.
type pending struct {
	by   transport.Upstream
	call *transport.Call
}

// flush sends the calls that the scheduler has decided on.
func (o *owner) flush() {
	for _, c := range o.calls {
		c.by.Send(c.call)
	}
	clear(o.calls)
	o.calls = o.calls[:0]
}

// Send, Reject, Fail, CancelUnsent, CloseIdle, ReleaseEndpoint, Wake, WatchEndpoints and Log make an owner the choice.Host.

// Send adds a message to the call that is being made up for the endpoint, as far as one call carries them.
func (o *owner) Send(d *scheduler.Message, to *scheduler.Endpoint, timeout float64) {
	p, t := o.docs[d.ID], o.targets[to.ID]
	if err := o.ledger.RecordAttempt(d.ID, micros(o.clock(time.Now())), t.zone); err != nil {
		o.logLedgerError(err)
		c := &transport.Call{EndpointID: to.ID, Address: t.addr, Messages: []transport.Message{p.Message}}
		o.exchange.CallEnded(transport.CallResult{Call: c, Codes: []transport.ResultCode{transport.ResultNotStarted}})
		return
	}
	o.noLongerUntried(p, true)
	if p.traced {
		o.log.Info().Str("id", p.ID).Uint64("dest", t.dest).Str("target", t.uid).Float64("timeout_s", timeout).
			Msg("trace: transmission")
	}
	allow := time.Duration(timeout * float64(time.Second))
	for _, c := range o.calls {
		if c := c.call; c.EndpointID == to.ID && len(c.Messages) < t.batch {
			c.Messages = append(c.Messages, p.Message)
			c.Timeout = min(c.Timeout, allow)
			return
		}
	}
	call := &transport.Call{EndpointID: to.ID, Address: t.addr, Messages: []transport.Message{p.Message}, Timeout: allow}
	o.calls = append(o.calls, pending{t.outlet, call})
}

func (o *owner) Reject(d *scheduler.Message, comeBack float64) {
	o.counts.returned++
	o.answer(o.docs[d.ID], wal.Rejected, int(comeBack*1000))
}

func (o *owner) Fail(d *scheduler.Message) {
	o.counts.abandoned++
	o.answer(o.docs[d.ID], wal.Failed, 0)
}

// answer records a final answer and tells it.
func (o *owner) answer(p *paper, a wal.Answer, after int) {
	if err := o.ledger.RecordAnswer(p.MessageID, a, after); err != nil {
		o.logLedgerError(err)
	}
	outcome := transport.Failed
	if a == wal.Rejected {
		outcome = transport.Rejected
	}
	o.final(p, outcome)
	o.leftMemory(p) // its notice may stay unheard for long
	o.tell(p, outcome, after)
}

// tell takes a final answer to whom it is for: to the caller that waits for it, or else to the teller. Where there is
// neither it stands in the log.
func (o *owner) tell(p *paper, outcome transport.Outcome, after int) {
	f := transport.FinalAnswer{MessageID: p.MessageID, ID: p.ID, Outcome: outcome, RetryAfterMs: after}
	if p.traced {
		o.log.Info().Str("id", p.ID).Stringer("outcome", outcome).Int("after_ms", after).Msg("trace: final answer")
	}
	o.noLongerUntried(p, false)
	switch {
	case p.holder != nil:
		p.holder.Complete(f)
		o.exchange.NoticesAcknowledged([]uint64{p.MessageID})
	case o.teller != nil:
		o.teller.Notify(f)
	default:
		o.log.Info().Str("id", p.ID).Stringer("outcome", outcome).Int("after_ms", after).Msg("final answer that nobody takes")
		o.exchange.NoticesAcknowledged([]uint64{p.MessageID})
	}
}

func (o *owner) CancelUnsent(t *scheduler.Endpoint) {
	if known := o.targets[t.ID]; known != nil {
		known.outlet.CancelUnsent(t.ID)
	}
}

func (o *owner) CloseIdle(t *scheduler.Endpoint) {
	o.flush() // what was decided before takes the connections first
	if known := o.targets[t.ID]; known != nil {
		known.outlet.CloseIdle(t.ID)
	}
}

// ReleaseEndpoint lets go of an endpoint that is gone: of what names it here, and of its connections.
func (o *owner) ReleaseEndpoint(t *scheduler.Endpoint) {
	o.CloseIdle(t)
	if known := o.targets[t.ID]; known != nil {
		delete(o.targets, t.ID)
		delete(o.byUID, known.uid)
	}
}

func (o *owner) Wake(in float64) { o.wakeAt = time.Now().Add(time.Duration(in * float64(time.Second))) }

func (o *owner) WatchEndpoints() { o.source.Watch(o.rev) }

func (o *owner) Log(line string) { o.log.Info().Str("mode", line).Msg("module") }
