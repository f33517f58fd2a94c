package scheduler

import "math"

const (
	minTimeout          = 0.6 // seconds
	timeoutMultiple     = 3   // times the high latency: the timeout once many calls were measured
	fewCallsMultiple    = 3   // added to it while none were measured
	fewCalls            = 5   // measured calls at which half of that is left
	lastSlotsMultiple   = 2   // times the high latency while the last slots are in use
	maxTimeoutDoublings = 3   // by consecutive timeouts
)

// timeout returns how long a call to an endpoint is waited for, in seconds: well beyond its slow calls of late, less so
// for the last slots, and longer while the endpoint answers nothing or few calls were measured.
//
// Trade-off: lost answers do not hold all slots, and calls are not cut off that a few fast answers made look late, each
// of which may have run.
func (s *Scheduler) timeout(endpoint *Endpoint) float64 {
	latency := &endpoint.destination.latency
	multiple := timeoutMultiple + fewCallsMultiple*fewCalls/(fewCalls+latency.total)
	lastSlots := s.callsInFlight >= s.settings.ConcurrencyLimit-1
	if lastSlots && endpoint.consecutiveTimeouts == 0 && endpoint.destination.timelyStreak > 0 {
		multiple = lastSlotsMultiple
	}
	doublings := min(endpoint.consecutiveTimeouts, maxTimeoutDoublings)
	return math.Max(minTimeout, multiple*latency.p90) * math.Pow(2, float64(doublings))
}
