package forwarder

import (
	"spanflow/scheduler"
	"spanflow/transport"
)

// The list tells when the process of an endpoint was started. A later start under the same uid means that the process
// was replaced. Of several endpoints at one address, the one that was started last is there; the others are gone, even
// if the list still has them.

// recordStart updates the start of an endpoint's process and reports whether the process was replaced. The first start
// that is told for an endpoint of the configuration replaces nothing, as that list may not have had it.
func (t *trackedEndpoint) recordStart(startedMs int64, fromSource bool) (replaced bool) {
	replaced = startedMs > t.startedMs && (t.startedMs > 0 || t.fromSource)
	t.startedMs, t.fromSource = max(t.startedMs, startedMs), t.fromSource || fromSource
	return replaced
}

// appendSuperseded appends updates for the endpoints whose address now belongs to a process that was started later, and
// for those for which this is no longer so. It considers the addresses in a list that has just been applied.
func (loop *eventLoop) appendSuperseded(
	updates []scheduler.EndpointUpdate, list *transport.EndpointList,
) []scheduler.EndpointUpdate {
	if !loop.endpoints.startsKnown {
		return updates
	}
	latest := loop.latestStarts(list)
	for _, t := range loop.endpoints.byUID {
		start, considered := latest[t.address]
		if !considered || !t.isListed() || t.superseded == (t.startedMs < start) {
			continue
		}
		t.superseded = !t.superseded
		loop.telemetry.log.Warn().Str("endpoint", t.uid).Str("address", t.address).Bool("superseded", t.superseded).
			Msg("address of an endpoint taken by a later process, or free again")
		update := loop.effectiveUpdate(t)
		update.Readdressed, update.WarmingUp = false, false // its own entry has told the scheduler already
		updates = append(updates, update)
	}
	return updates
}

// latestStarts returns the latest start of a listed endpoint at each address in a list.
func (loop *eventLoop) latestStarts(list *transport.EndpointList) map[string]int64 {
	latest := make(map[string]int64, len(list.Endpoints))
	for i := range list.Endpoints {
		if t := loop.endpoints.byUID[list.Endpoints[i].UID]; t != nil {
			latest[t.address] = 0
		}
	}
	for _, t := range loop.endpoints.byUID {
		if start, considered := latest[t.address]; considered && t.isListed() {
			latest[t.address] = max(start, t.startedMs)
		}
	}
	return latest
}

// effectiveUpdate returns the latest update of an endpoint with the state that follows from operators' drains and from
// other processes at its address.
func (loop *eventLoop) effectiveUpdate(t *trackedEndpoint) scheduler.EndpointUpdate {
	update := t.update
	update.State = loop.operators.drains.State(t.uid, update.State)
	if t.superseded && update.State == scheduler.Ready {
		update.State = scheduler.Draining
	}
	return update
}
