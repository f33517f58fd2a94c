package forwarder

import (
	"maps"
	"slices"

	"spanflow/internal/statefile"
	"spanflow/scheduler"
	"spanflow/transport"
)

// Discovery and endpoints treat the processes of an upgrade as one forwarder. The successor's configuration has an
// older list, yet from its first call on it must observe the endpoint states that its predecessor received. It reads
// them from a file in the state folder.

// maxRemovedEndpoints limits the removed endpoints that a process hands over; those removed last are kept. An older one
// is not handed over: if the successor's configuration still lists it, it gets calls again until the watch answers.
const maxRemovedEndpoints = 1024

// handsOverEndpointStates reports whether this process exchanges endpoint states with its predecessor and successor. It
// does not with a list in the configuration, which each process reads for itself.
func (loop *eventLoop) handsOverEndpointStates() bool {
	return loop.config.upgradesInPlace() && loop.discovery.static == nil
}

// endpointStates returns the states that a successor must observe.
func (loop *eventLoop) endpointStates() *statefile.EndpointStates {
	states := statefile.NewEndpointStates()
	states.Revision = loop.discovery.revision
	for _, uid := range loop.endpoints.removedUIDs {
		states.Listed[uid] = stateLeft
	}
	for _, t := range loop.endpoints.byNumber {
		if t.update.State == scheduler.Draining {
			states.Listed[t.uid] = stateLeaving
		}
		if health, impaired := loop.scheduler.Health(t.scheduled); impaired && t.isListed() {
			states.Health[t.uid] = statefile.Health(health)
		}
	}
	maps.Copy(states.Health, loop.endpoints.restoredHealth)
	return states
}

// writeEndpointStates passes the endpoint states to the state writer if another process may take over.
func (loop *eventLoop) writeEndpointStates() {
	if !loop.handsOverEndpointStates() {
		return
	}
	states, folder := loop.endpointStates(), loop.config.Folder
	loop.stateWriter.put(statefile.EndpointStatesFile, func() error { return states.Write(folder) })
}

// loadEndpointStates reads the states that a predecessor left, if there may be one, and applies them to the last known
// list unless that list is newer.
func (loop *eventLoop) loadEndpointStates() {
	config := loop.config
	if !loop.handsOverEndpointStates() {
		return
	}
	loop.scheduler.ContinueWatch()
	states := statefile.TakeEndpointStates(config.Folder)
	if states.Revision >= config.LastEndpoints.Revision {
		config.LastEndpoints = withStates(config.LastEndpoints, states.Listed)
	}
	loop.endpoints.restoredHealth = states.Health
	if len(states.Listed)+len(states.Health) > 0 {
		loop.telemetry.log.Info().Int64("revision", states.Revision).Int("without_calls", len(states.Listed)).
			Int("ejected_or_recovering", len(states.Health)).Msg("endpoint states of the predecessor loaded")
	}
}

// restoreHealth passes the predecessor's record of endpoint health to the scheduler, for those endpoints that are
// listed now.
func (loop *eventLoop) restoreHealth() {
	for uid, health := range loop.endpoints.restoredHealth {
		if t := loop.endpoints.byUID[uid]; t != nil {
			loop.scheduler.RestoreHealth(t.scheduled, scheduler.EndpointHealth(health))
			delete(loop.endpoints.restoredHealth, uid)
		}
	}
}

// withStates returns a copy of the list in which the endpoints in states, by uid, have those states.
func withStates(list transport.EndpointList, states map[string]string) transport.EndpointList {
	list.Endpoints = slices.Clone(list.Endpoints)
	for i := range list.Endpoints {
		if state, changed := states[list.Endpoints[i].UID]; changed {
			list.Endpoints[i].State = state
		}
	}
	return list
}

// recordListing records that an endpoint was added to the list or removed from it.
func (table *endpointTable) recordListing(t *trackedEndpoint) {
	if !t.isListed() {
		table.recordRemoval(t.uid)
	} else if table.removed[t.uid] {
		i := slices.Index(table.removedUIDs, t.uid)
		table.removedUIDs = slices.Delete(table.removedUIDs, i, i+1)
		delete(table.removed, t.uid)
	}
}

// recordRemoval records that an endpoint is no longer on the list.
func (table *endpointTable) recordRemoval(uid string) {
	if table.removed[uid] {
		return
	}
	if len(table.removedUIDs) == maxRemovedEndpoints {
		delete(table.removed, table.removedUIDs[0])
		table.removedUIDs = table.removedUIDs[1:]
	}
	table.removedUIDs = append(table.removedUIDs, uid)
	table.removed[uid] = true
}
