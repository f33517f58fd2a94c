package scheduler

import "math"

const (
	agentPollInterval       = 0.4 // seconds between polls of a local agent, whose list counts as known to the forwarder
	fleetPollRate           = 4.0 // polls per second of all forwarders together
	unreachablePollInterval = 2.7 // seconds to the next poll if discovery was unreachable; up to 1.3 times as long
	maxPollDoublings        = 4   // maximum number of doublings of the wait by consecutive failures
	minPollWait             = 1   // seconds to wait before the next poll, without doubling and random part
	minPollSpread           = 0.3 // a wait is multiplied by a random factor from 0.3 to 1.3
	maxPollSpreadDivisor    = 2   // polls are spread over at most PollWithin divided by this
	successorPollSpread     = 2   // longest delay in seconds of the first poll after an upgrade
)

// PollTimedOut reports that a poll for the endpoint list failed or that the list stopped arriving. Each consecutive
// failure doubles the time to the next poll.
//
// Trade-off: the polls of a fleet do not make discovery's queue so long that no forwarder is served in time, but the
// return of discovery after an outage is noticed later.
func (s *Scheduler) PollTimedOut() { s.schedulePoll(&s.failedPolls, s.settings.PollWithin) }

// WatchBroken reports that the watch of the list ended, or that discovery is down or unreachable. In these cases,
// discovery has no queue of polls that must be kept short. A change counts as known to the forwarder six seconds after
// discovery could be reached again, and the next poll must not wait longer than that.
//
// Trade-off: an endpoint that began to drain during an outage gets no calls, but some polls fail.
func (s *Scheduler) WatchBroken() {
	s.schedulePoll(&s.failedWatches, math.Min(s.settings.PollWithin, unreachablePollInterval))
}

// schedulePoll sets the time of the next poll after a failure. The wait, before the random factor, is at most maxWait
// seconds.
func (s *Scheduler) schedulePoll(failures *int, maxWait float64) {
	wait := math.Min(math.Max(minPollWait, s.pollSpread())*math.Pow(2, float64(*failures)), maxWait)
	*failures = min(*failures+1, maxPollDoublings)
	s.nextPoll = s.now + wait*(minPollSpread+s.random.uniform())
}

// WatchSilent reports that nothing more arrives on the watch of the endpoint list. Changes that the forwarder missed
// soon count as known to it, so the next poll must come soon.
func (s *Scheduler) WatchSilent() {
	s.nextPoll = s.now + math.Min(minPollWait, s.pollSpread())*s.random.uniform()
}

// pollSpread returns the number of seconds over which polls of all forwarders are spread, because the forwarders of a
// fleet are started, or lose discovery, at the same moment. It is at most half of PollWithin.
func (s *Scheduler) pollSpread() float64 {
	if s.settings.LocalAgent { // no other forwarder polls it
		return 0
	}
	return math.Min(float64(s.settings.Forwarders-1)/fleetPollRate, s.settings.PollWithin/maxPollSpreadDivisor)
}

// ContinueWatch reports, before the first list, that the predecessor of this process watched the list until now.
// Changes count as known to the forwarder two seconds after this process was ready, so the first poll must not wait
// longer.
//
// Trade-off: an endpoint that drains during an upgrade gets no calls; but if a large fleet is upgraded at once,
// discovery has to answer more polls at the same time.
func (s *Scheduler) ContinueWatch() { s.maxFirstPoll = successorPollSpread }

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
	s.failedPolls, s.failedWatches, s.awaitingList = 0, 0, s.awaitingList && atStart
	if atStart && s.nextPoll == s.now && hasEndpoints {
		s.nextPoll += math.Min(s.pollSpread(), s.maxFirstPoll) * s.random.uniform()
	}
}
