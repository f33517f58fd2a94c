package forwarder

import (
	"maps"
	"slices"

	"spanflow/internal/statefile"
	"spanflow/scheduler"
	"spanflow/transport"
)

// The processes of an upgrade are one forwarder to discovery and to endpoints: what one was told binds the next, whose
// configuration has an older list, from its first call on. The next process learns it from a file in the folder.

// maxDepartedEndpoints bounds the removed endpoints that a process hands over; the latest are kept. An older one is
// handed over as if it had never been listed: it gets calls again if the successor's configuration still has it, until
// the watch answers.
const maxDepartedEndpoints = 1024

// handsOverEndpoints reports whether the processes before and after this one share what they know of endpoints. A list
// of the configuration's own is read anew by each.
func (loop *eventLoop) handsOverEndpoints() bool {
	return loop.config.upgradesInPlace() && loop.discovery.static == nil
}

// endpointStates are the states that a successor has to observe.
func (loop *eventLoop) endpointStates() *statefile.EndpointStates {
	states := statefile.NewEndpointStates()
	states.Revision = loop.discovery.revision
	for _, uid := range loop.endpoints.departed {
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

// writeEndpointStates has the state writer write the states of endpoints, if another process may take over.
func (loop *eventLoop) writeEndpointStates() {
	if !loop.handsOverEndpoints() {
		return
	}
	states, folder := loop.endpointStates(), loop.config.Folder
	loop.stateWriter.put(statefile.EndpointStatesFile, func() error { return states.Write(folder) })
}

// takeEndpointStates reads what the process before this one has left, if this one takes over from it, and puts it into
// the last known list, unless that is newer.
func (loop *eventLoop) takeEndpointStates() {
	config := loop.config
	if !loop.handsOverEndpoints() {
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
			Int("ejected_or_recovering", len(states.Health)).Msg("endpoint states taken over")
	}
}

// restoreHealth gives the scheduler the health that the process before this one has left of the endpoints that are
// listed by now.
func (loop *eventLoop) restoreHealth() {
	for uid, health := range loop.endpoints.restoredHealth {
		if t := loop.endpoints.byUID[uid]; t != nil {
			loop.scheduler.RestoreHealth(t.scheduled, scheduler.EndpointHealth(health))
			delete(loop.endpoints.restoredHealth, uid)
		}
	}
}

// withStates returns a list with other states of the endpoints that are named by their uids.
func withStates(list transport.EndpointList, states map[string]string) transport.EndpointList {
	list.Endpoints = slices.Clone(list.Endpoints)
	for i := range list.Endpoints {
		if state, changed := states[list.Endpoints[i].UID]; changed {
			list.Endpoints[i].State = state
		}
	}
	return list
}

// noteListed records that an endpoint has come to the list, or was removed from it.
func (table *endpointTable) noteListed(t *trackedEndpoint) {
	if !t.isListed() {
		table.noteDeparture(t.uid)
	} else if i := slices.Index(table.departed, t.uid); i >= 0 {
		table.departed = slices.Delete(table.departed, i, i+1)
	}
}

// noteDeparture records that an endpoint is not on the list any more.
func (table *endpointTable) noteDeparture(uid string) {
	if slices.Contains(table.departed, uid) {
		return
	}
	if len(table.departed) == maxDepartedEndpoints {
		table.departed = slices.Delete(table.departed, 0, 1)
	}
	table.departed = append(table.departed, uid)
}
