package scheduler

import "math"

const (
	learnedRateCut      = 0.7  // a rejection lowers the learned rate to this part
	learnedRateGrowth   = 0.08 // a second: growth of the learned rate while nothing is rejected
	growthDoubling      = 2    // seconds without a rejection after which that growth has doubled
	reportedGrowth      = 0.6  // a second: exponent of the learned rate's growth by the reported share
	balancedFraction    = 0.5  // reported share of a limit that leaves the learned rate as it is
	scarceFraction      = 0.25 // reported share below which a rate is learned
	reportSilence       = 2    // seconds without a report after which rejections alone rule the learned rate
	fairShareMargin     = 1.5  // times the even part of a limit that is likely to be accepted
	minRateDivisor      = 10   // the learned rate is at least this part of the guaranteed one
	burstDuration       = 0.3  // seconds of the learned rate that may be called at once
	firstBackoff        = 0.1  // seconds, doubled by each rejection in a row
	maxBackoffDoublings = 4
	slowBackoff         = 6    // seconds, the same at low volume
	maxSlowBackoff      = 24   // seconds
	minBackoffSpread    = 0.5  // a backoff is 0.5 to 1.5 times as long
	longRetryAfter      = 2.5  // seconds: a limit has room again sooner, a closed destination has not
	closedRejections    = 5    // rejections in a row from which on a destination may be closed
	persistentAfter     = 1    // seconds after the first rejection in a row
	tokenDebt           = 2    // calls: largest debt of tokens after a first rejection, less where calls are frequent
	tokenSpread         = 2.75 // calls: random part of the tokens then, so that forwarders do not return together
	fullDebtRate        = 0.5  // calls a second: recent rate below which that applies in full; above, less the higher
)

// Route is what a rate limit and a Retry-After bind: all endpoints of a destination, or one where each has a limit of
// its own.
type Route struct {
	blockedUntil          float64 // by a Retry-After or a backoff
	learnedRate           float64 // calls a second that seem to be accepted; 0: no limit was met
	tokens                float64 // calls that the learned rate allows now
	refilledAt            float64 // when the tokens were last refilled
	recentRate            float64 // calls a second of late
	consecutiveFailures   int     // since the last success; rejections after the first of them count too
	fastFailure           bool    // an error or a failed connect is among these
	lastSuccess           float64 // when it last delivered a message
	consecutiveRejections int     // since a call was accepted
	lastRejection         float64 // when one last taught something
	firstRejection        float64 // when the first of these was
	noShortWaitSince      float64 // since when calls are rejected without a short Retry-After
	reportedLimit         float64 // calls a second; 0: not reported, below 0: there is none
	remainingReportedAt   float64 // when the share of the limit that is left was last reported
}

// block keeps calls off a route until a time.
func (r *Route) block(until float64) { r.blockedUntil = math.Max(r.blockedUntil, until) }

// BlockedUntil returns until when an endpoint's route takes no call: a Retry-After, or a backoff after rejections.
func (e *Endpoint) BlockedUntil() float64 { return e.route.blockedUntil }

// BlockUntil keeps calls off an endpoint's route until a time that an earlier process of this forwarder learned. The
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

// refill adds the tokens of so many seconds to a route, and raises its learned rate unless reports rule it.
//
// Trade-off: the rate grows faster the longer nothing was rejected, so that a rate which a full queue taught in a burst
// is not paid for long after; limits that reject seldom are met more often.
func (s *Scheduler) refill(route *Route, elapsed float64) {
	burst := math.Max(1, route.learnedRate*burstDuration)
	route.tokens = math.Min(route.tokens+route.learnedRate*elapsed, burst)
	if s.now < route.blockedUntil || !(s.now > route.remainingReportedAt+reportSilence) {
		return
	}
	faster := (s.now - route.lastRejection) / growthDoubling
	if route.consecutiveRejections > 0 && route.reportedLimit > 0 {
		faster = 0 // nothing was accepted since, as others use the limit up: silence does not mean capacity
	}
	route.learnedRate *= 1 + learnedRateGrowth*elapsed*(1+faster)
}

// recordRetryAfter blocks a route. Calls that have not been sent are cancelled: connecting can take long, and they
// would arrive within the time.
func (s *Scheduler) recordRetryAfter(endpoint *Endpoint, retryAfter float64) {
	for _, other := range endpoint.destination.endpoints {
		if other.route == endpoint.route && len(other.calls) > 0 {
			s.cancelUnsent = append(s.cancelUnsent, other)
		}
	}
	endpoint.route.block(s.now + retryAfter + retryAfterMargin + retryAfterSpread*s.random.uniform())
}

// recordReports takes what a result reports of the route's limit. Values that cannot be a rate of calls are ignored.
func (s *Scheduler) recordReports(endpoint *Endpoint, result AttemptResult) {
	route := endpoint.route
	if result.ReportedLimit != 0 && math.Abs(result.ReportedLimit) < unknownRate {
		route.reportedLimit = result.ReportedLimit
	}
	if left := math.Min(1, result.ReportedShare); route.reportedLimit > 0 && (left > 0 || left < 0) {
		s.recordRemaining(endpoint, math.Max(0, left))
	}
}

// recordRemaining moves a route's learned rate by the reported share of its limit that is left, which all
// forwarders use up together.
//
// Trade-off: many forwarders do not each learn by rejections of their own, which use the limit up too, that nothing is
// left, and those with little to send do not keep an even part to themselves; late reports mislead.
func (s *Scheduler) recordRemaining(endpoint *Endpoint, left float64) {
	route := endpoint.route
	elapsed := math.Min(1, s.now-route.remainingReportedAt)
	route.remainingReportedAt = s.now
	if route.learnedRate > 0 {
		moved := route.learnedRate * math.Exp(reportedGrowth*(left-balancedFraction)*elapsed)
		route.learnedRate = math.Min(unknownRate, math.Max(moved, s.guaranteedRate(endpoint)/minRateDivisor))
	} else if left < scarceFraction {
		route.learnedRate = math.Max(route.recentRate, s.guaranteedRate(endpoint))
	}
}

// recordRejection learns from a call that was rejected before it was processed: above the limit, queue full, or closed.
// Calls that were in flight at the last rejection carry no new information and are ignored.
//
// Trade-offs: a dozen rejections at once are not taken for a dozen in a row, even where those that follow are rejected
// again. At low volume no rate is learned without a report of what is left, so that hundreds of forwarders do not retry
// soon and use the limit up with rejections; a chance rejection then costs a long backoff.
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
		// No debt of earlier calls; and where calls are few, those rejected together do not come back together.
		route.tokens = (tokenSpread*s.random.uniform() - tokenDebt) * math.Min(1, fullDebtRate/route.recentRate)
	}
	// Rejections of an ejected endpoint, or of one that reports no limit, teach no rate: slow start covers its return.
	// Trade-off: no tiny rate is learned during a hang, but nothing is learned where the limit itself is the cause.
	if endpoint.health != ejected && route.reportedLimit >= 0 && !lowVolume {
		s.learnRate(endpoint, result)
	}
	s.coolDownAfterRejections(endpoint, lowVolume)
	// Closed rather than above its limit: nothing accepted for long and no short Retry-After, or a long one.
	closed := route.consecutiveRejections >= closedRejections && s.now-route.noShortWaitSince > longRetryAfter
	if closed || result.RetryAfter > longRetryAfter {
		s.ejectRoute(endpoint)
	}
}

// backoff returns the mean pause after a rejection without a Retry-After, in seconds.
func backoff(route *Route, lowVolume bool) float64 {
	if lowVolume {
		return math.Min(maxSlowBackoff, slowBackoff*math.Pow(2, float64(route.consecutiveRejections-1)))
	}
	return firstBackoff * math.Pow(2, float64(min(route.consecutiveRejections-1, maxBackoffDoublings)))
}

// learnRate lowers a route's learned rate after a rejection, or sets it after the first one.
func (s *Scheduler) learnRate(endpoint *Endpoint, result AttemptResult) {
	route := endpoint.route
	if route.consecutiveRejections > 1 { // the limit that is known may hold no longer
		route.learnedRate = math.Max(learnedRateCut*route.learnedRate, s.guaranteedRate(endpoint)/minRateDivisor)
		return
	}
	rate := route.recentRate
	if route.learnedRate > 0 {
		rate = math.Min(rate, route.learnedRate)
	} else {
		rate = math.Max(rate, throughput(endpoint))
	}
	if result.ReportedShare < 0 { // all is used up, by all together: an even part is likely to be accepted
		rate = math.Min(rate, fairShareMargin*s.guaranteedRate(endpoint))
	}
	route.learnedRate = math.Max(learnedRateCut*rate, s.guaranteedRate(endpoint))
}

// throughput estimates the calls a second that a route does, by Little's law: the calls in flight, answered in the
// usual time.
//
// Trade-off: a queue that is full in a burst is not taken for a limit at the usual load, but all that is in flight may
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

// coolDownAfterRejections blocks a route for its cooldown if it rejects again more than persistentAfter seconds after
// the first rejection (except at low volume), or at once where it reports that there is no limit, with nothing accepted
// in between.
//
// Trade-off: many forwarders with a message each do not go on calling a hung destination and overload it; limits that
// soon have room are used later.
func (s *Scheduler) coolDownAfterRejections(endpoint *Endpoint, lowVolume bool) {
	route := endpoint.route
	persistent := s.now > route.firstRejection+persistentAfter && !lowVolume
	if persistent || route.reportedLimit < 0 && route.consecutiveRejections > 1 {
		route.block(s.now + s.cooldown(endpoint)*(minBackoffSpread+s.random.uniform()))
	}
}
