package scheduler

import "math"

const (
	recoveryMargin        = 1.2  // on the usual rate, as a base of the ramp
	minRecoveryFraction   = 0.05 // of the usual rate, even where the settings allow less
	minSlowStartDuration  = 0.1  // seconds
	minProbeSpread        = 0.7  // of the mean time between probes
	probeSpread           = 0.6  // random part of it
	cooldownCalls         = 2    // length of a cooldown, in usual intervals between calls
	minGuaranteedRate     = 1    // calls a second that a route is assumed to take, of all forwarders together
	healthyCallsAssumed   = 1    // added to the calls of a destination's healthy time
	healthySecondsAssumed = 2    // added to that time, so that the first calls give no extreme rate
	inheritedWindow       = 30   // seconds of its own that an earlier process's usual rate counts like
)

// beginSlowStart has an endpoint recover since a time, with one call at first.
func (s *Scheduler) beginSlowStart(endpoint *Endpoint, since float64) {
	endpoint.health, endpoint.recoveringSince, endpoint.concurrencyLimit = recovering, since, 1
	endpoint.notBefore = math.Max(endpoint.notBefore, s.now+s.probeInterval(endpoint)*s.random.uniform())
}

// probeInterval returns a random time between two calls to an endpoint that is ejected or recovering, in seconds.
func (s *Scheduler) probeInterval(endpoint *Endpoint) float64 {
	return (minProbeSpread + probeSpread*s.random.uniform()) / s.recoveryRate(endpoint)
}

// recoveryRate returns the calls a second that an endpoint may get while it is ejected or recovering, so that all
// forwarders together, each judging by its own part, stay within what a cold destination can take.
func (s *Scheduler) recoveryRate(endpoint *Endpoint) float64 {
	peers := 0
	for _, other := range endpoint.destination.endpoints {
		if other.route == endpoint.route && other.state == Ready && other.health == endpoint.health {
			peers++
		}
	}
	settings := &s.settings
	ceiling := recoveryMargin * settings.OverloadMultiple * s.usualRate(endpoint)
	if endpoint.health == ejected { // all ejected endpoints of a route share its probes
		return math.Max(ceiling*settings.SlowStartShare, 1/float64(settings.Forwarders))
	}
	duration := math.Max(minSlowStartDuration, settings.SlowStartDuration)
	share := settings.SlowStartShare + (1-settings.SlowStartShare)*(s.now-endpoint.recoveringSince)/duration
	return ceiling * math.Max(minRecoveryFraction, share) / float64(max(1, peers))
}

// usualRate returns the calls a second that this forwarder makes or may make to an endpoint's destination as a rule:
// its demand, but no more than the destination completed while it was healthy.
//
// Trade-off: a ramp does not overload a destination that was offered more than it can handle, but is too slow where the
// destination's capacity is not known yet.
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

// acceptedRate returns the messages a second that were accepted for a destination since the start. What an earlier
// process handed over as its usual rate counts as so many seconds more of it.
func (s *Scheduler) acceptedRate(destination *Destination) float64 {
	window := s.now - s.startedAt + startWindow
	if destination.inheritedRate == 0 {
		return destination.accepted / window
	}
	return (destination.accepted + destination.inheritedRate*inheritedWindow) / (window + inheritedWindow)
}

// cooldown returns how long a route is blocked after repeated failures or rejections, in seconds: the usual time of two
// calls, at most half of a message's time to live.
func (s *Scheduler) cooldown(endpoint *Endpoint) float64 {
	return math.Min(cooldownCalls/s.usualRate(endpoint), s.shortestTimeToLive/2)
}

// guaranteedRate returns this forwarder's even part of the rate that a route is assumed to take.
func (s *Scheduler) guaranteedRate(endpoint *Endpoint) float64 {
	rate := math.Max(minGuaranteedRate, endpoint.route.reportedLimit)
	if s.settings.ListedRateTolerance > 0 {
		rate = math.Max(rate, endpoint.destination.listedRate/s.settings.ListedRateTolerance)
	}
	return rate / float64(s.settings.Forwarders)
}
