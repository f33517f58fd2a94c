package forwarder

import (
	"net/http"
	"sync/atomic"

	"spanflow/internal/admin"
	"spanflow/internal/drains"
	"spanflow/internal/statefile"
)

// operatorState holds the state that operators have set and the source of their requests.
type operatorState struct {
	requests *adminRequests
	drains   *drains.Set // endpoints that operators have drained
	// endpoints that operators wanted to drain and that the list does not have yet
	pendingDrains drains.Pending
	drainsClients bool // clients are sent elsewhere
}

// adminRequests turns requests to the admin address into events. It is the handler of the admin server.
type adminRequests struct {
	queue   *eventQueue
	ready   atomic.Bool
	standby atomic.Pointer[standby] // answers while another process holds the folder
}

func newAdminRequests(config *Config, queue *eventQueue) *adminRequests {
	a := &adminRequests{queue: queue}
	if config.upgradesInPlace() {
		a.standby.Store(newStandby(config))
	}
	return a
}

// takeOver routes all later requests to the event loop.
func (a *adminRequests) takeOver() {
	if s := a.standby.Load(); s != nil {
		s.takeOver()
	}
}

// Ready reports whether clients may be sent to this process.
func (a *adminRequests) Ready() bool { return a.ready.Load() }

// Handle answers a request directly or passes it to the event loop.
func (a *adminRequests) Handle(r admin.Request, reply func(admin.Response)) {
	if s := a.standby.Load(); s != nil {
		if response, answered := s.answer(r); answered {
			reply(response)
			return
		}
	}
	a.queue.push(operatorRequest{r, reply})
}

// handleOperatorRequest answers an operator's request.
func (loop *eventLoop) handleOperatorRequest(r operatorRequest) {
	switch r.Operation {
	case admin.Vars:
		r.reply(admin.Response{OK: true, Text: loop.operatorFigures()})
	case admin.ClientDrainOn, admin.ClientDrainOff:
		loop.runEarlierCommands()
		r.reply(loop.switchClientDrain(r.Operation))
	case admin.Detach, admin.Attach:
		loop.runEarlierCommands()
		t := loop.endpoints.byUID[r.Name]
		r.reply(loop.drainOrRestore(r.Request, t != nil && t.isListed()))
	}
}

// switchClientDrain carries out an operator's request to switch lame duck mode. It is recorded in the folder before the yes, as
// the next process of this forwarder keeps to it. A process that is shutting down keeps draining: its clients must go
// elsewhere even if operators switch lame duck mode off.
func (loop *eventLoop) switchClientDrain(operation admin.Operation) admin.Response {
	on := operation == admin.ClientDrainOn
	if err := statefile.WriteClientDrain(loop.config.Folder, on); err != nil {
		return notSaved(err)
	}
	if on != loop.operators.drainsClients && (on || !loop.shutdown.begun) {
		loop.setClientDrain(on)
	}
	return admin.Response{OK: true, Text: operation.String()}
}

// restoreClientDrain switches lame duck mode on, before the first client is served, if an earlier process of this forwarder had
// it on or a spooled command has switched it on.
func (loop *eventLoop) restoreClientDrain() {
	if loop.operators.drainsClients || statefile.ReadClientDrain(loop.config.Folder) {
		loop.setClientDrain(true)
	}
}

// setClientDrain switches lame duck mode, in which clients are sent elsewhere, on or off.
func (loop *eventLoop) setClientDrain(on bool) {
	loop.operators.drainsClients = on
	clients := 0
	for _, l := range loop.frontends.open {
		clients += l.Clients()
		if on {
			l.Drain()
		} else {
			l.Undrain()
		}
	}
	loop.telemetry.drainsClients.Store(on)
	loop.telemetry.log.Info().Bool("lameduck", on).Int("clients", clients).Int("held", len(loop.messages.byNumber)).
		Msg("lame duck mode switched")
}

// drainOrRestore drains an endpoint, or restores it. listed is true if the endpoint is known to exist.
func (loop *eventLoop) drainOrRestore(r admin.Request, listed bool) admin.Response {
	result, change := applyDrainRequest(loop.operators.drains, r, listed)
	if err := loop.updatePendingDrains(r, result); err != nil {
		return notSaved(err)
	}
	if change == drains.Unchanged {
		return drainResponse(r, result)
	}
	if err := statefile.WriteDrains(loop.config.Folder, loop.operators.drains.IDs()); err != nil {
		loop.operators.drains = drains.New(statefile.ReadDrains(loop.config.Folder))
		return notSaved(err)
	}
	loop.telemetry.log.Info().Str("endpoint", r.Name).Bool("drained", change == drains.Drained).
		Int("drained_endpoints", loop.operators.drains.Len()).Msg("endpoint drained or restored")
	if t := loop.endpoints.byUID[r.Name]; t != nil {
		update := loop.effectiveUpdate(t)
		update.WarmingUp = change == drains.Restored
		// This takes effect before this turn's Reconcile, so no new call is sent to a drained endpoint.
		loop.scheduler.OverrideEndpoint(update)
	}
	return drainResponse(r, result)
}

// applyDrainRequest drains or restores an endpoint in a set of drained endpoints.
func applyDrainRequest(set *drains.Set, r admin.Request, listed bool) (drains.Result, drains.Change) {
	if r.Operation == admin.Attach {
		return set.Restore(r.Name, listed)
	}
	return set.Drain(r.Name, listed)
}

// notSaved returns the response to a request whose effect could not be saved in the folder.
func notSaved(err error) admin.Response {
	return admin.Response{Status: http.StatusInternalServerError, Text: "not kept in the folder: " + err.Error()}
}

// drainResponse returns the response to a request to drain or restore an endpoint.
func drainResponse(r admin.Request, result drains.Result) admin.Response {
	switch result {
	case drains.Accepted:
		return admin.Response{OK: true, Text: r.Operation.String() + " " + r.Name}
	case drains.Unknown:
		return admin.Response{Status: http.StatusNotFound, Text: "name: " + result.String()}
	}
	return admin.Response{Status: http.StatusBadRequest, Text: "name: " + result.String()}
}
