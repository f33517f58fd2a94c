package scheduler

import "math"

const (
	recoveryMargin        = 1.2  // factor on the usual rate; the result is the base of the ramp
	minRecoveryFraction   = 0.05 // minimum share of the base, even if the settings allow less
	minSlowStartDuration  = 0.1  // seconds
	minProbeSpread        = 0.7  // shortest time between probes as a share of the mean time
	probeSpread           = 0.6  // random part of that time as a share of the mean time
	cooldownCalls         = 2    // length of a cooldown in usual intervals between calls
	minGuaranteedRate     = 1    // calls per second, from all forwarders together, that a route is assumed to accept
	healthyCallsAssumed   = 1    // added to the messages that were delivered while a destination was healthy
	healthySecondsAssumed = 2    // added to the healthy time, so that the first calls do not result in an extreme rate
	inheritedWindow       = 30   // an inherited usual rate counts as this many seconds of measuring
)

// beginSlowStart makes an endpoint recover as if its recovery had begun at the given time. At first, it gets one call
// at a time.
func (s *Scheduler) beginSlowStart(endpoint *Endpoint, since float64) {
	s.cancelUnsentCalls(endpoint)
	endpoint.health, endpoint.recoveringSince, endpoint.concurrencyLimit = recovering, since, 1
	endpoint.notBefore = math.Max(endpoint.notBefore, s.now+s.probeInterval(endpoint)*s.random.uniform())
}

// probeInterval returns a random time in seconds between two calls to an endpoint that is ejected or recovering.
func (s *Scheduler) probeInterval(endpoint *Endpoint) float64 {
	return (minProbeSpread + probeSpread*s.random.uniform()) / s.recoveryRate(endpoint)
}

// recoveryRate returns the calls per second that an endpoint may get while it is ejected or recovering. Each forwarder
// derives it from its own calls, so that all forwarders together stay within the capacity of a cold destination.
func (s *Scheduler) recoveryRate(endpoint *Endpoint) float64 {
	peers := 0
	for _, other := range endpoint.destination.endpoints {
		if other.route == endpoint.route && other.state == Ready && other.health == endpoint.health {
			peers++
		}
	}
	settings := &s.settings
	ceiling := recoveryMargin * settings.OverloadMultiple * s.usualRate(endpoint)
	if endpoint.health == ejected { // not divided among peers: the probes are for all ejected endpoints of a route
		return math.Max(ceiling*settings.SlowStartShare, 1/float64(settings.Forwarders))
	}
	duration := math.Max(minSlowStartDuration, settings.SlowStartDuration)
	share := settings.SlowStartShare + (1-settings.SlowStartShare)*(s.now-endpoint.recoveringSince)/duration
	return ceiling * math.Max(minRecoveryFraction, share) / float64(max(1, peers))
}

// usualRate returns the calls per second that this forwarder usually makes to an endpoint's destination. That is its
// demand, but not more than the destination completed while it was healthy, and at least the guaranteed rate.
//
// Trade-off: the slow start does not overload a destination that was offered more than it can handle, but it is too
// slow if the capacity of the destination is not known yet.
func (s *Scheduler) usualRate(endpoint *Endpoint) float64 {
	destination := endpoint.destination
	rate := s.acceptedRate(destination)
	if destination.healthyDeliveries > 0 {
		healthyRate := (destination.healthyDeliveries + healthyCallsAssumed) /
			(destination.healthySeconds + healthySecondsAssumed)
		rate = math.Min(rate, healthyRate)
	}
	return math.Max(rate*(destination.calls+1)/(destination.attempts+1), s.guaranteedRate(endpoint))
}

// acceptedRate returns the messages per second that were accepted for a destination since the start. A usual rate that
// an earlier process handed over counts as if it had been measured for inheritedWindow further seconds.
func (s *Scheduler) acceptedRate(destination *Destination) float64 {
	window := s.now - s.startedAt + startWindow
	if destination.inheritedRate == 0 {
		return destination.accepted / window
	}
	return (destination.accepted + destination.inheritedRate*inheritedWindow) / (window + inheritedWindow)
}

// cooldown returns the time in seconds for which a route is blocked after repeated failures or rejections: the time in
// which this forwarder usually makes two calls, but at most half of the shortest time to live.
func (s *Scheduler) cooldown(endpoint *Endpoint) float64 {
	return math.Min(cooldownCalls/s.usualRate(endpoint), s.shortestTimeToLive/2)
}

// guaranteedRate returns this forwarder's equal share of the calls per second that a route is assumed to accept.
func (s *Scheduler) guaranteedRate(endpoint *Endpoint) float64 {
	rate := math.Max(minGuaranteedRate, endpoint.route.reportedLimit)
	if s.settings.ListedRateTolerance > 0 {
		rate = math.Max(rate, endpoint.destination.listedRate/s.settings.ListedRateTolerance)
	}
	return rate / float64(s.settings.Forwarders)
}
