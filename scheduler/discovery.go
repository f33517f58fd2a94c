package scheduler

import "math"

const (
	agentPollInterval       = 0.4 // seconds between polls of a local agent: its list counts as known to the forwarder
	fleetPollRate           = 4.0 // polls a second, of all forwarders together
	unreachablePollInterval = 2.7 // seconds to the next poll, 1.3 times that at most, if discovery was out of reach
	maxPollDoublings        = 4   // by failures in a row
	minPollWait             = 1   // seconds, before doubling
	minPollSpread           = 0.3 // a wait is 0.3 to 1.3 times as long
	maxPollSpreadDivisor    = 2   // polls spread over PollWithin divided by this at most
	successorPollSpread     = 2   // seconds over which the first polls after an upgrade are spread at most
)

// PollTimedOut reports that a poll for the endpoint list failed or that the list stopped coming. Each failure in a row
// doubles the time to the next poll.
//
// Trade-off: all forwarders together do not keep discovery's queue so long that nobody is served in time; when
// discovery was down, its return is noticed later.
func (s *Scheduler) PollTimedOut() { s.schedulePoll(&s.failedPolls, s.settings.PollWithin) }

// WatchBroken reports that the list stopped coming, or that discovery is down or out of reach, so that no queue of
// polls has to be kept short. A change counts as known to the forwarder six seconds after discovery could be reached,
// so that the next poll cannot wait longer.
//
// Trade-off: an endpoint that began to drain in an outage gets no calls, at the price of polls in vain.
func (s *Scheduler) WatchBroken() {
	s.schedulePoll(&s.failedWatches, math.Min(s.settings.PollWithin, unreachablePollInterval))
}

// schedulePoll sets the next poll after a failure; maxWait bounds the wait in seconds, before its random part.
func (s *Scheduler) schedulePoll(failures *int, maxWait float64) {
	wait := math.Min(math.Max(minPollWait, s.pollSpread())*math.Pow(2, float64(*failures)), maxWait)
	*failures, s.listStale = min(*failures+1, maxPollDoublings), false
	s.nextPoll = s.now + wait*(minPollSpread+s.random.uniform())
}

// WatchSilent reports that the watch of the endpoint list fell silent. Changes that it missed soon count as known to
// the forwarder, so that the poll cannot wait.
func (s *Scheduler) WatchSilent() {
	s.nextPoll = s.now + math.Min(minPollWait, s.pollSpread())*s.random.uniform()
}

// pollSpread returns the seconds over which forwarders that poll at the same moment are spread: those of a fleet are
// started, or lose discovery, together. It is at most half of the time in which a poll is wanted.
func (s *Scheduler) pollSpread() float64 {
	if s.settings.LocalAgent { // nobody else polls it
		return 0
	}
	return math.Min(float64(s.settings.Forwarders-1)/fleetPollRate, s.settings.PollWithin/maxPollSpreadDivisor)
}

// ContinueWatch reports, before the first list, that another process of this forwarder has watched the list until now.
// Changes count as known to the forwarder two seconds after this process was ready, so that the first poll cannot wait
// for longer.
//
// Trade-off: an endpoint that drains during an upgrade gets no calls; where a large fleet is upgraded at once,
// discovery has more polls to answer at a time.
func (s *Scheduler) ContinueWatch() { s.maxFirstPoll = successorPollSpread }

// recordListArrival notes that the endpoint list arrived. One that arrives at the start is the last known list; the
// first poll can then wait, and the list stays stale.
func (s *Scheduler) recordListArrival(hasEndpoints bool) {
	atStart := s.now == s.startedAt
	s.failedPolls, s.failedWatches, s.listStale = 0, 0, s.listStale && atStart
	if atStart && s.nextPoll == s.now && hasEndpoints {
		s.nextPoll += math.Min(s.pollSpread(), s.maxFirstPoll) * s.random.uniform()
	}
}
