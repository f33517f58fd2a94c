// Package scheduler decides which message goes out when, to which endpoint, and which is given up.
//
// How to call it: New at the start; then, for all that happens at one moment, SetTime, then the news in the
// order of arrival (UpdateEndpoints, PollTimedOut, WatchBroken, WatchSilent, Accept, Recover, AttemptEnded, NoticeAcknowledged, Withdraw, TimerFired, Stop), and
// Reconcile once. Where the room at the door is the scheduler's to mind, Admit comes before Accept. The interface is
// in port.go, what is remembered in state.go. The ordinary path is that of docs/design.md.
//
// Mechanisms beside the design:
//  1. recovery: an endpoint or route that fails is tried at a trickle, then paced up (cool, doubt, pace)
//  2. limits: a learned pace, pauses, rests and Retry-After times for each route (refusal, open)
//  3. places: calls and connections that an endpoint gets; fewer when it fails, none while silent (place, trust)
//  4. time-outs from observed times (timeout)
//  5. early answers: what cannot arrive, or what crowds the holding room (review, crowd, over)
//  6. closing retries: one that is about to become impossible goes before fresh work (pick)
package scheduler

import (
	"math"
	"slices"
)

const (
	healthyShare            = 0.75 // of the slots, a destination in good health
	impairedShare           = 0.5  // one that failed lately or is silent
	impairedTotalShare      = 0.85 // of all slots, from here on none for a destination that failed lately
	restoringStreak         = 3    // timely answers that restore the cap
	quantum                 = 2    // messages a turn, more only where one call carries more
	sheddingThreshold       = 0.97 // of the holding room: from here on the longest line is cut
	deadlineGrace           = 0.01 // seconds after expiry: the call's end should have come
	waitingReviewInterval   = 0.02 // seconds between looks at lines that wait
	minTimeLeft             = 0.04 // seconds before expiry: nothing is sent after, so that the end is told in time
	noticeMargin            = 0.1  // seconds before expiry: a delivery may count as late by its client's clock
	initialLatency          = 0.9  // seconds a call takes before any was measured
	failureWeight           = 0.2  // weight of one failure in an endpoint's share of failures, twice that if nothing was heard
	ejectionThreshold       = 0.6  // share of failures from which on an endpoint is sick
	lowVolumeRate           = 1.0  // messages a second for a destination: under it refusals teach no pace, two failures shut
	longRetryAfter          = 2.5  // seconds; a limit has room again sooner
	idleLossLimit           = 2.0  // losses on idle connections, a fifth of the calls on them, that end trust in them
	failureFade             = 8.0  // seconds in which a failure loses most of its weight in the choice between siblings
	shortOutage             = 3.0  // seconds of silence that are no outage
	restoredCalls           = 5.0  // calls that an earlier process's times count as, at most
	agentPollInterval       = 0.4  // seconds between questions to an agent: what it has counts as told, heard or not
	fleetPollRate           = 4.0  // questions a second for the list, all forwarders together
	unreachablePollInterval = 2.7  // seconds to the next question, 1.3 times that at most, where discovery was out of reach
	CommandTimeout          = 2.7  // seconds in which a client has to bring a whole command: slow ones may ask after two
	ClientIdleTimeout       = 3.0  // seconds that it may be connected between two
)

// NewDestination is called by the adapter at the first mention of a destination.
func (s *Scheduler) NewDestination(door uint64) *Destination {
	destination := &Destination{ID: door, sharedRoute: &Route{refilledAt: s.now}, timelyStreak: restoringStreak, mode: "well", healthyCountedAt: s.now,
		tenantLanes: make([]lane, len(s.settings.TenantRate)+1),
		latency:     newLatencyHistogram(0.02, 1.5, 100, 0.9, initialLatency, 1)}
	s.destinations = append(s.destinations, destination)
	return destination
}

// UpdateEndpoints takes news of the endpoints; whole means that all are named.
func (s *Scheduler) UpdateEndpoints(whole bool, updates []EndpointUpdate) {
	named := map[*Endpoint]bool{}
	s.failedPolls, s.failedWatches, s.listStale = 0, 0, s.listStale && s.now == s.startedAt
	if s.now == s.startedAt && s.nextPoll == s.now && len(updates) > 0 { // as last known: the question can wait
		s.nextPoll += s.pollSpread() * s.random.uniform()
	}
	for _, update := range updates {
		endpoint, destination := update.Endpoint, update.Destination
		named[endpoint] = true
		if endpoint.destination == nil {
			// The first call goes anywhere: guards against all forwarders starting with the first endpoint listed.
			endpoint.destination, endpoint.concurrencyLimit, endpoint.route, endpoint.state, endpoint.lastUsed = destination, 2, destination.sharedRoute, Removed, -s.random.uniform()
			if update.Kind < len(s.settings.KindEndpointLimits) && s.settings.KindEndpointLimits[update.Kind] {
				endpoint.route = &Route{refilledAt: s.now}
			}
			destination.endpoints = append(destination.endpoints, endpoint)
		}
		if endpoint.state == Removed && update.State == Ready && s.now > s.startedAt {
			endpoint.notBefore = s.now + s.random.uniform()*0.3 // all forwarders hear of a new endpoint at about the same time
		}
		if s.markUpdated(destination); update.State != Ready && len(endpoint.calls) > 0 {
			s.cancelUnsent = append(s.cancelUnsent, endpoint)
		}
		if update.WarmingUp && update.State == Ready {
			endpoint.health, endpoint.recoveringSince, endpoint.concurrencyLimit = recovering, s.now, 1
			endpoint.notBefore = math.Max(endpoint.notBefore, s.now+s.probeInterval(endpoint)*s.random.uniform())
		}
		endpoint.zone, endpoint.state, destination.batchSize, destination.kind = update.Zone, update.State, 1, update.Kind
		if update.Kind < len(s.settings.KindBatchSize) {
			destination.batchSize = max(1, s.settings.KindBatchSize[update.Kind])
		}
		if update.Rate > 0 && update.Rate < 1e9 { // else it tells nothing
			destination.listedRate = update.Rate
		}
	}
	for i := 0; whole && i < len(s.destinations); i++ {
		for _, endpoint := range s.destinations[i].endpoints {
			if !named[endpoint] {
				endpoint.state = Removed
				s.markUpdated(endpoint.destination)
			}
		}
	}
}

// PollTimedOut says that a question for the list went wrong or that the list stopped coming. Each failure in a
// row doubles the time to the next question. Guards against all forwarders together keeping discovery's line
// so long that nobody is served in time; hurts when it was down and is back.
func (s *Scheduler) PollTimedOut() { s.schedulePoll(&s.failedPolls, s.settings.PollWithin) }

// WatchBroken says that the list stopped coming, or that discovery is down or out of reach: no line of questions
// is to be kept short. Reason it has counts as told six seconds after it could be reached, so that the next
// question cannot wait longer. Guards against calls to what began to drain in an outage; costs questions in vain.
func (s *Scheduler) WatchBroken() {
	s.schedulePoll(&s.failedWatches, math.Min(s.settings.PollWithin, unreachablePollInterval))
}

func (s *Scheduler) schedulePoll(failures *int, most float64) {
	wait := math.Min(math.Max(1, s.pollSpread())*math.Pow(2, float64(*failures)), most)
	*failures, s.listStale = min(*failures+1, 4), false
	s.nextPoll = s.now + wait*(0.3+s.random.uniform())
}

// WatchSilent says that the list fell silent. Reason it missed soon counts as told: the question cannot wait.
func (s *Scheduler) WatchSilent() {
	s.nextPoll = s.now + math.Min(1, s.pollSpread())*s.random.uniform()
}

// pollSpread is the span over which all forwarders that ask at the same moment spread: those of a fleet are
// started, or lose discovery, together. At most half of the time in which the rules want a question.
func (s *Scheduler) pollSpread() float64 {
	if s.settings.LocalAgent { // nobody else asks it
		return 0
	}
	return math.Min(float64(s.settings.Forwarders-1)/fleetPollRate, s.settings.PollWithin/2)
}

// Admit tells if a message is taken on, or when to come back with it.
func (s *Scheduler) Admit(size int, left float64) (taken bool, comeBack float64) {
	if s.held.count >= s.settings.QueueCapacity || s.settings.MaxStoredBytes > 0 && s.storedBytes+size > s.settings.MaxStoredBytes || left <= minTimeLeft {
		return false, s.rejectionRetryAfter()
	}
	return true, 0
}

// Recover takes a message that an earlier process of this forwarder had taken on, in the order of taking.
// Reason was out then may have run and is a retry now; what has no way left is answered by the next settling.
func (s *Scheduler) Recover(message *Message, messageType int, left float64, recovered RecoveredState) {
	s.Accept(message, messageType, left)
	if recovered.CallerGone { // Its caller may have come again with another message for the same effect. Guards against a
		// second effect; hurts a caller that relied on this one. One that may still run lets its key rest.
		if recovered.Attempts > 0 && message.keyQueue != nil {
			message.keyQueue.cooldownUntil = math.Max(message.keyQueue.cooldownUntil, s.now+s.settings.KeyCooldown+0.001)
		}
		s.finish(message)
	} else if recovered.Answered { // and is not sent any more
		message.awaitingAcknowledgement = true
		s.finish(message)
	} else {
		message.attempts, message.firstRanAt, message.firstRanZone, message.recoveredUntried = recovered.Attempts, recovered.FirstRanAt, recovered.Zone, recovered.Attempts == 0
		s.resume(message)
	}
}

// RestoreLatencies takes the call times that an earlier process measured, of all that it learnt the only figures that
// mean the same in a fleet of another size: paces, loads and health start afresh. They count as a few calls.
func (s *Scheduler) RestoreLatencies(destination *Destination, times []float64) bool {
	return destination.latency.restore(times, restoredCalls)
}

// Stop says that the process ends after so long. No call begins that is likely to be out then: what is held
// stays owed for the next process. Guards against cutting calls off. Hurts when no process follows.
func (s *Scheduler) Stop(in float64) { s.stopAt = s.now + in }

// Done tells a stopping process that nothing is left to wait for.
func (s *Scheduler) Done() bool { return s.stopAt > 0 && s.callsInFlight == 0 && s.held.count == 0 }

// Accept accepts a message of a type, with so much time left.
func (s *Scheduler) Accept(message *Message, messageType int, left float64) {
	message.messageType, message.deadline, message.lifetime = &s.settings.Types[messageType], s.now+left, left
	message.sequence = s.nextRank()
	message.rank = message.sequence
	s.held.add(message)
	s.storedBytes += message.Size
	message.Dest.held++
	message.Dest.accepted++
	s.joinKeyQueue(message)
	dest := message.Dest
	s.markUpdated(dest)
	message.lane = &dest.tenantLanes[min(message.Tenant, len(s.settings.TenantRate))]
	if message.overQuota = s.takeQuota(message.Tenant); message.overQuota {
		message.lane = &dest.overQuotaLane
	}
	dest.addToShedClass(message)
	if !message.lane.inRotation && !message.overQuota {
		message.lane.inRotation = true
		dest.lanes = append(dest.lanes, message.lane)
	}
	s.enqueue(message)
	s.awaitCall(message)
}

// takeQuota tells if a tenant has had its share of late, as far as this forwarder's even part of it goes, and
// counts one more message. Guards against a tenant's burst crowding out what others have a right to.
func (s *Scheduler) takeQuota(tenant int) bool {
	if tenant >= len(s.settings.TenantRate) {
		return false
	}
	part := s.settings.TenantRate[tenant] / float64(s.settings.Forwarders)
	at := math.Max(s.quotaUsedUntil[tenant], s.now-1)
	if part <= 0 || at > s.now {
		return true
	}
	s.quotaUsedUntil[tenant] = at + 1/part
	return false
}

// AttemptEnded takes the end of the attempt that is out for a message.
func (s *Scheduler) AttemptEnded(message *Message, result AttemptResult) {
	call := message.call
	// On the edge of its time a delivery may be late by its client's clock, that is none. Guards against a
	// message without an end; costs a needless notice.
	if result.Final && result.Outcome == Delivered && message.AnsweredByNotice && !message.answered && s.now > message.deadline-noticeMargin {
		message.action, message.awaitingAcknowledgement = actionFail, true
		s.changed = append(s.changed, message)
	}
	if result.Final {
		s.finish(message)
	}
	if call == nil {
		return
	}
	endpoint := call.endpoint
	s.markUpdated(endpoint.destination)
	message.call = nil
	if call.pending--; call.pending == 0 {
		s.callsInFlight--
		endpoint.destination.callsInFlight--
		endpoint.calls, endpoint.idleConnection = without(endpoint.calls, call), true
		// A connection that the next call would come too late for is not kept, judged by the call before, nor any
		// at destinations of a kind of which one failed a connect in the last 30 s. Guards against the idle
		// connections of many forwarders filling tables that take a dozen; costs handshakes.
		if len(endpoint.calls) == 0 && (s.now < s.noIdleKindUntil[endpoint.destination.kind] || !endpoint.calledOften) || s.now < s.noIdleUntil {
			s.closeIdle = append(s.closeIdle, endpoint)
		}
	}
	// Reason is on its way while a wait is told, but not sent, comes too late: connecting can take long.
	if result.RetryAfter > 0 { // each message of a call may be told its own
		for _, other := range endpoint.destination.endpoints {
			if other.route == endpoint.route && len(other.calls) > 0 {
				s.cancelUnsent = append(s.cancelUnsent, other)
			}
		}
		endpoint.route.blockedUntil = math.Max(endpoint.route.blockedUntil, s.now+result.RetryAfter+0.002+0.05*s.random.uniform())
	}
	if !call.recorded {
		call.recorded = true
		s.recordResult(endpoint, call, result)
	}
	maybe := result.Outcome == TimedOut || result.Outcome == Reset || result.Outcome == Cancelled
	if maybe && message.keyQueue != nil {
		message.keyQueue.cooldownUntil = math.Max(message.keyQueue.cooldownUntil, s.now+s.settings.KeyCooldown+0.001)
	}
	if (maybe || result.Outcome == ServerError) && message.firstRanAt == 0 {
		message.firstRanAt, message.firstRanZone = call.began, endpoint.zone
	}
	if result.Outcome == Delivered && !endpoint.destination.degraded {
		endpoint.destination.healthyDeliveries++
	}
	if result.Final {
		s.finish(message)
	}
	s.leaveKeyQueue(message)
	if !message.answered {
		s.retry(message)
		s.awaitCall(message)
	}
}

func (s *Scheduler) recordResult(endpoint *Endpoint, call *call, result AttemptResult) {
	destination, route := endpoint.destination, endpoint.route
	if result.ReportedLimit != 0 && math.Abs(result.ReportedLimit) < 1e9 { // what is no number, or none of calls, tells nothing
		route.reportedLimit = result.ReportedLimit
	}
	if left := math.Min(1, result.ReportedShare); route.reportedLimit > 0 && (left > 0 || left < 0) {
		s.recordReportedShare(endpoint, math.Max(0, left))
	}
	switch result.Outcome {
	case Delivered:
		s.recordIdleReuse(call, false)
		// Silence with answers before and after is loss on the way: nothing is cold after it.
		if endpoint.health == ejected && endpoint.consecutiveTimeouts > 0 && s.now-endpoint.lastSuccess < shortOutage {
			endpoint.health, endpoint.notBefore, endpoint.failureShare = healthy, s.now, failureWeight
		}
		endpoint.consecutiveTimeouts, endpoint.lastSuccess, endpoint.lastSuccessBegan = 0, s.now, math.Max(endpoint.lastSuccessBegan, call.began)
		endpoint.failureShare *= 1 - failureWeight
		route.consecutiveRejections, route.consecutiveFailures, route.fastFailure, route.lastSuccess = 0, 0, false, s.now
		if result.Latency > 4*destination.latency.p90 {
			destination.timelyStreak = 0
		} else {
			destination.timelyStreak++
			endpoint.concurrencyLimit = math.Min(endpoint.concurrencyLimit+1/endpoint.concurrencyLimit, math.Max(1, float64(s.settings.ConcurrencyLimit)))
		}
		destination.latency.record(result.Latency)
		if endpoint.health == ejected {
			if route.learnedRate > 0 { // it was learned during the outage
				route.learnedRate = math.Max(route.learnedRate, s.usualRate(endpoint))
			}
			for _, other := range destination.endpoints { // an outage mostly takes all of a route's endpoints, and ends for all
				if other.route == route && other.health == ejected {
					other.health, other.recoveringSince, other.failureShare = recovering, s.now, math.Min(other.failureShare, failureWeight)
					other.notBefore = s.now + s.probeInterval(other)
				}
			}
		} else if endpoint.health == recovering && s.now-endpoint.recoveringSince > s.settings.SlowStartDuration {
			endpoint.health = healthy
		}
	case ServerError, TimedOut, NoConnection, Reset:
		destination.timelyStreak = 0
		if result.Outcome == NoConnection {
			s.noIdleKindUntil[destination.kind] = s.now + 30
			endpoint.notBefore = math.Max(endpoint.notBefore, s.now+0.2+0.8*s.random.uniform()) // a full table is as full at once after
			s.closeIdle = append(s.closeIdle, destination.endpoints...)
		}
		if result.Outcome == TimedOut {
			endpoint.consecutiveTimeouts++
		}
		weight := failureWeight
		if endpoint.lastSuccessBegan >= call.began {
			weight /= 2 // it answered a call that began later: this one was lost alone
		} else if result.Outcome == TimedOut || result.Outcome == NoConnection && s.now-route.lastSuccess > shortOutage {
			weight *= 2
		}
		endpoint.failureShare, endpoint.lastFailure, endpoint.concurrencyLimit = endpoint.failureShare+weight*(1-endpoint.failureShare), s.now, math.Max(1, endpoint.concurrencyLimit/2)
		if result.Outcome != ServerError {
			s.closeIdle = append(s.closeIdle, endpoint) // its connections may be dead, or too many
			s.recordIdleReuse(call, true)
		}
		sibling := func(other *Endpoint) bool {
			return other.state == Ready && other.health == ejected && other.route == endpoint.route
		}
		if route.consecutiveFailures++; result.Outcome == NoConnection && result.Latency > initialLatency {
			route.consecutiveFailures++ // not even turned away: silence
		}
		route.fastFailure = route.fastFailure || result.Outcome == ServerError || result.Outcome == NoConnection
		if endpoint.failureShare > ejectionThreshold || weight > failureWeight && slices.ContainsFunc(endpoint.destination.endpoints, sibling) {
			s.eject(endpoint)
		}
		if route.consecutiveFailures > 1 && s.now-route.lastSuccess > shortOutage {
			route.blockedUntil = math.Max(route.blockedUntil, s.now+s.cooldown(endpoint)*s.random.uniform())
		}
		s.ejectOnStreak(endpoint)
	case Overloaded:
		if route.consecutiveFailures > 0 {
			route.consecutiveFailures++
			s.ejectOnStreak(endpoint)
		}
		s.recordRejection(endpoint, call, result)
	}
}

// ejectOnStreak shuts a route after three failures in a row, two where messages are few; refusals count after the first,
// one is quick, and no answer came for a while. Guards against many forwarders with few calls that go on until
// each is sure, and together push a destination over as it returns. Hurts after chance failures.
func (s *Scheduler) ejectOnStreak(endpoint *Endpoint) {
	route, enough := endpoint.route, 3
	if s.lowVolume(endpoint.destination) {
		enough = 2
	}
	for _, other := range endpoint.destination.endpoints {
		if route.fastFailure && route.consecutiveFailures >= enough && s.now-route.lastSuccess > shortOutage && other.route == route && other.health != ejected {
			s.eject(other)
		}
	}
}

// recordIdleReuse counts how calls on connections that had been idle end; when many are lost none is kept for a while.
// Guards against connections that go dead unseen while idle; hurts by handshakes when all else fails too.
func (s *Scheduler) recordIdleReuse(call *call, lost bool) {
	if !call.reusesIdle {
		return
	}
	if s.idleReuse.record(s.now, 8, lost); lost && s.idleReuse.failures > math.Max(idleLossLimit, s.idleReuse.successes/4) {
		s.noIdleUntil = s.now + 20
	}
}

// eject begins or prolongs an endpoint's sickness. Guards against pushing over a destination that returns cold,
// and feeding one that is down, hung, shut or failing. Hurts after chance failures.
func (s *Scheduler) eject(endpoint *Endpoint) {
	endpoint.health, endpoint.concurrencyLimit = ejected, 1
	endpoint.notBefore = math.Max(endpoint.notBefore, math.Max(s.now, endpoint.route.blockedUntil)+s.probeInterval(endpoint)*s.random.uniform())
}

// probeInterval is the random time between two calls to an endpoint that is sick or back.
func (s *Scheduler) probeInterval(endpoint *Endpoint) float64 {
	return (0.7 + 0.6*s.random.uniform()) / s.recoveryRate(endpoint)
}

// recoveryRate is the calls a second that an endpoint may get while it is sick or back, so that all forwarders
// together, each judging by its own part, stay within what a cold destination stands.
func (s *Scheduler) recoveryRate(endpoint *Endpoint) float64 {
	destination, peers := endpoint.destination, 0
	for _, other := range destination.endpoints {
		if other.route == endpoint.route && other.state == Ready && other.health == endpoint.health {
			peers++
		}
	}
	cold := 1.2 * s.settings.OverloadMultiple * s.usualRate(endpoint)
	if endpoint.health == ejected { // all sick endpoints of a route share its trials
		return math.Max(cold*s.settings.SlowStartShare, 1/float64(s.settings.Forwarders))
	}
	share := s.settings.SlowStartShare + (1-s.settings.SlowStartShare)*(s.now-endpoint.recoveringSince)/math.Max(0.1, s.settings.SlowStartDuration)
	return cold * math.Max(0.05, share) / float64(max(1, peers))
}

// usualRate is the calls a second that this forwarder makes or may make to an endpoint's destination as a rule: for
// what it takes, but no more than the destination got done while it was well. Guards against a ramp that
// pushes over one that was asked for more than it can do. Hurts where its best is not known yet.
func (s *Scheduler) usualRate(endpoint *Endpoint) float64 {
	destination := endpoint.destination
	rate := destination.accepted / (s.now - s.startedAt + 2)
	if destination.healthyDeliveries > 0 {
		rate = math.Min(rate, (destination.healthyDeliveries+1)/(destination.healthySeconds+2))
	}
	return math.Max(rate*(destination.calls+1)/(destination.attempts+1), s.guaranteedRate(endpoint))
}

// cooldown is two calls' time, at most half a message's life.
func (s *Scheduler) cooldown(endpoint *Endpoint) float64 {
	return math.Min(2/s.usualRate(endpoint), s.shortestTimeToLive/2)
}

// guaranteedRate is this forwarder's even part of the rate that a route surely takes; at least one a second for all.
func (s *Scheduler) guaranteedRate(endpoint *Endpoint) float64 {
	rate := math.Max(1, endpoint.route.reportedLimit)
	if s.settings.ListedRateTolerance > 0 {
		rate = math.Max(rate, endpoint.destination.listedRate/s.settings.ListedRateTolerance)
	}
	return rate / float64(s.settings.Forwarders)
}

// recordReportedShare moves a route's pace by the reported share of its limit that is left, which all forwarders use up
// together. Guards against many that each learn by refusals of their own, which use the limit up too, that
// there is nothing left, and against an even part kept by those with little to send; hurts where reports come
// late.
func (s *Scheduler) recordReportedShare(endpoint *Endpoint, left float64) {
	route := endpoint.route
	dt := math.Min(1, s.now-route.shareReportedAt)
	route.shareReportedAt = s.now
	if route.learnedRate > 0 {
		route.learnedRate = math.Min(1e9, math.Max(route.learnedRate*math.Exp(0.6*(left-0.5)*dt), s.guaranteedRate(endpoint)/10))
	} else if left < 0.25 {
		route.learnedRate = math.Max(route.recentRate, s.guaranteedRate(endpoint))
	}
}

// recordRejection handles a call that was turned away unseen: above the limit, queue full, or shut.
func (s *Scheduler) recordRejection(endpoint *Endpoint, call *call, result AttemptResult) {
	route := endpoint.route
	// Calls that were out when the last one was turned away tell nothing new. Guards against a dozen refusals at
	// once being taken for a dozen in a row; hurts where those that follow are turned away again.
	if call.began < route.lastRejection {
		return
	}
	route.lastRejection = s.now
	// Departure: few messages teach no pace where no report tells what is left. Guards against hundreds that
	// ask again soon and use the limit up with refusals; hurts after a chance refusal.
	few := route.reportedLimit == 0 && s.lowVolume(endpoint.destination)
	if route.consecutiveRejections++; route.consecutiveRejections == 1 || result.RetryAfter > 0 && result.RetryAfter < longRetryAfter {
		route.noShortWaitSince = s.now
	}
	if result.RetryAfter == 0 {
		pause := 0.1 * math.Pow(2, float64(min(route.consecutiveRejections, 5)-1))
		if few {
			pause = math.Min(24, 6*math.Pow(2, float64(route.consecutiveRejections-1)))
		}
		route.blockedUntil = math.Max(route.blockedUntil, s.now+pause*(0.5+s.random.uniform()))
	}
	if route.consecutiveRejections == 1 {
		route.firstRejection = s.now
		// No debt of earlier calls; and where calls are few, those refused together are not back together.
		route.tokens = (2.75*s.random.uniform() - 2) * math.Min(1, 0.5/route.recentRate)
	}
	// Reason a sick endpoint turns away, or one that reports no limit, tells of none: the ramp sees to its return.
	// Guards against next to no pace after a hang; hurts where the limit itself is the sickness.
	limited := endpoint.health != ejected && route.reportedLimit >= 0 && !few
	if cut := route.recentRate; limited && route.consecutiveRejections > 1 {
		route.learnedRate = math.Max(0.7*route.learnedRate, s.guaranteedRate(endpoint)/10) // what was told of the limit may hold no longer
	} else if limited {
		if route.learnedRate > 0 {
			cut = math.Min(cut, route.learnedRate)
		} else { // Little's law: what is out and answered in the usual time. Guards against a full queue in a clump
			// being taken for a limit at the usual load; hurts where all that is out will be turned away.
			out := 0
			for _, other := range endpoint.destination.endpoints {
				if other.route == route {
					out += len(other.calls)
				}
			}
			cut = math.Max(cut, float64(out)/endpoint.destination.latency.p90)
		}
		if result.ReportedShare < 0 { // all is used up, by all together: an even part is what is likely to be let through
			cut = math.Min(cut, 1.5*s.guaranteedRate(endpoint))
		}
		route.learnedRate = math.Max(0.7*cut, s.guaranteedRate(endpoint))
	}
	// Refused away again a second later, or at once where reports say there is no limit, nothing let in: two
	// calls' time without one. Guards against many with a message each that knock on a hung destination and
	// push it over. Hurts at limits that soon have room.
	if s.now > route.firstRejection+1 && !few || route.reportedLimit < 0 && route.consecutiveRejections > 1 {
		route.blockedUntil = math.Max(route.blockedUntil, s.now+s.cooldown(endpoint)*(0.5+s.random.uniform()))
	}
	// StopAccepting rather than above its limit: nothing let in for long, no short wait told, or a long one.
	if route.consecutiveRejections >= 5 && s.now-route.noShortWaitSince > longRetryAfter || result.RetryAfter > longRetryAfter {
		for _, other := range endpoint.destination.endpoints {
			if other.route == route && other.health != ejected {
				s.eject(other)
			}
		}
	}
}

// routeAllows tells if a route takes a call now: no wait, and within the pace that it seems to let through.
func (s *Scheduler) routeAllows(route *Route) bool {
	dt := s.now - route.refilledAt
	if dt > 0 {
		route.refilledAt = s.now
		route.recentRate *= math.Exp(-dt / 2)
		if route.learnedRate > 0 {
			route.tokens = math.Min(route.tokens+route.learnedRate*dt, math.Max(1, route.learnedRate*0.3))
			if s.now >= route.blockedUntil && s.now > route.shareReportedAt+2 {
				// Faster the longer nothing was refused. Guards against a pace that a full queue taught in a clump
				// being paid for long after; hurts at limits that refuse seldom.
				faster := (s.now - route.lastRejection) / 2
				if route.consecutiveRejections > 0 && route.reportedLimit > 0 { // nothing was let in since, and others use it up: no news is none
					faster = 0
				}
				route.learnedRate *= 1 + 0.08*dt*(1+faster)
			}
		}
	}
	return s.now >= route.blockedUntil && (route.learnedRate == 0 || route.tokens >= 1)
}

// silent tells that a call has been out for far longer than usual and nothing was answered since it began.
// Guards against a silent destination keeping its share until the time-out. Hurts when one call is slow.
func (s *Scheduler) silent(endpoint *Endpoint) bool {
	return len(endpoint.calls) > 0 && endpoint.lastSuccess < endpoint.calls[0].began &&
		s.now-endpoint.calls[0].began > math.Max(0.4, 3*endpoint.destination.latency.p90)
}

// impaired tells that the destination's cap is lowered.
func (s *Scheduler) impaired(destination *Destination) bool {
	return destination.timelyStreak < restoringStreak || slices.ContainsFunc(destination.endpoints, s.silent)
}

// allEjected tells that no endpoint of a destination answers.
func (s *Scheduler) allEjected(destination *Destination) bool {
	alive := func(endpoint *Endpoint) bool { return endpoint.state == Ready && endpoint.health != ejected }
	return !slices.ContainsFunc(destination.endpoints, alive)
}

func slotShare(slots int, part float64) int { return max(1, int(part*float64(slots))) }

// selectEndpoint finds the endpoint of a destination that has a place free for one more call, nil if there is none.
func (s *Scheduler) selectEndpoint(destination *Destination) *Endpoint {
	part := healthyShare
	if s.impaired(destination) {
		part = impairedShare
	}
	stops := s.listStale || s.stopAt > 0 && s.now+destination.latency.p90 > s.stopAt
	if stops || s.callsInFlight >= s.settings.ConcurrencyLimit || destination.callsInFlight >= slotShare(s.settings.ConcurrencyLimit, part) {
		return nil
	}
	// Departure: those that are slow or failed lately leave the last slots to the others, but for one call
	// if none timed out. Guards against many of them filling all slots; hurts them while all else is idle.
	long := destination.latency.p90 > s.shortestObjective/2
	mute := slices.ContainsFunc(destination.endpoints, func(endpoint *Endpoint) bool { return endpoint.consecutiveTimeouts > 0 })
	if (mute || destination.callsInFlight > 0 && (part == impairedShare || long)) && s.callsInFlight >= slotShare(s.settings.ConcurrencyLimit, impairedTotalShare) {
		return nil
	}
	best, score := (*Endpoint)(nil), math.Inf(1)
	for _, endpoint := range destination.endpoints {
		if endpoint.state != Ready || s.now < endpoint.notBefore || !s.routeAllows(endpoint.route) || s.silent(endpoint) {
			continue
		}
		if float64(len(endpoint.calls)) >= math.Floor(endpoint.concurrencyLimit) || endpoint.health == ejected && len(endpoint.calls) > 0 {
			continue
		}
		if n := len(endpoint.calls); n > 0 && destination.batchSize > 1 && endpoint.calls[n-1].began == s.now {
			continue // one call a turn: more messages would join the same call
		}
		// An endpoint that failed of late comes after its siblings. Guards against one that fails some messages
		// (all of one type, say) and would get half of them; hurts while its siblings are nearly full.
		cost := float64(len(endpoint.calls))/endpoint.concurrencyLimit + endpoint.failureShare*math.Exp((endpoint.lastFailure-s.now)/failureFade)
		if endpoint.zone != s.settings.Zone {
			cost += 0.5
		}
		// Guards against a forwarder of few calls opening a connection to each endpoint in turn.
		if s.now-endpoint.lastUsed > s.settings.IdleTimeout {
			cost += 0.01
		}
		if cost < score || cost == score && endpoint.lastUsed < best.lastUsed {
			best, score = endpoint, cost
		}
	}
	return best
}

// eligible tells if a message may be sent to an endpoint now by the rules of order and repetition.
func (s *Scheduler) eligible(message *Message, endpoint *Endpoint) bool {
	if message.keyQueue != nil && (message.keyQueue.first != message || message.keyQueue.cooldownUntil > s.now && message.attempts == 0) {
		return false
	}
	if message.firstRanAt > 0 && message.messageType.Idempotency == IdempotentWithKey {
		return s.now < message.firstRanAt+message.messageType.DeduplicationWindow-0.01 && (!message.messageType.DeduplicatedPerZone || message.firstRanZone == endpoint.zone)
	}
	return true
}

// selectMessages takes up to n messages for a call to an endpoint: fresh ones from the tenants' ring, or retries.
func (s *Scheduler) selectMessages(destination *Destination, endpoint *Endpoint, n int, retries bool) []*Message {
	var batch []*Message
	fresh := func(message *Message) bool { return s.eligible(message, endpoint) && !slices.Contains(batch, message) }
	// Departure: to an endpoint that is sick or back first go retries, which have least to lose, and elsewhere
	// those that soon cannot be sent any more. Guards against losing what may have run; delays fresh work.
	all := retries || endpoint.health != healthy
	again := func(message *Message) bool {
		// Trials are not to use up one message's attempts.
		spared := endpoint.health == ejected && message.firstRanAt == 0 && message.attempts > s.settings.MaxAttempts/2
		return !spared && (all || s.now > message.urgentAt()) && fresh(message)
	}
	fill := func(next func() *Message) {
		for message := next(); message != nil && len(batch) < n; message = next() {
			batch = append(batch, message)
		}
	}
	if all || destination.retries.anyUrgent(s.now) {
		fill(func() *Message { return destination.retries.first(again) })
	}
	if retries {
		return batch
	}
	for idle := 0; idle < len(destination.lanes) && len(batch) < n; {
		lane := destination.lanes[0]
		destination.lanes = destination.lanes[1:]
		idle++
		// Every other time the dearest goes, else the first. Guards against it waiting behind a clump.
		next := (*Message)(nil)
		if lane.byValue = !lane.byValue; lane.byValue {
			next = s.mostValuable(lane, fresh)
		} else {
			next = lane.first(fresh)
		}
		if next != nil {
			batch = append(batch, next)
			idle = 0
		}
		if lane.inRotation = lane.waiting > 0; lane.inRotation {
			destination.lanes = append(destination.lanes, lane)
		}
	}
	fill(func() *Message { return destination.overQuotaLane.first(fresh) })
	// A call that leaves anyway takes along what waits below. Guards against a line of retries that starves
	// while calls leave half empty, of a limit that counts calls; hurts by a little more work in each.
	if len(batch) > 0 && len(batch) < n {
		all = true
		fill(func() *Message { return destination.retries.first(again) })
	}
	return batch
}

func (s *Scheduler) serveRound(destination *Destination, retries bool) (released int) {
	for released < quantum {
		endpoint := s.selectEndpoint(destination)
		if endpoint == nil {
			s.park(destination)
			break
		}
		messages := s.selectMessages(destination, endpoint, destination.batchSize, retries)
		if len(messages) == 0 {
			break
		}
		s.startCall(endpoint, messages)
		released += len(messages)
	}
	return released
}

func (s *Scheduler) startCall(endpoint *Endpoint, messages []*Message) {
	destination := endpoint.destination
	idle := s.now - endpoint.lastUsed
	reused := len(endpoint.calls) == 0 && endpoint.idleConnection && idle > 0.5 && idle < s.settings.IdleTimeout
	call := &call{endpoint: endpoint, began: s.now, pending: len(messages), reusesIdle: reused}
	endpoint.calls = append(endpoint.calls, call)
	endpoint.calledOften, endpoint.lastUsed = idle < s.settings.IdleTimeout, s.now
	endpoint.route.tokens--
	endpoint.route.recentRate += 0.5
	destination.callsInFlight++
	destination.calls++
	destination.attempts += float64(len(messages))
	s.callsInFlight++
	for _, other := range destination.endpoints {
		if other == endpoint && endpoint.health == recovering || other.route == endpoint.route && other.health == ejected && endpoint.health == ejected {
			other.notBefore = math.Max(other.notBefore, s.now+s.probeInterval(endpoint))
		}
	}
	allow := s.timeout(endpoint)
	for _, message := range messages {
		s.dequeue(message)
		s.trackInFlight(message)
		message.call, message.action, message.endpoint = call, actionSend, endpoint
		message.attempts++
		message.timeout = math.Min(allow, message.deadline-s.now)
		if message.firstRanAt > 0 && message.messageType.Idempotency == IdempotentWithKey { // a repeat that begins while its mark is known
			message.timeout = math.Min(message.timeout, message.firstRanAt+message.messageType.DeduplicationWindow-s.now)
		}
		s.changed = append(s.changed, message)
	}
}

// timeout is how long a call is waited for: well beyond the slow ones of late, less so for the last slots,
// and longer while an endpoint answers none or few were measured. Guards against lost answers holding all slots,
// and against calls cut off that a few quick answers made look late, each of which may have run.
func (s *Scheduler) timeout(endpoint *Endpoint) float64 {
	beyond := 3 + 3*5/(5+endpoint.destination.latency.total)
	if s.callsInFlight >= s.settings.ConcurrencyLimit-1 && endpoint.consecutiveTimeouts == 0 && endpoint.destination.timelyStreak > 0 {
		beyond = 2
	}
	return math.Max(0.6, beyond*endpoint.destination.latency.p90) * math.Pow(2, float64(min(endpoint.consecutiveTimeouts, 3)))
}

func (s *Scheduler) serveRounds(retries bool) {
	s.ring.wake(s.now)
	for idle := 0; idle < s.ring.size(); {
		destination, passed := s.ring.next(s.ring.size() - idle)
		if idle += passed; destination == nil {
			break
		}
		if s.serveRound(destination, retries) > 0 {
			idle = -1
		}
		idle++
		if destination.inRing = destination.waiting > 0; destination.inRing {
			s.ring.advance()
		} else {
			s.ring.drop()
		}
	}
}

// tooLate tells that a message has less time left than calls to its destination mostly take, or its endpoints
// are closed for. Guards against a long line sent just too late, each a time-out that makes its endpoint look
// sick, and against sitting on what cannot go out any more. Hurts quick ones. Reason a restart found untried is
// held while there is time, whatever waits say; sent too late it would take the place of others.
func (s *Scheduler) tooLate(message *Message) bool {
	open := func(endpoint *Endpoint) bool {
		return endpoint.state != Ready || endpoint.route.blockedUntil < message.deadline
	}
	closed := len(message.Dest.endpoints) > 0 && !slices.ContainsFunc(message.Dest.endpoints, open)
	late := message.deadline-s.now < math.Max(minTimeLeft, math.Min(message.Dest.latency.p90, message.lifetime/8))
	return late || closed && (!message.recoveredUntried || message.attempts > 0)
}

// endExpired answers the messages that have no way left to arrive.
func (s *Scheduler) endExpired() {
	for _, message := range s.collectDue() {
		if message.answered || message.call != nil && s.now < message.deadline+deadlineGrace {
			continue
		}
		mayRun := message.firstRanAt > 0 && message.messageType.Idempotency != Idempotent
		lost := mayRun && (message.messageType.Idempotency == AtMostOnce || s.now > message.keyExpiredAt())
		// While nothing answers, one whose mark is soon forgotten goes back; its client may still repeat it.
		lost = lost || mayRun && !message.messageType.DeduplicatedPerZone && s.now > message.keyExpiringAt() && s.allEjected(message.Dest)
		if lost || s.tooLate(message) || s.settings.MaxAttempts > 0 && message.attempts >= s.settings.MaxAttempts {
			s.rejectOrFail(message)
		}
	}
}

// shedLoad cuts what is worth least of the longest line while the room is nearly full. Guards against a sick or
// flooded destination turning away everybody's messages at the door; hurts when the flood would have passed.
func (s *Scheduler) shedLoad() {
	for float64(s.held.count) > sheddingThreshold*float64(s.settings.QueueCapacity) {
		last := s.shedCandidate(s.longestBacklog())
		if last == nil {
			return
		}
		s.rejectOrFail(last)
	}
}

// currentValue is what a message brings now. Where value falls evenly, one that is late loses no less by waiting.
func (s *Scheduler) currentValue(message *Message) float64 {
	if late := s.now - message.deadline + message.messageType.TimeToLive - message.messageType.LatencyObjective; late > 0 && s.settings.HalvingValue {
		return message.messageType.Value * math.Max(message.messageType.LateValueShare, math.Pow(2, -late/message.messageType.LatencyObjective))
	}
	return message.messageType.Value
}

func (s *Scheduler) worthMore(a, b *Message) bool {
	return b.overQuota && !a.overQuota || a.overQuota == b.overQuota && s.currentValue(a) > s.currentValue(b)
}

// backlogTime is the time in slots that a destination's waiting messages take: a few calls may clear a long one.
func backlogTime(destination *Destination) float64 {
	return float64(destination.waiting) * destination.latency.p90 / float64(max(1, destination.batchSize))
}

// rejectOrFail gives the final answer at once: a rejection where a second try is harmless, else an abandonment.
func (s *Scheduler) rejectOrFail(message *Message) {
	ran := message.firstRanAt > 0 || message.call != nil
	forgotten := message.messageType.DeduplicatedPerZone || s.now > message.firstRanAt+message.messageType.DeduplicationWindow
	if message.action = actionReject; ran && (message.messageType.Idempotency == AtMostOnce || message.messageType.Idempotency == IdempotentWithKey && forgotten) {
		message.action = actionFail
	}
	if message.firstRanAt == 0 { // else its mark is soon forgotten
		message.retryAfter = s.rejectionRetryAfter()
	}
	message.awaitingAcknowledgement = s.settings.AwaitAcknowledgement
	s.finish(message)
	s.changed = append(s.changed, message)
}

func (s *Scheduler) rejectionRetryAfter() float64 { return math.Min(2, s.settings.MaxRetryAfter) }

// Reconcile decides all that follows from the news taken since the last time.
func (s *Scheduler) Reconcile() {
	s.endExpired()
	s.serveRounds(false)
	s.serveRounds(true)
	s.shedLoad()
	s.logModeChanges()
	s.apply()
}

// apply brings the present state to the wanted one: attempts, answers, the list, the next wake-up.
func (s *Scheduler) apply() {
	for _, endpoint := range s.cancelUnsent {
		s.host.CancelUnsent(endpoint)
	}
	for _, message := range s.changed {
		switch message.action {
		case actionSend:
			s.host.Send(message, message.endpoint, message.timeout)
		case actionReject:
			s.host.Reject(message, message.retryAfter)
		case actionFail:
			s.host.Fail(message)
		}
		message.action = actionNone
	}
	for _, endpoint := range s.closeIdle {
		s.host.CloseIdle(endpoint)
		endpoint.idleConnection = false
	}
	s.changed, s.closeIdle, s.cancelUnsent = s.changed[:0], s.closeIdle[:0], s.cancelUnsent[:0]
	if s.now >= s.nextPoll {
		s.nextPoll = math.Inf(1)
		s.host.WatchEndpoints()
	}
	next := s.nextPoll
	for message := range s.held.all() {
		if message.call == nil {
			next = math.Min(next, s.now+waitingReviewInterval)
			break
		}
		next = math.Min(next, message.deadline+deadlineGrace)
	}
	if next < s.wakeAt {
		s.wakeAt = next
		s.host.Wake(math.Max(0.001, next-s.now))
	}
}

// KeepIdle is how long an idle connection is kept: not so long that the other side's close crosses a call.
func (s *Settings) KeepIdle() float64 { return s.IdleTimeout - math.Min(0.5, s.IdleTimeout/10) }
