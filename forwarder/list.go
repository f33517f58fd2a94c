package forwarder

import (
	"spanflow/scheduler"
	"spanflow/transport"
)

// endpoint is what the list says of one, as far as carrying out needs it.
type target struct {
	uid, addr   string
	dest        uint64
	zone, batch int
	outlet      transport.Upstream
	module      *scheduler.Endpoint
	line        scheduler.EndpointUpdate // as the list has it last
}

// listed takes up a list of endpoints: all of them, or changes.
func (o *owner) listed(l *transport.EndpointList, whole bool) {
	o.rev = l.Revision
	lines := make([]scheduler.EndpointUpdate, 0, len(l.Endpoints))
	for i := range l.Endpoints {
		e := &l.Endpoints[i]
		kind := index(o.order.Names.Kinds, e.Kind)
		t := o.targetOf(e, kind)
		if t == nil {
			continue
		}
		t.line = scheduler.EndpointUpdate{Endpoint: t.module, Destination: o.dest(e.Destination), Kind: kind, Zone: t.zone, Rate: e.Rate,
			State: o.standing(e)}
		line := t.line
		line.State = o.rota.State(t.uid, line.State)
		lines = append(lines, line)
	}
	o.f.UpdateEndpoints(whole, lines)
	o.forgetUnused()
	if len(o.retryAfter) > 0 {
		o.restoreRetryAfter()
	}
}

// targetOf is the endpoint that a line of the list speaks of, as the line has it; nil for one heard of only as it goes.
// kind is the number of the line's kind.
func (o *owner) targetOf(e *transport.Endpoint, kind int) *target {
	t := o.byUID[e.UID]
	if t == nil {
		if e.State == "left" {
			return nil
		}
		o.lastDoor++
		t = &target{uid: e.UID, dest: e.Destination, outlet: o.outletOf(e.Kind), module: &scheduler.Endpoint{ID: o.lastDoor}}
		o.targets[o.lastDoor], o.byUID[e.UID] = t, t
	}
	t.zone, t.batch = index(o.order.Names.Zones, e.Zone), 1
	if e.Address != "" {
		t.addr = e.Address
	}
	if kind < len(o.order.Scheduler.KindBatchSize) {
		t.batch = max(1, o.order.Scheduler.KindBatchSize[kind])
	}
	return t
}

// standing is what the list says of an endpoint. A state that is not known here lets its calls end and begins none.
func (o *owner) standing(e *transport.Endpoint) scheduler.EndpointState {
	switch e.State {
	case "active":
		return scheduler.Ready
	case "leaving":
		return scheduler.Draining
	case "left":
		return scheduler.Removed
	default:
		o.log.Warn().Str("target", e.UID).Str("state", e.State).Msg("unknown state in the list")
		return scheduler.Draining
	}
}

// outletOf is the upstream by which endpoints of a kind are reached.
func (o *owner) outletOf(kind string) transport.Upstream {
	if by := o.outlets[o.order.KindUpstream[kind]]; by != nil {
		return by
	}
	return o.outlets[defaultUpstream]
}

const leastSweep = 64 // destinations

// dest is the scheduler's destination of a number, a new one if there is none.
func (o *owner) dest(number uint64) *scheduler.Destination {
	if d := o.dests[number]; d != nil {
		return d
	}
	d := o.f.NewDestination(number)
	o.dests[number] = d
	if times := o.learnedLatencies[number]; times != nil {
		o.f.RestoreLatencies(d, times)
		delete(o.learnedLatencies, number)
	}
	return d
}

// forgetUnused lets go of destinations that no endpoint is listed for and no message is held for, once there are many.
// It follows a list that was taken up: while one is being read its destinations have no endpoints yet.
func (o *owner) forgetUnused() {
	if len(o.dests) < o.sweepAt {
		return
	}
	for number, d := range o.dests {
		if o.f.Forget(d) {
			delete(o.dests, number)
		}
	}
	o.sweepAt = 2*len(o.dests) + leastSweep
}

// index is a name's number; one that the settings do not have gets a number beyond them.
func index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return len(names)
}
