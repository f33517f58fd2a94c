package forwarder

import (
	"time"

	"spanflow/internal/admin"
	"spanflow/internal/drains"
	"spanflow/internal/statefile"
	"spanflow/scheduler"
	"spanflow/transport"
)

// The list may run late: operators may drain an endpoint that discovery has and that this process does not know yet. Such a
// request is answered with no, as the id may be nobody's, but it is kept for a while, and the endpoint is drained when the
// list names it.

// uptime returns the time since the machine was started, or 0 if it cannot be read; pending drains are kept then.
func uptime() time.Duration {
	now, _ := statefile.Uptime()
	return now
}

// updatePendingDrains adds the endpoint of a request to the pending drains if it is not listed, or removes it when it is
// drained or restored.
func (loop *eventLoop) updatePendingDrains(r admin.Request, result drains.Result) error {
	pending := &loop.operators.pendingDrains
	if r.Operation == admin.Detach && result == drains.Unknown {
		now := uptime()
		if !pending.Add(r.Name, now, now+time.Duration(scheduler.LateListTerm*float64(time.Second))) {
			return nil
		}
	} else if !pending.Remove(r.Name) {
		return nil
	}
	return statefile.WritePendingDrains(loop.config.Folder, pending.All())
}

// drainPending drains the endpoints of a list that operators wanted to drain before they were listed. It is called before
// the list is applied, so that they get no call.
func (loop *eventLoop) drainPending(list *transport.EndpointList) {
	pending := &loop.operators.pendingDrains
	if pending.Empty() {
		return
	}
	now, confirmed := uptime(), false
	for i := range list.Endpoints {
		uid := list.Endpoints[i].UID
		if list.Endpoints[i].State == stateLeft || !pending.Has(uid, now) {
			continue
		}
		confirmed = true
		pending.Remove(uid)
		result, _ := loop.operators.drains.Drain(uid, true)
		loop.telemetry.log.Info().Str("endpoint", uid).Stringer("result", result).Msg("endpoint drained as it is listed")
	}
	if !confirmed {
		return
	}
	err := statefile.WriteDrains(loop.config.Folder, loop.operators.drains.IDs())
	if err == nil { // otherwise the next process finds them pending
		err = statefile.WritePendingDrains(loop.config.Folder, pending.All())
	}
	if err != nil {
		loop.telemetry.log.Error().Err(err).Msg("drained endpoints not written")
	}
}
