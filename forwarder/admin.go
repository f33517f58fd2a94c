package forwarder

import (
	"net/http"
	"sync/atomic"

	"spanflow/internal/admin"
	"spanflow/internal/drains"
	"spanflow/internal/statefile"
	"spanflow/scheduler"
)

// adminRequests is the operators' way to the event loop: their calls are news in the Exchange like any other.
type adminRequests struct {
	x       *Exchange
	ready   atomic.Bool
	standby atomic.Pointer[standby] // answers while another process owns the folder
}

// operation is a call of the operators' address with the way to its answer.
type operation struct {
	admin.Request
	reply func(admin.Response)
}

func newAdminRequests(order *Config, x *Exchange) *adminRequests {
	a := &adminRequests{x: x}
	if order.InheritedListener > 0 {
		a.standby.Store(newStandby(order))
	}
	return a
}

// takeOver has calls go to the event loop from here on. It tells if clients are to be sent away.
func (a *adminRequests) takeOver() (lame bool) {
	if s := a.standby.Load(); s != nil {
		return s.takeOver()
	}
	return false
}

func (a *adminRequests) Ready() bool { return a.ready.Load() }

func (a *adminRequests) Handle(c admin.Request, reply func(admin.Response)) {
	if s := a.standby.Load(); s != nil {
		if answer, answered := s.answer(c); answered {
			reply(answer)
			return
		}
	}
	a.x.leave(operation{c, reply})
}

// operate answers a call of the operators.
func (o *owner) operate(c operation) {
	switch c.Operation {
	case admin.Figures:
		c.reply(admin.Response{OK: true, Text: o.vars()})
	case admin.LameDuckOn, admin.LameDuckOff:
		// A stopping process goes on leaving: its clients are to go elsewhere whatever the operators say.
		if on := c.Operation == admin.LameDuckOn; on != o.lame && (on || !o.stopping) {
			o.lameduck(on)
		}
		c.reply(admin.Response{OK: true, Text: c.Operation.String()})
	case admin.Detach, admin.Attach:
		t := o.byUID[c.Name]
		c.reply(o.byHand(c.Request, t != nil && t.line.State != scheduler.Removed))
	}
}

// lameduck sends clients away, or lets them in again.
func (o *owner) lameduck(on bool) {
	o.lame = on
	clients := 0
	for _, l := range o.fronts {
		if clients += l.Clients(); on {
			l.Drain()
		} else {
			l.Undrain()
		}
	}
	o.log.Info().Bool("lameduck", on).Int("clients", clients).Int("held", len(o.docs)).Msg("lameduck")
}

// byHand takes an endpoint out or puts it back; listed tells that somebody has it.
func (o *owner) byHand(c admin.Request, listed bool) admin.Response {
	verdict, change := call(o.rota, c, listed)
	if change == drains.Unchanged {
		return answerOf(c, verdict)
	}
	if err := statefile.WriteDrains(o.order.Folder, o.rota.IDs()); err != nil {
		o.rota = drains.New(statefile.ReadDrains(o.order.Folder))
		return notKept(err)
	}
	o.log.Info().Str("target", c.Name).Bool("out", change == drains.Drained).Int("out_by_hand", o.rota.Len()).Msg("target by hand")
	if t := o.byUID[c.Name]; t != nil {
		line := t.line
		line.State, line.WarmingUp = o.rota.State(t.uid, line.State), change == drains.Restored
		o.f.UpdateEndpoints(false, []scheduler.EndpointUpdate{line}) // before this turn's Reconcile: nothing new goes to it from here on
	}
	return answerOf(c, verdict)
}

// call makes a call out or back on a set of endpoints out by hand.
func call(r *drains.Set, c admin.Request, listed bool) (drains.Result, drains.Change) {
	if c.Operation == admin.Attach {
		return r.Restore(c.Name, listed)
	}
	return r.Drain(c.Name, listed)
}

func notKept(err error) admin.Response {
	return admin.Response{Status: http.StatusInternalServerError, Text: "not kept in the folder: " + err.Error()}
}

func answerOf(c admin.Request, v drains.Result) admin.Response {
	switch v {
	case drains.Accepted:
		return admin.Response{OK: true, Text: c.Operation.String() + " " + c.Name}
	case drains.Unknown:
		return admin.Response{Status: http.StatusNotFound, Text: "name: " + v.String()}
	}
	return admin.Response{Status: http.StatusBadRequest, Text: "name: " + v.String()}
}
