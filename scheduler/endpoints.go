package scheduler

import (
	"math"
	"slices"
)

const (
	healthyFraction       = 0.75 // maximum share of all slots for one healthy destination
	impairedFraction      = 0.5  // maximum share of all slots for one impaired destination
	impairedTotalFraction = 0.85 // share of all slots in use above which an impaired destination gets no further slots
	restoringStreak       = 3    // consecutive timely answers after which healthyFraction applies again
	initialConcurrency    = 2    // concurrency limit of a new endpoint
	newEndpointSpread     = 0.3  // seconds by which first calls are spread, as all forwarders learn of an endpoint at once
	failureDecayTime      = 8.0  // seconds in which the weight of a failure in Scheduler.cost decays to 1/e
	otherZoneCost         = 0.5  // cost of an endpoint in another zone; an endpoint at its concurrency limit costs 1
	newConnectionCost     = 0.01 // cost of a new connection, so that a few calls do not open one to each endpoint
	silenceMin            = 0.4  // minimum time in seconds that a call has no answer before its endpoint counts as silent
	silenceMultiple       = 3    // the minimum as a multiple of the 90th percentile latency; the longer time applies
	unknownRate           = 1e9  // a listed or reported rate of this or more is ignored
	slowObjectiveDivisor  = 2    // a destination is slow if its latency exceeds the shortest objective divided by this
)

// Endpoint is one address of a destination.
type Endpoint struct {
	ID uint64 // the adapter's identifier

	destination      *Destination
	route            *Route
	zone             int
	state            EndpointState
	concurrencyLimit float64 // maximum number of calls in flight
	calls            []*call // calls in flight
	lastUsed         float64 // start of the latest call
	calledOften      bool    // the latest call began before an idle connection would have been closed
	idleConnection   bool    // a connection was left open after a call

	lastSuccess         float64 // when the endpoint last delivered a message
	consecutiveTimeouts int     // number of timeouts since the last delivery
	lastSuccessBegan    float64 // latest start of a call that delivered a message
	health              health
	failureRate         float64 // exponentially weighted share of failed calls
	lastFailure         float64
	recoveringSince     float64
	notBefore           float64 // time before which the endpoint gets no call
}

// UpdateEndpoints applies a change of the endpoint list. If complete is true, updates lists all endpoints, and any
// endpoint missing from it was removed.
func (s *Scheduler) UpdateEndpoints(complete bool, updates []EndpointUpdate) {
	named := map[*Endpoint]bool{}
	s.recordListArrival(len(updates) > 0)
	for i := range updates {
		named[updates[i].Endpoint] = true
		s.updateEndpoint(&updates[i])
	}
	if complete {
		s.removeUnnamed(named)
	}
}

// OverrideEndpoint applies a state that operators have given to a listed endpoint. Unlike UpdateEndpoints, it does not
// mean that the endpoint list has arrived.
func (s *Scheduler) OverrideEndpoint(update EndpointUpdate) { s.updateEndpoint(&update) }

func (s *Scheduler) updateEndpoint(update *EndpointUpdate) {
	endpoint, destination := update.Endpoint, update.Destination
	if endpoint.destination == nil {
		s.addEndpoint(endpoint, destination, update.Kind)
	}
	if endpoint.state == Removed && update.State == Ready && s.now > s.startedAt {
		endpoint.notBefore = s.now + s.random.uniform()*newEndpointSpread
	}
	if update.WarmingUp && update.State == Ready {
		s.beginSlowStart(endpoint, s.now)
	}
	movedZone := endpoint.zone != update.Zone // a repeat may be known in the former zone alone
	endpoint.zone = update.Zone
	s.setState(endpoint, update.State)
	if update.Readdressed || movedZone {
		s.cancelUnsentCalls(endpoint)
	}
	destination.batchSize, destination.kind = 1, update.Kind
	if update.Kind < len(s.settings.KindBatchSize) {
		destination.batchSize = max(1, s.settings.KindBatchSize[update.Kind])
	}
	if update.Rate > 0 && update.Rate < unknownRate {
		destination.listedRate = update.Rate
	}
}

// addEndpoint adds an endpoint to a destination. Its time of last use is random, so that forwarders choose different
// endpoints for their first call and not all of them the first one of the list.
func (s *Scheduler) addEndpoint(endpoint *Endpoint, destination *Destination, kind int) {
	endpoint.destination, endpoint.route, endpoint.state = destination, destination.sharedRoute, Removed
	endpoint.concurrencyLimit, endpoint.lastUsed = initialConcurrency, -s.random.uniform()
	if kind < len(s.settings.KindEndpointLimits) && s.settings.KindEndpointLimits[kind] {
		endpoint.route = &Route{refilledAt: s.now}
	}
	destination.endpoints = append(destination.endpoints, endpoint)
}

func (s *Scheduler) removeUnnamed(named map[*Endpoint]bool) {
	for _, destination := range s.destinations {
		for _, endpoint := range destination.endpoints {
			if !named[endpoint] {
				s.setState(endpoint, Removed)
			}
		}
	}
}

// setState changes the state of an endpoint. If the endpoint is no longer ready, its calls that are not sent yet are
// cancelled: its address may soon belong to an endpoint of another destination.
func (s *Scheduler) setState(endpoint *Endpoint, state EndpointState) {
	endpoint.state = state
	s.markUpdated(endpoint.destination)
	if state != Ready {
		s.cancelUnsentCalls(endpoint)
	}
}

// CancelUnsentCalls makes the next Reconcile cancel all calls that are not sent yet. It is called when the process ends:
// such a call must not be sent when nobody follows the endpoint list any more, and the next process may begin it anew.
func (s *Scheduler) CancelUnsentCalls() {
	for _, destination := range s.destinations {
		for _, endpoint := range destination.endpoints {
			s.cancelUnsentCalls(endpoint)
		}
	}
}

// cancelUnsentCalls makes the next Reconcile cancel the calls to an endpoint that are not sent yet.
func (s *Scheduler) cancelUnsentCalls(endpoint *Endpoint) {
	if len(endpoint.calls) > 0 {
		s.cancelUnsent = append(s.cancelUnsent, endpoint)
	}
}

// releaseRemoved releases removed endpoints once no call to them is in flight. Without it, the number of endpoints
// would keep growing, as new ones are listed all day.
func (s *Scheduler) releaseRemoved(destination *Destination) {
	for i := len(destination.endpoints) - 1; i >= 0; i-- {
		if endpoint := destination.endpoints[i]; endpoint.state == Removed && len(endpoint.calls) == 0 {
			destination.endpoints = slices.Delete(destination.endpoints, i, i+1)
			s.due.touch(destination)
			s.host.ReleaseEndpoint(endpoint)
		}
	}
}

// silent reports whether a call to an endpoint has been in flight for far longer than usual and the endpoint has
// delivered nothing since that call began.
//
// Trade-off: a silent destination does not keep its share of the slots until its calls time out, but a single slow call
// looks the same as silence.
func (s *Scheduler) silent(endpoint *Endpoint) bool {
	return len(endpoint.calls) > 0 && endpoint.lastSuccess < endpoint.calls[0].began &&
		s.now-endpoint.calls[0].began > math.Max(silenceMin, silenceMultiple*endpoint.destination.latency.p90)
}

// impaired reports whether a destination's share of the slots is lowered.
func (s *Scheduler) impaired(destination *Destination) bool {
	return destination.timelyStreak < restoringStreak || slices.ContainsFunc(destination.endpoints, s.silent)
}

// allEjected reports whether no endpoint of a destination answers: each one is ejected or not ready.
func (s *Scheduler) allEjected(destination *Destination) bool {
	alive := func(endpoint *Endpoint) bool { return endpoint.state == Ready && endpoint.health != ejected }
	return !slices.ContainsFunc(destination.endpoints, alive)
}

// slotFraction returns the given part of all slots, at least one slot.
func slotFraction(slots int, part float64) int { return max(1, int(part*float64(slots))) }

// mayStartCall reports whether a destination may have one more call in flight.
//
// The last slots are reserved: a slow or impaired destination uses them for one call at most, and for none if a call to
// one of its endpoints timed out since that endpoint's last delivery. Trade-off: many such destinations together cannot
// fill all slots, but they get fewer than they could have while all other destinations are idle.
func (s *Scheduler) mayStartCall(destination *Destination) bool {
	impaired, slots, share := s.impaired(destination), s.settings.ConcurrencyLimit, healthyFraction
	if impaired {
		share = impairedFraction
	}
	suspended := s.awaitingList || s.lease.expired || s.stopsBeforeAnswer(destination)
	if suspended || s.callsInFlight >= slots || destination.callsInFlight >= slotFraction(slots, share) {
		return false
	}
	if s.callsInFlight < slotFraction(slots, impairedTotalFraction) {
		return true
	}
	slow := destination.latency.p90 > s.shortestObjective/slowObjectiveDivisor
	if destination.callsInFlight > 0 && (impaired || slow) {
		return false
	}
	timedOut := func(endpoint *Endpoint) bool { return endpoint.consecutiveTimeouts > 0 }
	return !slices.ContainsFunc(destination.endpoints, timedOut)
}

// selectEndpoint returns the endpoint of a destination for the next call, nil if no endpoint can take one.
func (s *Scheduler) selectEndpoint(destination *Destination) *Endpoint {
	if !s.mayStartCall(destination) {
		return nil
	}
	best, least := (*Endpoint)(nil), math.Inf(1)
	for _, endpoint := range destination.endpoints {
		if !s.hasFreeSlot(endpoint) {
			continue
		}
		cost := s.cost(endpoint)
		if cost < least || cost == least && endpoint.lastUsed < best.lastUsed {
			best, least = endpoint, cost
		}
	}
	return best
}

// hasFreeSlot reports whether an endpoint can take one more call now.
func (s *Scheduler) hasFreeSlot(endpoint *Endpoint) bool {
	if endpoint.state != Ready || s.now < endpoint.notBefore || !s.routeAllows(endpoint.route) || s.silent(endpoint) {
		return false
	}
	inFlight := len(endpoint.calls)
	if inFlight == 0 {
		return 0 < math.Floor(endpoint.concurrencyLimit)
	}
	if float64(inFlight) >= math.Floor(endpoint.concurrencyLimit) || endpoint.health == ejected {
		return false
	}
	// With batches, only one call begins at a time: further messages would have been part of that call.
	return endpoint.destination.batchSize <= 1 || endpoint.calls[inFlight-1].began != s.now
}

// cost ranks the endpoints that can take a call. The one with the lowest cost is chosen.
//
// Trade-off: an endpoint that failed recently is chosen after the other endpoints, so that an endpoint that fails some
// messages (for example, all of one type) does not get half of them. But the other endpoints get more calls even if
// they are nearly full.
func (s *Scheduler) cost(endpoint *Endpoint) float64 {
	cost := float64(len(endpoint.calls))/endpoint.concurrencyLimit +
		endpoint.failureRate*math.Exp((endpoint.lastFailure-s.now)/failureDecayTime)
	if endpoint.zone != s.settings.Zone {
		cost += otherZoneCost
	}
	if s.now-endpoint.lastUsed > s.settings.IdleTimeout {
		cost += newConnectionCost
	}
	return cost
}
