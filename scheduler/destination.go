package scheduler

import (
	"fmt"
	"slices"
)

// Destination is one logical receiver of messages with all its endpoints. NewDestination makes it.
type Destination struct {
	ID uint64 // the adapter's identifier

	endpoints     []*Endpoint
	sharedRoute   *Route // of all endpoints that have none of their own
	kind          int
	batchSize     int     // most messages in one call
	listedRate    float64 // calls a second as listed
	lanes         []*lane // of tenants with waiting messages, in turn
	tenantLanes   []lane  // the last is for messages without a tenant
	overQuotaLane lane    // beyond the tenants' quotas: after all other fresh messages
	retries       retryLane
	shedClasses   []*shedClass   // of held messages
	deadlines     *deadlineHeaps // of waiting messages; nil while none waits
	lateAt        float64        // when the first of them is too late
	latePosition  int32          // in the heap by that time
	touched       bool           // the next check of deadlines looks at it
	inRing        bool
	updated       bool      // it is in Scheduler.updatedDestinations
	ringNode      *ringNode // its place in the ring, nil while it is in none
	held          int       // messages without a final answer
	queued        int       // of these, the ones that wait for a call
	callsInFlight int

	accepted, attempts, calls float64 // since the start: messages accepted, attempts made, calls made
	inheritedRate             float64 // usual calls a second as an earlier process handed it over; 0: it did not
	healthyDeliveries         float64 // messages delivered while the destination was not degraded
	healthySeconds            float64 // how long that was
	healthyCountedAt          float64 // up to when healthySeconds is counted
	degraded                  bool    // an endpoint is ejected or recovering
	timelyStreak              int     // timely answers in a row
	latency                   latencyHistogram
	mode                      mode
}

// NewDestination returns a destination without endpoints. The adapter calls it once for each, at the first mention.
func (s *Scheduler) NewDestination(id uint64) *Destination {
	destination := &Destination{
		ID:               id,
		sharedRoute:      &Route{refilledAt: s.now},
		tenantLanes:      make([]lane, len(s.settings.TenantRate)+1),
		timelyStreak:     restoringStreak,
		healthyCountedAt: s.now,
		latency:          newLatencyHistogram(),
	}
	s.destinations = append(s.destinations, destination)
	return destination
}

// Forget removes a destination that has no endpoints and no held messages, and reports whether it did. Without it, the
// number of destinations would grow with the names that clients use.
func (s *Scheduler) Forget(destination *Destination) bool {
	if len(destination.endpoints) > 0 || destination.held > 0 || destination.inRing || destination.updated {
		return false
	}
	s.destinations = without(s.destinations, destination)
	return true
}

// HasDelivered reports whether a destination has delivered a message since the start.
func (s *Scheduler) HasDelivered(destination *Destination) bool {
	return slices.ContainsFunc(destination.endpoints, func(endpoint *Endpoint) bool { return endpoint.lastSuccess > 0 })
}

// Unresponsive reports whether no endpoint of a destination answers.
func (s *Scheduler) Unresponsive(destination *Destination) bool { return s.allEjected(destination) }

// CountDemand counts a message that is stored elsewhere from its admission on towards the demand of its destination.
func (s *Scheduler) CountDemand(destination *Destination) { destination.accepted++ }

// UncountDemand takes a message off the demand of its destination: it was counted before, or by an earlier process.
func (s *Scheduler) UncountDemand(destination *Destination) { destination.accepted-- }

// InheritsDemand reports whether an earlier process handed over the usual rate of a destination: what it had accepted
// is part of that.
func (d *Destination) InheritsDemand() bool { return d.inheritedRate > 0 }

// markUpdated notes an event of a destination for the next Reconcile.
func (s *Scheduler) markUpdated(destination *Destination) {
	s.due.touch(destination)
	s.ring.unpark(destination.ringNode)
	if !destination.degraded {
		destination.healthySeconds += s.now - destination.healthyCountedAt
	}
	destination.healthyCountedAt = s.now
	if !destination.updated {
		destination.updated = true
		s.updatedDestinations = append(s.updatedDestinations, destination)
	}
}

// lowVolumeRate is the rate of messages a second below which a destination has low volume: rejections then teach no
// rate, and two failures in a row eject.
const lowVolumeRate = 1.0

// startWindow is added to the time since the start, in seconds, so that the first messages give no extreme rate.
const startWindow = 2

// lowVolume reports whether a destination gets few messages.
func (s *Scheduler) lowVolume(destination *Destination) bool {
	return s.acceptedRate(destination) < lowVolumeRate
}

// mode is the state of a destination as operators see it in the log.
type mode uint8

const (
	modeHealthy    mode = iota
	modeEjected         // an endpoint is ejected
	modeRecovering      // an endpoint is recovering, none is ejected
	modeImpaired        // no endpoint is ejected, but its concurrency is lowered
)

// String returns the word for the mode in log lines; the words are part of the log's format.
func (m mode) String() string { return [...]string{"well", "sick", "back", "ill"}[m] }

// worstHealth returns the worst health of a destination's ready endpoints.
func (d *Destination) worstHealth() health {
	worst := healthy
	for _, endpoint := range d.endpoints {
		if endpoint.state == Ready && (endpoint.health == ejected || worst == healthy) {
			worst = endpoint.health
		}
	}
	return worst
}

// mode returns the present mode of a destination whose worst health is given.
func (s *Scheduler) mode(destination *Destination, worst health) mode {
	switch {
	case worst == ejected:
		return modeEjected
	case worst == recovering:
		return modeRecovering
	case s.impaired(destination):
		return modeImpaired
	default:
		return modeHealthy
	}
}

// updateModes brings the modes of destinations with events up to date and logs the changes.
func (s *Scheduler) updateModes() {
	for _, destination := range s.updatedDestinations {
		s.releaseRemoved(destination)
		worst := destination.worstHealth()
		destination.degraded = worst != healthy
		if mode := s.mode(destination, worst); mode != destination.mode {
			s.host.Log(fmt.Sprintf("dest %d %s > %s: out %d held %d good %d p90 %.2f", destination.ID, destination.mode,
				mode, destination.callsInFlight, destination.held, destination.timelyStreak, destination.latency.p90))
			destination.mode = mode
		}
		destination.updated = false
	}
	s.updatedDestinations = s.updatedDestinations[:0]
}
