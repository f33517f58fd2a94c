package scheduler

import (
	"math"
	"slices"
)

const (
	healthyFraction       = 0.75 // of all slots, most for one destination in good health
	impairedFraction      = 0.5  // of all slots, most for one that failed lately or is silent
	impairedTotalFraction = 0.85 // of all slots, from here on none for a destination that failed lately
	restoringStreak       = 3    // timely answers in a row after which healthyFraction holds again
	initialConcurrency    = 2    // calls in flight that a new endpoint may have
	newEndpointSpread     = 0.3  // seconds: all forwarders learn of a new endpoint at about the same time
	failureDecayTime      = 8.0  // seconds in which a failure's weight in the choice falls to 1/e
	otherZoneCost         = 0.5  // in the choice, in units of a full endpoint
	newConnectionCost     = 0.01 // the same: a few calls do not open a connection to each endpoint in turn
	silenceMin            = 0.4  // seconds without an answer that are not silence yet
	silenceMultiple       = 3    // times the high latency: from here on a call without an answer is silence
	unknownRate           = 1e9  // a listed or reported rate of this or more is ignored
	slowObjectiveDivisor  = 2    // a destination is slow if its latency is beyond this part of the objective
)

// Endpoint is one address of a destination.
type Endpoint struct {
	ID uint64 // the adapter's identifier

	destination      *Destination
	route            *Route
	zone             int
	state            EndpointState
	concurrencyLimit float64 // calls in flight that it may have
	calls            []*call // in flight
	lastUsed         float64 // begin of the latest call
	calledOften      bool    // the latest call came before an idle connection would have been closed
	idleConnection   bool    // its connection was left open

	lastSuccess         float64 // when it last delivered a message
	consecutiveTimeouts int     // since it last answered
	lastSuccessBegan    float64 // begin of the latest call that delivered a message
	health              health
	failureRate         float64 // of its latest calls
	lastFailure         float64
	recoveringSince     float64
	notBefore           float64 // it gets no call before
}

// UpdateEndpoints applies a change of the endpoint list. If whole, all endpoints are named and those that are not were
// removed.
func (s *Scheduler) UpdateEndpoints(whole bool, updates []EndpointUpdate) {
	named := map[*Endpoint]bool{}
	s.recordListArrival(len(updates) > 0)
	for i := range updates {
		named[updates[i].Endpoint] = true
		s.updateEndpoint(&updates[i])
	}
	if whole {
		s.removeUnnamed(named)
	}
}

func (s *Scheduler) updateEndpoint(update *EndpointUpdate) {
	endpoint, destination := update.Endpoint, update.Destination
	if endpoint.destination == nil {
		s.addEndpoint(endpoint, destination, update.Kind)
	}
	if endpoint.state == Removed && update.State == Ready && s.now > s.startedAt {
		endpoint.notBefore = s.now + s.random.uniform()*newEndpointSpread
	}
	s.markUpdated(destination)
	if update.State != Ready && len(endpoint.calls) > 0 {
		s.cancelUnsent = append(s.cancelUnsent, endpoint)
	}
	if update.WarmingUp && update.State == Ready {
		s.beginSlowStart(endpoint, s.now)
	}
	endpoint.zone, endpoint.state = update.Zone, update.State
	destination.batchSize, destination.kind = 1, update.Kind
	if update.Kind < len(s.settings.KindBatchSize) {
		destination.batchSize = max(1, s.settings.KindBatchSize[update.Kind])
	}
	if update.Rate > 0 && update.Rate < unknownRate {
		destination.listedRate = update.Rate
	}
}

// addEndpoint adds an endpoint to a destination. Its random last use makes the first call go anywhere, so that not all
// forwarders start with the first endpoint of the list.
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
				endpoint.state = Removed
				s.markUpdated(destination)
			}
		}
	}
}

// releaseRemoved forgets removed endpoints once no call to them is in flight: new ones come all day.
func (s *Scheduler) releaseRemoved(destination *Destination) {
	for i := len(destination.endpoints) - 1; i >= 0; i-- {
		if endpoint := destination.endpoints[i]; endpoint.state == Removed && len(endpoint.calls) == 0 {
			destination.endpoints = slices.Delete(destination.endpoints, i, i+1)
			s.due.touch(destination)
			s.host.ReleaseEndpoint(endpoint)
		}
	}
}

// silent reports whether a call has been in flight for far longer than usual and nothing was answered since it began.
//
// Trade-off: a silent destination does not keep its share until the timeout, but one slow call looks the same.
func (s *Scheduler) silent(endpoint *Endpoint) bool {
	return len(endpoint.calls) > 0 && endpoint.lastSuccess < endpoint.calls[0].began &&
		s.now-endpoint.calls[0].began > math.Max(silenceMin, silenceMultiple*endpoint.destination.latency.p90)
}

// impaired reports whether a destination's share of the slots is lowered.
func (s *Scheduler) impaired(destination *Destination) bool {
	return destination.timelyStreak < restoringStreak || slices.ContainsFunc(destination.endpoints, s.silent)
}

// allEjected reports whether no endpoint of a destination answers.
func (s *Scheduler) allEjected(destination *Destination) bool {
	alive := func(endpoint *Endpoint) bool { return endpoint.state == Ready && endpoint.health != ejected }
	return !slices.ContainsFunc(destination.endpoints, alive)
}

// slotFraction returns part of the slots, at least one.
func slotFraction(slots int, part float64) int { return max(1, int(part*float64(slots))) }

// mayStartCall reports whether a destination may have one more call in flight.
//
// Trade-off: destinations that are slow or failed lately leave the last slots to the others, but for one call if none
// timed out. Many of them cannot fill all slots; while all else is idle they could have had more.
func (s *Scheduler) mayStartCall(destination *Destination) bool {
	impaired, slots, share := s.impaired(destination), s.settings.ConcurrencyLimit, healthyFraction
	if impaired {
		share = impairedFraction
	}
	stops := s.listStale || s.stopAt > 0 && s.now+destination.latency.p90 > s.stopAt
	if stops || s.callsInFlight >= slots || destination.callsInFlight >= slotFraction(slots, share) {
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

// selectEndpoint returns the endpoint of a destination that is to get one more call, nil if none can take it.
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
	// One call a moment: more messages would join the same call.
	return endpoint.destination.batchSize <= 1 || endpoint.calls[inFlight-1].began != s.now
}

// cost orders endpoints that can take a call: the least comes first.
//
// Trade-off: an endpoint that failed of late comes after its siblings, so that one which fails some messages (all of
// one type, say) does not get half of them; the siblings get more while they are nearly full.
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
