package scheduler

import (
	"math"
	"slices"
)

const (
	failureWeight      = 0.2 // weight of one failure in an endpoint's failure rate, doubled if nothing answered
	ejectionThreshold  = 0.6 // failure rate from which on an endpoint is ejected
	failureStreak      = 3   // consecutive failures that eject a route's endpoints
	lowVolumeStreak    = 2   // the same at low volume
	shortOutage        = 3.0 // seconds without an answer that are no outage
	timelyMultiple     = 4   // times the high latency: an answer that took longer is not timely
	connectRetryMin    = 0.2 // seconds before the next call after a failed connect, plus
	connectRetrySpread = 0.8 // at random: a full connection table is as full at once after
)

// health is the state of an endpoint by its recent results.
type health uint8

const (
	healthy    health = iota
	ejected           // gets no calls but probes
	recovering        // answers again; its rate is raised slowly
)

// Ejected reports whether an endpoint gets probes only, after it failed.
func (e *Endpoint) Ejected() bool { return e.health == ejected }

// EndpointHealth is what one process of a forwarder hands over to the next of an endpoint that is ejected or
// recovering.
type EndpointHealth struct {
	Ejected       bool    // else it is recovering
	RecoveringFor float64 // seconds
	UsualRate     float64 // calls a second that this forwarder makes to its destination as a rule
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

// RestoreHealth gives a listed endpoint the health that an earlier process of this forwarder handed over.
//
// Trade-off: an upgrade does not push over what the earlier process was bringing back slowly; an endpoint that has
// become well meanwhile is probed or slowed down for a while longer.
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

// recordResult learns from the end of a call. It is called once for each call.
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
	// Silence with answers before and after is loss on the way: the endpoint is not cold after it.
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

// beginRecovery ends the ejection of all endpoints of a route: an outage mostly takes all of them, and ends for all.
func (s *Scheduler) beginRecovery(endpoint *Endpoint) {
	route := endpoint.route
	if route.learnedRate > 0 { // it was learned during the outage
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
		s.closeIdle = append(s.closeIdle, endpoint) // its connections may be dead, or too many
		s.recordIdleReuse(call, true)
	}
	route.consecutiveFailures++
	if result.Outcome == NoConnection && result.Latency > initialLatency {
		route.consecutiveFailures++ // not even refused: silence
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

// recordFailedConnect closes idle connections, as the other side's connection table may be full of them.
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
		return weight / 2 // it answered a call that began later: this one was lost alone
	}
	if outcome == TimedOut || outcome == NoConnection && s.now-endpoint.route.lastSuccess > shortOutage {
		return weight * 2
	}
	return weight
}

// routeHasEjected reports whether an endpoint of the same route, itself included, is ejected.
func (e *Endpoint) routeHasEjected() bool {
	return slices.ContainsFunc(e.destination.endpoints, func(other *Endpoint) bool {
		return other.state == Ready && other.health == ejected && other.route == e.route
	})
}

// ejectOnStreak ejects a route's endpoints after three failures in a row, two at low volume; rejections count after the
// first failure. One failure must be a fast one, and no answer may have come for a while.
//
// Trade-off: many forwarders with few calls do not go on calling until each is sure, and together overload a
// destination as it returns; chance failures can eject too.
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

// eject begins or prolongs an endpoint's ejection.
//
// Trade-off: a destination that returns cold is not overloaded, and one that is down, hung, closed or failing is not
// called in vain; chance failures can eject too.
func (s *Scheduler) eject(endpoint *Endpoint) {
	endpoint.health, endpoint.concurrencyLimit = ejected, 1
	from := math.Max(s.now, endpoint.route.blockedUntil)
	endpoint.notBefore = math.Max(endpoint.notBefore, from+s.probeInterval(endpoint)*s.random.uniform())
}
