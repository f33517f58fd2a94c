package forwarder

import (
	"spanflow/internal/membudget"
	"spanflow/transport"
)

// maxLoggedUIDBytes limits a uid in a log line of a refused entry.
const maxLoggedUIDBytes = 64

// unlimitedEndpoints is the room for endpoints if there is no limit.
const unlimitedEndpoints = int(^uint(0) >> 1)

// endpointsWithinLimit returns how many endpoints a list may add. A complete list replaces the endpoints listed so far.
func (loop *eventLoop) endpointsWithinLimit(complete bool) int {
	limit := loop.memory.MaxEndpoints()
	if limit == 0 {
		return unlimitedEndpoints
	}
	if complete {
		return limit
	}
	for _, t := range loop.endpoints.byUID {
		if t.isListed() {
			limit--
		}
	}
	return limit
}

// mayTrack reports whether an entry of a list may be applied, and counts it against the room if it adds an endpoint. An
// entry that would take the process over its memory is logged and ignored.
func (loop *eventLoop) mayTrack(e *transport.Endpoint, room *int) bool {
	t := loop.endpoints.byUID[e.UID]
	reason := ""
	switch {
	case e.State == stateLeft && t == nil && membudget.ValidEndpointName(e.UID):
	case !membudget.ValidEndpointName(e.UID) || !membudget.ValidEndpointName(e.Address):
		reason = "its uid or address is too long"
	case t != nil && t.isListed():
	case *room <= 0:
		reason = "the memory has no room for more endpoints"
	default:
		*room--
	}
	if reason == "" {
		return true
	}
	if loop.telemetry.mayLog("endpoint refused") {
		loop.telemetry.log.Warn().Str("endpoint", e.UID[:min(len(e.UID), maxLoggedUIDBytes)]).Str("reason", reason).
			Int("listed", len(loop.endpoints.byUID)).Msg("entry of the endpoint list ignored")
	}
	return false
}
