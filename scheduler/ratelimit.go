package scheduler

import "math"

const (
	learnedRateCut      = 0.7  // factor by which a rejection lowers the learned rate
	learnedRateGrowth   = 0.08 // growth of the learned rate per second while nothing is rejected
	growthDoubling      = 2    // seconds without a rejection after which that growth has doubled
	reportedGrowth      = 0.6  // per second; factor of the reported share in the exponential growth of the learned rate
	balancedFraction    = 0.5  // reported share of a limit at which the learned rate does not change
	scarceFraction      = 0.25 // reported share below which a rate is learned
	reportSilence       = 2    // seconds without a report after which the learned rate depends on rejections alone
	fairShareMargin     = 1.5  // multiple of the equal share of a limit that is likely to be accepted
	minRateDivisor      = 10   // the learned rate is at least the guaranteed rate divided by this
	burstDuration       = 0.3  // the calls of this many seconds at the learned rate may be made at once
	firstBackoff        = 0.1  // seconds; doubled by each consecutive rejection
	maxBackoffDoublings = 4
	slowBackoff         = 6   // seconds; firstBackoff at low volume
	maxSlowBackoff      = 24  // seconds; maximum at low volume
	minBackoffSpread    = 0.5 // a backoff is multiplied by a random factor from 0.5 to 1.5
	longRetryAfter      = 2.5 // seconds; a limit has capacity again within this time, a closed destination does not
	closedRejections    = 5   // consecutive rejections after which a destination may be closed
	persistentAfter     = 1   // seconds after the first consecutive rejection at which rejections count as persistent

	// After a first rejection, a route gets a random number of tokens from -tokenDebt to tokenSpread-tokenDebt, so that
	// forwarders do not return together. If its recent rate is above fullDebtRate, the range is reduced in proportion.
	tokenDebt    = 2    // calls
	tokenSpread  = 2.75 // calls
	fullDebtRate = 0.5  // calls per second
)

// Route is the unit to which a rate limit and a Retry-After apply: all endpoints of a destination, or a single endpoint
// if each has its own limit.
type Route struct {
	blockedUntil          float64 // end of a Retry-After or a backoff
	learnedRate           float64 // calls per second that seem to be accepted; 0 if no limit was met
	tokens                float64 // number of calls that the learned rate allows now
	refilledAt            float64 // when the tokens were last refilled
	recentRate            float64 // average of the recent calls per second
	consecutiveFailures   int     // failures since the last success, and rejections after the first of them
	fastFailure           bool    // one of these failures was an error or a failed connect
	lastSuccess           float64 // when the route last delivered a message
	consecutiveRejections int     // rejections since the last accepted call
	lastRejection         float64 // time of the latest rejection that was not ignored
	firstRejection        float64 // time of the first consecutive rejection
	noShortWaitSince      float64 // start of the time in which calls are rejected without a short Retry-After
	reportedLimit         float64 // calls per second; 0 if not reported, below 0 if there is no limit
	remainingReportedAt   float64 // when the unused share of the limit was last reported
}

// block prevents calls on a route until the given time.
func (r *Route) block(until float64) { r.blockedUntil = math.Max(r.blockedUntil, until) }

// BlockedUntil returns the time before which the endpoint's route takes no call because of a Retry-After or a backoff
// after rejections.
func (e *Endpoint) BlockedUntil() float64 { return e.route.blockedUntil }

// BlockUntil prevents calls on an endpoint's route until a time that an earlier process of this forwarder recorded. The
// endpoint must be listed.
func (s *Scheduler) BlockUntil(endpoint *Endpoint, until float64) {
	endpoint.route.block(until)
	s.due.touch(endpoint.destination)
}

// routeAllows reports whether a route takes a call now: it is not blocked, and its learned rate has a token.
func (s *Scheduler) routeAllows(route *Route) bool {
	if elapsed := s.now - route.refilledAt; elapsed > 0 {
		route.refilledAt = s.now
		route.recentRate *= math.Exp(-elapsed / rateAverageTime)
		if route.learnedRate > 0 {
			s.refill(route, elapsed)
		}
	}
	return s.now >= route.blockedUntil && (route.learnedRate == 0 || route.tokens >= 1)
}

// refill adds the tokens of the elapsed seconds to a route. It also raises the learned rate, unless the destination's
// reports determine it.
//
// Trade-off: the longer nothing was rejected, the faster the rate grows, so that a rate learned from a full queue
// during a burst has no lasting effect; but limits that rarely reject are exceeded more often.
func (s *Scheduler) refill(route *Route, elapsed float64) {
	burst := math.Max(1, route.learnedRate*burstDuration)
	route.tokens = math.Min(route.tokens+route.learnedRate*elapsed, burst)
	if s.now < route.blockedUntil || !(s.now > route.remainingReportedAt+reportSilence) {
		return
	}
	acceleration := (s.now - route.lastRejection) / growthDoubling
	if route.consecutiveRejections > 0 && route.reportedLimit > 0 {
		// Nothing was accepted since the rejection, because other forwarders use up the limit. The absence of further
		// rejections does not mean that there is capacity.
		acceleration = 0
	}
	route.learnedRate *= 1 + learnedRateGrowth*elapsed*(1+acceleration)
}

// recordRetryAfter blocks a route after a Retry-After. Calls that have not been sent are cancelled, because
// establishing a connection can take long and they would arrive before the Retry-After is over.
func (s *Scheduler) recordRetryAfter(endpoint *Endpoint, retryAfter float64) {
	for _, other := range endpoint.destination.endpoints {
		if other.route == endpoint.route && len(other.calls) > 0 {
			s.cancelUnsent = append(s.cancelUnsent, other)
		}
	}
	endpoint.route.block(s.now + retryAfter + retryAfterMargin + retryAfterSpread*s.random.uniform())
}

// recordReports records the limit and its unused share that a result reports. Values that cannot be a rate are ignored.
func (s *Scheduler) recordReports(endpoint *Endpoint, result AttemptResult) {
	route := endpoint.route
	if result.ReportedLimit != 0 && math.Abs(result.ReportedLimit) < unknownRate {
		route.reportedLimit = result.ReportedLimit
	}
	if share := math.Min(1, result.ReportedShare); route.reportedLimit > 0 && (share > 0 || share < 0) {
		s.recordRemaining(endpoint, math.Max(0, share))
	}
}

// recordRemaining adjusts a route's learned rate to the reported unused share of its limit, which all forwarders use up
// together.
//
// Trade-off: forwarders learn that nothing is left without a rejection for each of them, which would also use up the
// limit, and forwarders with little to send do not reserve an equal share. But late reports mislead.
func (s *Scheduler) recordRemaining(endpoint *Endpoint, share float64) {
	route := endpoint.route
	elapsed := math.Min(1, s.now-route.remainingReportedAt)
	route.remainingReportedAt = s.now
	if route.learnedRate > 0 {
		adjusted := route.learnedRate * math.Exp(reportedGrowth*(share-balancedFraction)*elapsed)
		route.learnedRate = math.Min(unknownRate, math.Max(adjusted, s.guaranteedRate(endpoint)/minRateDivisor))
	} else if share < scarceFraction {
		route.learnedRate = math.Max(route.recentRate, s.guaranteedRate(endpoint))
	}
}

// recordRejection updates the route of a call that was rejected before it was processed, because the destination's
// limit is exceeded, its queue is full or it is closed. It ignores calls that were in flight at the last rejection, as
// they carry no new information.
//
// Trade-offs: a dozen simultaneous rejections do not count as a dozen consecutive ones, even if the calls after them
// are rejected, too. At low volume, no rate is learned unless the destination reports its limit; a long backoff
// applies, so that hundreds of forwarders do not retry soon and use up the limit with rejected calls. A chance
// rejection then causes a long backoff.
func (s *Scheduler) recordRejection(endpoint *Endpoint, call *call, result AttemptResult) {
	route := endpoint.route
	if call.began < route.lastRejection {
		return
	}
	route.lastRejection = s.now
	lowVolume := route.reportedLimit == 0 && s.lowVolume(endpoint.destination)
	route.consecutiveRejections++
	if route.consecutiveRejections == 1 || result.RetryAfter > 0 && result.RetryAfter < longRetryAfter {
		route.noShortWaitSince = s.now
	}
	if result.RetryAfter == 0 {
		route.block(s.now + backoff(route, lowVolume)*(minBackoffSpread+s.random.uniform()))
	}
	if route.consecutiveRejections == 1 {
		route.firstRejection = s.now
		// Earlier calls leave no debt. If calls are few, a random debt keeps forwarders that were rejected together
		// from returning together.
		route.tokens = (tokenSpread*s.random.uniform() - tokenDebt) * math.Min(1, fullDebtRate/route.recentRate)
	}
	// No rate is learned from rejections by an endpoint that is ejected or that reports that it has no limit; slow
	// start covers its return. Trade-off: no tiny rate is learned while an endpoint hangs, but nothing is learned if
	// the rejections are due to the limit.
	if endpoint.health != ejected && route.reportedLimit >= 0 && !lowVolume {
		s.learnRate(endpoint, result)
	}
	s.coolDownAfterRejections(endpoint, lowVolume)
	// The destination is considered closed, rather than above its limit, if its calls have been rejected for long
	// enough without a short Retry-After, or if its Retry-After is long.
	closed := route.consecutiveRejections >= closedRejections && s.now-route.noShortWaitSince > longRetryAfter
	if closed || result.RetryAfter > longRetryAfter {
		s.ejectRoute(endpoint)
	}
}

// backoff returns the mean backoff after a rejection without a Retry-After, in seconds.
func backoff(route *Route, lowVolume bool) float64 {
	if lowVolume {
		return math.Min(maxSlowBackoff, slowBackoff*math.Pow(2, float64(route.consecutiveRejections-1)))
	}
	return firstBackoff * math.Pow(2, float64(min(route.consecutiveRejections-1, maxBackoffDoublings)))
}

// learnRate lowers a route's learned rate after a rejection, or sets it after the first one.
func (s *Scheduler) learnRate(endpoint *Endpoint, result AttemptResult) {
	route := endpoint.route
	if route.consecutiveRejections > 1 { // the known limit may be out of date
		route.learnedRate = math.Max(learnedRateCut*route.learnedRate, s.guaranteedRate(endpoint)/minRateDivisor)
		return
	}
	rate := route.recentRate
	if route.learnedRate > 0 {
		rate = math.Min(rate, route.learnedRate)
	} else {
		rate = math.Max(rate, throughput(endpoint))
	}
	if result.ReportedShare < 0 { // all forwarders together use up the limit, so an equal share is likely to be accepted
		rate = math.Min(rate, fairShareMargin*s.guaranteedRate(endpoint))
	}
	route.learnedRate = math.Max(learnedRateCut*rate, s.guaranteedRate(endpoint))
}

// throughput estimates the calls per second that a route completes, by Little's law, from the calls in flight and the
// usual latency.
//
// Trade-off: a queue that is full during a burst does not lower the rate to the usual load, but all calls in flight may
// be rejected.
func throughput(endpoint *Endpoint) float64 {
	inFlight := 0
	for _, other := range endpoint.destination.endpoints {
		if other.route == endpoint.route {
			inFlight += len(other.calls)
		}
	}
	return float64(inFlight) / endpoint.destination.latency.p90
}

// coolDownAfterRejections blocks a route for its cooldown after consecutive rejections: if the latest one comes more
// than persistentAfter seconds after the first (except at low volume), or at the second one if the destination reports
// that it has no limit.
//
// Trade-off: many forwarders with one message each do not continue to call a hung destination and overload it; but a
// limit that soon has capacity again is used later.
func (s *Scheduler) coolDownAfterRejections(endpoint *Endpoint, lowVolume bool) {
	route := endpoint.route
	persistent := s.now > route.firstRejection+persistentAfter && !lowVolume
	if persistent || route.reportedLimit < 0 && route.consecutiveRejections > 1 {
		route.block(s.now + s.cooldown(endpoint)*(minBackoffSpread+s.random.uniform()))
	}
}
