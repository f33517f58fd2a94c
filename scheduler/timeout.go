package scheduler

import "math"

const (
	minTimeout          = 0.6 // seconds
	timeoutMultiple     = 3   // timeout as a multiple of the 90th percentile latency, once many calls were measured
	fewCallsMultiple    = 3   // added to timeoutMultiple while no calls were measured
	fewCalls            = 5   // measured calls after which half of fewCallsMultiple is added
	lastSlotsMultiple   = 2   // replaces timeoutMultiple for the last slots
	maxTimeoutDoublings = 3   // maximum number of doublings by consecutive timeouts
)

// callTimeout returns the timeout of a call with messages, where timeout is that of their endpoint. The call ends at the
// latest of their deadlines: a message that must not run twice would otherwise be given up because another one in its call
// has little time left. Each message still gets its final answer at its own deadline.
func (s *Scheduler) callTimeout(timeout float64, messages []*Message) float64 {
	longest := 0.0
	for _, message := range messages {
		longest = math.Max(longest, message.deadline-s.now)
	}
	timeout = math.Min(timeout, longest)
	for _, message := range messages {
		timeout = math.Min(timeout, s.keyTimeLeft(message))
	}
	return timeout
}

// keyTimeLeft returns the seconds until the idempotency key of a repeat is forgotten, before which its call has to end. It is
// infinite for a message that is no repeat or needs no key.
func (s *Scheduler) keyTimeLeft(message *Message) float64 {
	if !message.hasUsedKey() {
		return math.Inf(1)
	}
	return message.firstRanAt + message.messageType.DeduplicationWindow - s.now
}

// timeout returns the timeout in seconds of a call to an endpoint. It is well above the latency of the slow calls to
// the destination. It is shorter for the last slots, and longer while calls to the endpoint time out or while few calls
// have been measured.
//
// Trade-off: calls whose answer is lost do not occupy all slots for long. A few fast answers do not make normal calls
// time out, as a call that times out may have run.
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
