package forwarder

import (
	"spanflow/internal/statefile"
	"spanflow/scheduler"
	"spanflow/transport"
)

// endpointTable holds the known endpoints and destinations, and what an earlier process has learned of those that are
// not known yet.
type endpointTable struct {
	byNumber     map[uint64]*trackedEndpoint
	byUID        map[string]*trackedEndpoint
	lastNumber   uint64                            // of the latest endpoint
	destinations map[uint64]*scheduler.Destination // by the numbers that clients use
	sweepAt      int                               // how many destinations there are when unused ones are looked for
	departed     []string                          // uids of the endpoints that were removed last

	restoredRetryAfter map[string]float64          // until when endpoints that are not listed yet are blocked, by uid
	restoredHealth     map[string]statefile.Health // of endpoints that are not listed yet, by uid
	restoredLatencies  map[uint64][]float64        // of destinations that are not known yet, by number
}

func newEndpointTable() endpointTable {
	return endpointTable{
		byNumber:     map[uint64]*trackedEndpoint{},
		byUID:        map[string]*trackedEndpoint{},
		destinations: map[uint64]*scheduler.Destination{},
	}
}

// trackedEndpoint is an endpoint of the list, as far as calls to it need it.
type trackedEndpoint struct {
	uid, address    string
	destination     uint64
	zone, batchSize int
	upstream        transport.Upstream
	scheduled       *scheduler.Endpoint
	update          scheduler.EndpointUpdate // as the list has it last, drains left out
}

// Endpoint states of the list.
const (
	stateActive  = "active"
	stateLeaving = "leaving"
	stateLeft    = "left"
)

// isListed reports whether the endpoint is on the list.
func (t *trackedEndpoint) isListed() bool { return t.update.State != scheduler.Removed }

// add enters an endpoint under the next number.
func (table *endpointTable) add(e *transport.Endpoint, upstream transport.Upstream) *trackedEndpoint {
	table.lastNumber++
	t := &trackedEndpoint{
		uid:         e.UID,
		destination: e.Destination,
		upstream:    upstream,
		scheduled:   &scheduler.Endpoint{ID: table.lastNumber},
	}
	table.byNumber[table.lastNumber], table.byUID[e.UID] = t, t
	table.noteListed(t)
	return t
}

// remove takes out the endpoint with a number, if there is one.
func (table *endpointTable) remove(number uint64) {
	if t := table.byNumber[number]; t != nil {
		delete(table.byNumber, number)
		delete(table.byUID, t.uid)
	}
}

// updateEndpoints passes a list of endpoints to the scheduler: all of them if it is complete, changes otherwise.
func (loop *eventLoop) updateEndpoints(list *transport.EndpointList, complete bool) {
	loop.discovery.revision = list.Revision
	updates := make([]scheduler.EndpointUpdate, 0, len(list.Endpoints))
	for i := range list.Endpoints {
		if update, known := loop.endpointUpdate(&list.Endpoints[i]); known {
			updates = append(updates, update)
		}
	}
	if complete {
		loop.removeUnnamed(list)
	}
	loop.scheduler.UpdateEndpoints(complete, updates)
	loop.restoreHealth()
	loop.writeEndpointStates()
	loop.forgetUnusedDestinations()
	if len(loop.endpoints.restoredRetryAfter) > 0 {
		loop.restoreRetryAfter()
	}
}

// removeUnnamed notes that the endpoints are removed that a complete list does not name.
func (loop *eventLoop) removeUnnamed(list *transport.EndpointList) {
	named := make(map[string]bool, len(list.Endpoints))
	for i := range list.Endpoints {
		named[list.Endpoints[i].UID] = true
	}
	for uid, t := range loop.endpoints.byUID {
		if !named[uid] && t.isListed() {
			t.update.State = scheduler.Removed
			loop.endpoints.noteListed(t)
		}
	}
}

// endpointUpdate is the scheduler's form of a line of the list. known is false for an endpoint whose first line says
// that it has left.
func (loop *eventLoop) endpointUpdate(e *transport.Endpoint) (update scheduler.EndpointUpdate, known bool) {
	kind := index(loop.config.Names.Kinds, e.Kind)
	t := loop.trackEndpoint(e, kind)
	if t == nil {
		loop.endpoints.noteDeparture(e.UID)
		return scheduler.EndpointUpdate{}, false
	}
	wasListed := t.isListed()
	t.update = scheduler.EndpointUpdate{
		Endpoint:    t.scheduled,
		Destination: loop.destination(e.Destination),
		Kind:        kind,
		Zone:        t.zone,
		Rate:        e.Rate,
		State:       loop.endpointState(e),
	}
	if t.isListed() != wasListed {
		loop.endpoints.noteListed(t)
	}
	update = t.update
	update.State = loop.operators.drains.State(t.uid, update.State)
	return update, true
}

// trackEndpoint updates or adds the endpoint of a line of the list. It returns nil for an endpoint that is not known
// and has left. kind is the number of the line's kind.
func (loop *eventLoop) trackEndpoint(e *transport.Endpoint, kind int) *trackedEndpoint {
	t := loop.endpoints.byUID[e.UID]
	if t == nil {
		if e.State == stateLeft {
			return nil
		}
		t = loop.endpoints.add(e, loop.upstreamOf(e.Kind))
	}
	t.zone, t.batchSize = index(loop.config.Names.Zones, e.Zone), 1
	if e.Address != "" {
		t.address = e.Address
	}
	if kind < len(loop.config.Scheduler.KindBatchSize) {
		t.batchSize = max(1, loop.config.Scheduler.KindBatchSize[kind])
	}
	return t
}

// endpointState is an endpoint's state in the list. An unknown state counts as draining: calls may end, none begins.
func (loop *eventLoop) endpointState(e *transport.Endpoint) scheduler.EndpointState {
	switch e.State {
	case stateActive:
		return scheduler.Ready
	case stateLeaving:
		return scheduler.Draining
	case stateLeft:
		return scheduler.Removed
	default:
		loop.telemetry.log.Warn().Str("endpoint", e.UID).Str("state", e.State).Msg("unknown state in the list")
		return scheduler.Draining
	}
}

const minSweep = 64 // destinations

// destination is the scheduler's destination with a number, added if there is none.
func (loop *eventLoop) destination(number uint64) *scheduler.Destination {
	if d := loop.endpoints.destinations[number]; d != nil {
		return d
	}
	d := loop.scheduler.NewDestination(number)
	loop.endpoints.destinations[number] = d
	if latencies := loop.endpoints.restoredLatencies[number]; latencies != nil {
		loop.scheduler.RestoreLatencies(d, latencies)
		delete(loop.endpoints.restoredLatencies, number)
	}
	return d
}

// forgetUnusedDestinations removes destinations without listed endpoints and messages, once there are many. It may run
// only after a whole list was read: while one is being read its destinations have no endpoints yet.
func (loop *eventLoop) forgetUnusedDestinations() {
	table := &loop.endpoints
	if len(table.destinations) < table.sweepAt {
		return
	}
	for number, d := range table.destinations {
		if loop.scheduler.Forget(d) {
			delete(table.destinations, number)
		}
	}
	table.sweepAt = 2*len(table.destinations) + minSweep
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
