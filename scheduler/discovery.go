package scheduler

import "math"

const (
	noticeTerm              = 6.0 // seconds after which a change counts as known once discovery has it and can be reached
	pollPeriod              = 5.5 // seconds between polls that time out; the rest of noticeTerm is left for the answer
	agentPollInterval       = 0.4 // seconds between polls of a local agent, whose list counts as known; up to 1.3 times as long
	drainGraceDivisor       = 3   // an agent is polled at least every DrainGrace divided by this; the rest is for its answer
	fleetPollRate           = 4.0 // polls per second of all forwarders together
	unreachablePollInterval = 2.7 // seconds to the next poll if discovery was unreachable; up to 1.3 times as long
	maxPollDoublings        = 4   // maximum number of doublings of the wait by consecutive failures
	minPollWait             = 1   // seconds to wait before the next poll, without doubling and random part
	minPollSpread           = 0.3 // a wait is multiplied by a random factor from 0.3 to 1.3
	maxPollSpreadDivisor    = 2   // polls are spread over at most PollWithin divided by this
	maxPollSpread           = 5.0 // seconds over which polls are spread at most
	successorPollSpread     = 2   // longest delay in seconds of the first poll after an upgrade
)

// LateListTerm is the time in seconds within which an endpoint that operators know may still be missing from the list. An
// endpoint that was to be drained and is listed within it is drained.
const LateListTerm = 60.0

// PollTimedOut reports that a poll for the endpoint list was not answered in time. Each consecutive failure doubles the
// wait, until the next poll might come more than pollPeriod after this one; in a large fleet, the first failure may do
// that. From then on polls keep a distance of pollPeriod, after one random wait, so that the polls of a fleet remain
// spread out and discovery's queue stays short. No wait grows beyond that: whether discovery is down or has too many polls
// to answer, a change counts as known noticeTerm seconds after it can be reached again.
//
// Trade-off: an endpoint that began to drain during an outage gets no calls, but if discovery needs longer than
// pollPeriod to answer all forwarders once, its queue does not get shorter by itself.
func (s *Scheduler) PollTimedOut() {
	s.ListCurrentUntil(s.now)
	if s.settings.LocalAgent {
		s.pollUnreachable()
		return
	}
	random := s.random.uniform()
	longest := math.Max(s.polledAt+pollPeriod-s.now, minPollWait*(minPollSpread+random))
	backoff := s.pollBackoff(s.failedPolls)
	s.failedPolls = min(s.failedPolls+1, maxPollDoublings)
	switch {
	case s.pollsInPhase:
		s.nextPoll = s.now + longest
	case backoff*(minPollSpread+1) < longest:
		s.nextPoll = s.now + backoff*(minPollSpread+random)
	default:
		s.pollsInPhase = true
		s.nextPoll = s.now + longest*random
	}
}

// pollBackoff returns the wait before the next poll after a number of consecutive failures, without its random part. It is
// longer in a large fleet, and at most PollWithin.
func (s *Scheduler) pollBackoff(failures int) float64 {
	return math.Min(math.Max(minPollWait, s.pollSpread())*math.Pow(2, float64(failures)), s.settings.PollWithin)
}

// WatchBroken reports that discovery has ended the watch of the list, or has turned a poll away at once: it is down, and has
// nothing to tell meanwhile.
func (s *Scheduler) WatchBroken() {
	s.ListCurrentUntil(s.now)
	s.lease.renew(&s.settings, s.now)
	s.pollUnreachable()
}

// WatchFailed reports that no connection to discovery was established, or that the watch failed for another reason of
// which discovery may know nothing.
func (s *Scheduler) WatchFailed() {
	s.ListCurrentUntil(s.now)
	s.pollUnreachable()
}

// pollUnreachable sets the time of the next poll of a discovery service that is down or unreachable. It has no queue of
// polls that must be kept short, and the first failures cost little: each consecutive one doubles the time to the next
// poll, up to a bound that leaves enough of noticeTerm for a connection that is established late and for the answer. Once
// the watch has fallen silent or the list is overdue, the time is not doubled.
//
// Trade-off: an endpoint that began to drain during an outage gets no calls, but some polls fail.
func (s *Scheduler) pollUnreachable() {
	wait := math.Min(s.pollBackoff(s.failedWatches), unreachablePollInterval)
	if !s.lease.afterSilence && !s.lease.expired {
		s.failedWatches = min(s.failedWatches+1, maxPollDoublings)
	}
	s.nextPoll = s.now + wait*(minPollSpread+s.random.uniform())
}

// maxAgentPollInterval returns the number of seconds between polls of a local agent. What it has counts as known even while
// no watch is open, so a change must arrive before DrainGrace is over.
//
// Trade-off: an endpoint that drains while no watch is open gets no calls, but an agent that is down is polled more often.
func maxAgentPollInterval(settings *Settings) float64 {
	if settings.DrainGrace <= 0 {
		return agentPollInterval
	}
	return math.Min(agentPollInterval, settings.DrainGrace/drainGraceDivisor)
}

// WatchSilent reports that nothing more arrives on the watch of the endpoint list. Changes that the forwarder missed
// soon count as known to it, so the next poll must come soon.
func (s *Scheduler) WatchSilent() {
	s.ListCurrentUntil(s.now)
	s.lease.afterSilence = s.settings.PollEndpoints
	s.nextPoll = s.now + math.Min(minPollWait, s.pollSpread())*s.random.uniform()
}

// pollSpread returns the number of seconds over which polls of all forwarders are spread, because the forwarders of a
// fleet are started, or lose discovery, at the same moment. It is at most half of PollWithin, and leaves a part of
// noticeTerm for the answer.
func (s *Scheduler) pollSpread() float64 {
	if s.settings.LocalAgent { // no other forwarder polls it
		return 0
	}
	longest := math.Min(s.settings.PollWithin/maxPollSpreadDivisor, maxPollSpread)
	return math.Min(float64(s.settings.Forwarders-1)/fleetPollRate, longest)
}

// firstPollSpread returns the longest delay of the first poll in seconds.
func (s *Scheduler) firstPollSpread() float64 { return math.Min(s.pollSpread(), s.maxFirstPoll) }

// ContinueWatch reports, before the first list, that the predecessor of this process watched the list until now.
// Changes count as known to the forwarder two seconds after this process was ready, so the first poll must not wait
// longer.
//
// Trade-off: an endpoint that drains during an upgrade gets no calls; but if a large fleet is upgraded at once,
// discovery has to answer more polls at the same time.
func (s *Scheduler) ContinueWatch() {
	s.maxFirstPoll = successorPollSpread
	s.lease = s.newListLease()
}

// NextPollIn returns the number of seconds until the endpoint list is polled again. It is infinite while the list is being
// watched.
func (s *Scheduler) NextPollIn() float64 { return s.nextPoll - s.now }

// AwaitsList reports whether no call begins because the local agent has not sent its list to this process yet. What the
// agent has counts as known to the forwarder from its start. While the agent is silent the forwarder cannot tell whether
// its last known list is that of the agent: it may have missed changes before it started.
//
// Trade-off: no call goes to an endpoint that has left, but after a restart during an outage of discovery, messages wait
// until the agent speaks.
func (s *Scheduler) AwaitsList() bool { return s.awaitingList }

// recordListArrival records that the endpoint list arrived. A list that arrives at the start is only the last known
// one: that of the agent is still awaited, and the first poll may wait.
func (s *Scheduler) recordListArrival(hasEndpoints bool) {
	atStart := s.now == s.startedAt
	s.failedPolls, s.pollsInPhase, s.failedWatches = 0, false, 0
	s.awaitingList = s.awaitingList && atStart
	if !atStart {
		s.lease = listLease{expiresAt: math.Inf(1)}
	}
	if atStart && s.nextPoll == s.now && hasEndpoints {
		s.nextPoll += s.firstPollSpread() * s.random.uniform()
	}
}
