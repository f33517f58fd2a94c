package forwarder

import (
	"spanflow/internal/statefile"
	"spanflow/scheduler"
	"spanflow/transport"
)

// endpointTable holds the known endpoints and destinations, and the state left by an earlier process for those not
// known yet.
type endpointTable struct {
	byNumber         map[uint64]*trackedEndpoint
	byUID            map[string]*trackedEndpoint
	lastNumber       uint64                            // number of the endpoint added last
	destinations     map[uint64]*scheduler.Destination // by the numbers that clients use
	cleanupThreshold int                               // number of destinations at which unused ones are removed
	removedUIDs      []string                          // uids of the endpoints removed most recently, oldest first
	removed          map[string]bool                   // the same, to look them up
	startsKnown      bool                              // the list has told when an endpoint was started

	restoredRetryAfter map[string]float64          // when the block of each endpoint that is not listed yet ends, by uid
	restoredHealth     map[string]statefile.Health // health of endpoints that are not listed yet, by uid
	restoredLatencies  map[uint64][]float64        // latencies of destinations that are not known yet, by number
}

func newEndpointTable() endpointTable {
	return endpointTable{
		byNumber:     map[uint64]*trackedEndpoint{},
		byUID:        map[string]*trackedEndpoint{},
		destinations: map[uint64]*scheduler.Destination{},
		removed:      map[string]bool{},
	}
}

// trackedEndpoint is an endpoint of the list with the data needed for calls to it.
type trackedEndpoint struct {
	uid, address string
	destination  uint64
	zone         int
	upstream     transport.Upstream
	scheduled    *scheduler.Endpoint
	update       scheduler.EndpointUpdate // latest from the list, without operators' drains
	startedMs    int64                    // Unix time in milliseconds when its process was started; 0 means long ago
	fromSource   bool                     // the source has sent it since the start
	superseded   bool                     // a process that was started later has its address
}

// Endpoint states in the list.
const (
	stateActive  = "active"
	stateLeaving = "leaving"
	stateLeft    = "left"
)

// isListed reports whether the endpoint is on the list.
func (t *trackedEndpoint) isListed() bool { return t.update.State != scheduler.Removed }

// add adds an endpoint under the next number.
func (table *endpointTable) add(e *transport.Endpoint, upstream transport.Upstream) *trackedEndpoint {
	table.lastNumber++
	t := &trackedEndpoint{
		uid:         e.UID,
		destination: e.Destination,
		upstream:    upstream,
		scheduled:   &scheduler.Endpoint{ID: table.lastNumber},
	}
	table.byNumber[table.lastNumber], table.byUID[e.UID] = t, t
	table.recordListing(t)
	return t
}

// remove removes the endpoint with a number, if there is one.
func (table *endpointTable) remove(number uint64) {
	if t := table.byNumber[number]; t != nil {
		delete(table.byNumber, number)
		if table.byUID[t.uid] == t {
			delete(table.byUID, t.uid)
		}
	}
}

// updateEndpoints passes an endpoint list to the scheduler. The list is either complete or contains only changes.
func (loop *eventLoop) updateEndpoints(list *transport.EndpointList, complete bool) {
	loop.discovery.revision = list.Revision
	loop.drainPending(list)
	updates := make([]scheduler.EndpointUpdate, 0, len(list.Endpoints))
	room := loop.endpointsWithinLimit(complete)
	for i := range list.Endpoints {
		entry := &list.Endpoints[i]
		if !loop.mayTrack(entry, &room) {
			continue
		}
		if removal, moved := loop.removeMoved(entry); moved {
			updates = append(updates, removal)
		}
		if update, known := loop.endpointUpdate(entry); known {
			updates = append(updates, update)
		}
	}
	if complete {
		loop.markUnlistedRemoved(list)
	}
	updates = loop.appendSuperseded(updates, list)
	loop.scheduler.UpdateEndpoints(complete, updates)
	loop.restoreHealth()
	loop.writeEndpointStates()
	loop.removeUnusedDestinations()
	if len(loop.endpoints.restoredRetryAfter) > 0 {
		loop.restoreRetryAfter()
	}
}

// markUnlistedRemoved marks the endpoints that a complete list does not contain as removed.
func (loop *eventLoop) markUnlistedRemoved(list *transport.EndpointList) {
	named := make(map[string]bool, len(list.Endpoints))
	for i := range list.Endpoints {
		named[list.Endpoints[i].UID] = true
	}
	for uid, t := range loop.endpoints.byUID {
		if !named[uid] && t.isListed() {
			t.update.State = scheduler.Removed
			loop.endpoints.recordListing(t)
		}
	}
}

// removeMoved removes the endpoint of an entry that names another destination for it, and returns the removal for the
// scheduler. The entry then adds a new endpoint: calls to the former one must not count for the new destination.
func (loop *eventLoop) removeMoved(e *transport.Endpoint) (removal scheduler.EndpointUpdate, moved bool) {
	t := loop.endpoints.byUID[e.UID]
	if t == nil || e.State == stateLeft || e.Destination == t.destination {
		return scheduler.EndpointUpdate{}, false
	}
	loop.telemetry.log.Warn().Str("endpoint", t.uid).Uint64("from", t.destination).Uint64("to", e.Destination).
		Msg("endpoint moved to another destination")
	delete(loop.endpoints.byUID, t.uid)
	t.update.State = scheduler.Removed
	return t.update, true
}

// endpointUpdate converts an entry of the list to an update for the scheduler. known is false for an endpoint that has
// left and was not known before.
func (loop *eventLoop) endpointUpdate(e *transport.Endpoint) (update scheduler.EndpointUpdate, known bool) {
	kind := index(loop.config.Names.Kinds, e.Kind)
	t, readdressed := loop.trackEndpoint(e)
	if t == nil {
		loop.endpoints.recordRemoval(e.UID)
		return scheduler.EndpointUpdate{}, false
	}
	replaced := t.recordStart(e.StartedMs, loop.discovery.listReceived)
	_, impaired := loop.scheduler.Health(t.scheduled) // an endpoint that is ejected or recovering stays so
	loop.endpoints.startsKnown = loop.endpoints.startsKnown || e.StartedMs > 0
	wasListed := t.isListed()
	t.update = scheduler.EndpointUpdate{
		Endpoint:    t.scheduled,
		Destination: loop.destination(e.Destination),
		Kind:        kind,
		Zone:        t.zone,
		Rate:        e.Rate,
		State:       loop.endpointState(e),
		Readdressed: readdressed || replaced,
		WarmingUp:   replaced && !impaired,
	}
	if t.isListed() != wasListed {
		loop.endpoints.recordListing(t)
	}
	return loop.effectiveUpdate(t), true
}

// trackEndpoint updates or adds the endpoint of an entry of the list, and reports whether its address changed. It
// returns nil for an endpoint that has left and was not known before.
func (loop *eventLoop) trackEndpoint(e *transport.Endpoint) (t *trackedEndpoint, readdressed bool) {
	t = loop.endpoints.byUID[e.UID]
	if t == nil {
		if e.State == stateLeft {
			return nil, false
		}
		t = loop.endpoints.add(e, loop.upstreamOf(e.Kind))
	}
	t.zone = index(loop.config.Names.Zones, e.Zone)
	if e.Address != "" {
		readdressed = t.address != "" && t.address != e.Address
		t.address = e.Address
	}
	return t, readdressed
}

// endpointState converts an endpoint's state in the list. An unknown state counts as draining: calls in flight may end,
// but none begins.
func (loop *eventLoop) endpointState(e *transport.Endpoint) scheduler.EndpointState {
	switch e.State {
	case stateActive:
		return scheduler.Ready
	case stateLeaving:
		return scheduler.Draining
	case stateLeft:
		return scheduler.Removed
	default:
		if loop.telemetry.mayLog("endpoint state") {
			state := e.State[:min(len(e.State), maxLoggedUIDBytes)]
			loop.telemetry.log.Warn().Str("endpoint", e.UID).Str("state", state).Msg("unknown endpoint state in the list")
		}
		return scheduler.Draining
	}
}

const minCleanupThreshold = 64 // destinations

// destination returns the scheduler's destination with a number, and adds it if there is none.
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

// removeUnusedDestinations removes destinations that have neither listed endpoints nor messages, once there are many.
// It may run only after a whole list was applied: while a list is being applied its new destinations have no endpoints
// yet.
func (loop *eventLoop) removeUnusedDestinations() {
	table := &loop.endpoints
	if len(table.destinations) < table.cleanupThreshold {
		return
	}
	for number, d := range table.destinations {
		if loop.scheduler.Forget(d) {
			delete(table.destinations, number)
		}
	}
	table.cleanupThreshold = 2*len(table.destinations) + minCleanupThreshold
}

// index returns the index of a name, or len(names) if the settings do not have it.
func index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return len(names)
}
