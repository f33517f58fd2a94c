package scheduler

import (
	"math"
	"slices"
)

const (
	failureWeight      = 0.2 // weight of one failure in an endpoint's failure rate, doubled if there was no answer
	ejectionThreshold  = 0.6 // failure rate above which an endpoint is ejected
	failureStreak      = 3   // consecutive failures that eject a route's endpoints
	lowVolumeStreak    = 2   // the same at low volume
	shortOutage        = 3.0 // seconds without a delivery that do not count as an outage yet
	timelyMultiple     = 4   // an answer is not timely if it took longer than the 90th percentile latency times this
	connectRetryMin    = 0.2 // seconds before the call after a failed connect; a full connection table is not free at once
	connectRetrySpread = 0.8 // maximum random delay in seconds, which is added to that
)

// health is the state of an endpoint according to the results of its recent calls.
type health uint8

const (
	healthy    health = iota
	ejected           // gets only probes
	recovering        // answers again; its rate is raised slowly
)

// Ejected reports whether the endpoint failed and therefore gets only probes.
func (e *Endpoint) Ejected() bool { return e.health == ejected }

// EndpointHealth describes an endpoint that is ejected or recovering. One process of a forwarder hands it over to its
// successor.
type EndpointHealth struct {
	Ejected       bool    // otherwise the endpoint is recovering
	RecoveringFor float64 // seconds since the recovery began
	UsualRate     float64 // calls per second that this forwarder usually makes to the endpoint's destination
}

// Health returns the health of an endpoint that is ejected or recovering; impaired is false for any other.
func (s *Scheduler) Health(endpoint *Endpoint) (state EndpointHealth, impaired bool) {
	if endpoint.health == healthy {
		return EndpointHealth{}, false
	}
	state = EndpointHealth{Ejected: endpoint.health == ejected, UsualRate: s.usualRate(endpoint)}
	if !state.Ejected {
		state.RecoveringFor = s.now - endpoint.recoveringSince
	}
	return state, true
}

// RestoreHealth sets the health of a listed endpoint to that which an earlier process of this forwarder handed over.
//
// Trade-off: an upgrade does not overload an endpoint that was in slow start in the earlier process; but an endpoint
// that is healthy by now is probed or limited for a while longer.
func (s *Scheduler) RestoreHealth(endpoint *Endpoint, state EndpointHealth) {
	destination := endpoint.destination
	destination.inheritedRate = math.Max(destination.inheritedRate, state.UsualRate)
	if state.Ejected {
		s.eject(endpoint)
	} else {
		s.beginSlowStart(endpoint, s.now-state.RecoveringFor)
	}
	s.markUpdated(destination)
}

// recordResult updates the learned state of an endpoint, its route and its destination after a call. It is called once
// for each call.
func (s *Scheduler) recordResult(endpoint *Endpoint, call *call, result AttemptResult) {
	s.recordReports(endpoint, result)
	switch result.Outcome {
	case Delivered:
		s.recordSuccess(endpoint, call, result.Latency)
	case ServerError, Malformed, TimedOut, NoConnection, Reset:
		s.recordFailure(endpoint, call, result)
	case Overloaded:
		if endpoint.route.consecutiveFailures > 0 {
			endpoint.route.consecutiveFailures++
			s.ejectOnStreak(endpoint)
		}
		s.recordRejection(endpoint, call, result)
	}
}

func (s *Scheduler) recordSuccess(endpoint *Endpoint, call *call, latency float64) {
	destination, route := endpoint.destination, endpoint.route
	s.recordIdleReuse(call, false)
	// Timeouts with deliveries shortly before and after are due to losses in the network: the endpoint is not cold.
	if endpoint.health == ejected && endpoint.consecutiveTimeouts > 0 && s.now-endpoint.lastSuccess < shortOutage {
		endpoint.health, endpoint.notBefore, endpoint.failureRate = healthy, s.now, failureWeight
	}
	endpoint.consecutiveTimeouts, endpoint.lastSuccess = 0, s.now
	endpoint.lastSuccessBegan = math.Max(endpoint.lastSuccessBegan, call.began)
	endpoint.failureRate *= 1 - failureWeight
	route.consecutiveRejections, route.consecutiveFailures, route.fastFailure, route.lastSuccess = 0, 0, false, s.now
	if latency > timelyMultiple*destination.latency.p90 {
		destination.timelyStreak = 0
	} else {
		destination.timelyStreak++
		limit := endpoint.concurrencyLimit
		endpoint.concurrencyLimit = math.Min(limit+1/limit, math.Max(1, float64(s.settings.ConcurrencyLimit)))
	}
	destination.latency.record(latency)
	if endpoint.health == ejected {
		s.beginRecovery(endpoint)
	} else if endpoint.health == recovering && s.now-endpoint.recoveringSince > s.settings.SlowStartDuration {
		endpoint.health = healthy
	}
}

// beginRecovery ends the ejection of all endpoints of a route, because an outage usually affects all of them and ends
// for all of them at once.
func (s *Scheduler) beginRecovery(endpoint *Endpoint) {
	route := endpoint.route
	if route.learnedRate > 0 { // learned during the outage and probably too low
		route.learnedRate = math.Max(route.learnedRate, s.usualRate(endpoint))
	}
	for _, other := range endpoint.destination.endpoints {
		if other.route == route && other.health == ejected {
			other.health, other.recoveringSince = recovering, s.now
			other.failureRate = math.Min(other.failureRate, failureWeight)
			other.notBefore = s.now + s.probeInterval(other)
		}
	}
}

func (s *Scheduler) recordFailure(endpoint *Endpoint, call *call, result AttemptResult) {
	destination, route := endpoint.destination, endpoint.route
	destination.timelyStreak = 0
	if result.Outcome == NoConnection {
		s.recordFailedConnect(endpoint)
	}
	if result.Outcome == TimedOut {
		endpoint.consecutiveTimeouts++
	}
	weight := s.failureWeight(endpoint, call, result.Outcome)
	endpoint.failureRate += weight * (1 - endpoint.failureRate)
	endpoint.lastFailure, endpoint.concurrencyLimit = s.now, math.Max(1, endpoint.concurrencyLimit/2)
	if !result.Outcome.isError() {
		s.closeIdle = append(s.closeIdle, endpoint) // its connections may be dead, or there may be too many
		s.recordIdleReuse(call, true)
	}
	route.consecutiveFailures++
	if result.Outcome == NoConnection && result.Latency > initialLatency {
		route.consecutiveFailures++ // a connect that was not answered, rather than refused, counts twice
	}
	route.fastFailure = route.fastFailure || result.Outcome.isError() || result.Outcome == NoConnection
	if endpoint.failureRate > ejectionThreshold || weight > failureWeight && endpoint.routeHasEjected() {
		s.eject(endpoint)
	}
	if route.consecutiveFailures > 1 && s.now-route.lastSuccess > shortOutage {
		route.block(s.now + s.cooldown(endpoint)*s.random.uniform())
	}
	s.ejectOnStreak(endpoint)
}

// recordFailedConnect closes idle connections, because they may fill the destination's connection table.
func (s *Scheduler) recordFailedConnect(endpoint *Endpoint) {
	destination := endpoint.destination
	s.noIdleKindUntil[destination.kind] = s.now + failedConnectPause
	endpoint.notBefore = math.Max(endpoint.notBefore, s.now+connectRetryMin+connectRetrySpread*s.random.uniform())
	s.closeIdle = append(s.closeIdle, destination.endpoints...)
}

// failureWeight returns the weight of a failure in the endpoint's failure rate.
func (s *Scheduler) failureWeight(endpoint *Endpoint, call *call, outcome Outcome) float64 {
	weight := failureWeight
	if endpoint.lastSuccessBegan >= call.began {
		return weight / 2 // the endpoint answered a call that began later, so only this one was lost
	}
	if outcome == TimedOut || outcome == NoConnection && s.now-endpoint.route.lastSuccess > shortOutage {
		return weight * 2
	}
	return weight
}

// routeHasEjected reports whether a ready endpoint of the same route, possibly e itself, is ejected.
func (e *Endpoint) routeHasEjected() bool {
	return slices.ContainsFunc(e.destination.endpoints, func(other *Endpoint) bool {
		return other.state == Ready && other.health == ejected && other.route == e.route
	})
}

// ejectOnStreak ejects a route's endpoints after three consecutive failures, or two at low volume. After the first
// failure, rejections count as failures, too. One of the failures must be an error or a failed connect, and the route
// must have delivered nothing for longer than shortOutage.
//
// Trade-off: many forwarders with few calls each do not keep calling until each of them is certain of the outage, which
// would overload a returning destination. But chance failures can cause an ejection, too.
func (s *Scheduler) ejectOnStreak(endpoint *Endpoint) {
	route, streak := endpoint.route, failureStreak
	if s.lowVolume(endpoint.destination) {
		streak = lowVolumeStreak
	}
	if !route.fastFailure || route.consecutiveFailures < streak || !(s.now-route.lastSuccess > shortOutage) {
		return
	}
	s.ejectRoute(endpoint)
}

// ejectRoute ejects all endpoints of an endpoint's route that are not ejected yet.
func (s *Scheduler) ejectRoute(endpoint *Endpoint) {
	for _, other := range endpoint.destination.endpoints {
		if other.route == endpoint.route && other.health != ejected {
			s.eject(other)
		}
	}
}

// eject begins or prolongs the ejection of an endpoint.
//
// Trade-off: a destination that returns cold is not overloaded, and one that is down, hung, closed or failing is not
// called needlessly; but chance failures can cause an ejection, too.
func (s *Scheduler) eject(endpoint *Endpoint) {
	if endpoint.health != ejected { // calls that begin from now on are limited, however long ago they were chosen
		s.cancelUnsentCalls(endpoint)
	}
	endpoint.health, endpoint.concurrencyLimit = ejected, 1
	from := math.Max(s.now, endpoint.route.blockedUntil)
	endpoint.notBefore = math.Max(endpoint.notBefore, from+s.probeInterval(endpoint)*s.random.uniform())
}
