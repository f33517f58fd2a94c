package scheduler

import (
	"fmt"
	"slices"
)

// Destination is one logical receiver of messages with all its endpoints. NewDestination creates it.
type Destination struct {
	ID uint64 // the adapter's identifier

	endpoints     []*Endpoint
	sharedRoute   *Route // route of all endpoints that have no separate one
	kind          int
	batchSize     int // maximum number of messages in one call
	sizeLimit     sizeLimit
	listedRate    float64 // calls per second according to the endpoint list
	lanes         []*lane // lanes with queued messages, in round-robin order of the tenants
	tenantLanes   []lane  // the last one is for messages without a tenant
	overQuotaLane lane    // messages beyond the tenants' quotas; sent after all other fresh messages
	retries       retryLane
	shedClasses   []*shedClass   // groups of held messages for load shedding
	deadlines     *deadlineHeaps // queued messages by deadline; nil while not needed
	lateAt        float64        // when the first of them is too late
	latePosition  int32          // position in the heap by lateAt
	touched       bool           // the next deadline check examines the destination
	inRing        bool
	updated       bool      // the destination is in Scheduler.updatedDestinations
	ringNode      *ringNode // position in the ring; nil while not in the ring
	held          int       // number of messages without a final answer
	queued        int       // number of held messages that are queued for a call
	callsInFlight int

	accepted, attempts, calls float64 // since the start: messages accepted, attempts made, calls made
	inheritedRate             float64 // usual calls per second, handed over by an earlier process; 0 if none was
	healthyDeliveries         float64 // messages delivered while the destination was not degraded
	healthySeconds            float64 // total time in which the destination was not degraded
	healthyCountedAt          float64 // time until which healthySeconds is counted
	degraded                  bool    // an endpoint is ejected or recovering
	timelyStreak              int     // number of consecutive timely answers
	latency                   latencyHistogram
	mode                      mode
}

// NewDestination returns a destination without endpoints. The adapter calls it once for each destination, when the
// destination is first mentioned.
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

// Forget removes a destination if it has no endpoints and no held messages, and reports whether it did. Without Forget,
// the number of destinations would grow with every name that clients use.
func (s *Scheduler) Forget(destination *Destination) bool {
	if len(destination.endpoints) > 0 || destination.held > 0 || destination.inRing || destination.updated {
		return false
	}
	s.destinations = removeFirst(s.destinations, destination)
	return true
}

// HasDelivered reports whether a destination has delivered a message since the start.
func (s *Scheduler) HasDelivered(destination *Destination) bool {
	return slices.ContainsFunc(destination.endpoints, func(endpoint *Endpoint) bool { return endpoint.lastSuccess > 0 })
}

// Unresponsive reports whether no endpoint of a destination answers.
func (s *Scheduler) Unresponsive(destination *Destination) bool { return s.allEjected(destination) }

// CountDemand adds one message to the demand of a destination. The adapter calls it for a message that goes to the
// backlog store right at its admission, without Accept.
func (s *Scheduler) CountDemand(destination *Destination) { destination.accepted++ }

// UncountDemand subtracts one message from the demand of a destination. The adapter calls it for a message that was
// already counted, by this process or an earlier one.
func (s *Scheduler) UncountDemand(destination *Destination) { destination.accepted-- }

// InheritsDemand reports whether an earlier process handed over the usual rate of a destination. That rate includes the
// messages which that process accepted.
func (d *Destination) InheritsDemand() bool { return d.inheritedRate > 0 }

// markUpdated records an event of a destination, so that the next Reconcile updates its mode and examines its messages.
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

// lowVolumeRate is the rate, in messages per second, below which a destination has low volume. At low volume, no rate
// is learned from rejections, and two consecutive failures eject endpoints.
const lowVolumeRate = 1.0

// startWindow is added to the time since the start, in seconds, so that the first messages do not result in an extreme
// rate.
const startWindow = 2

func (s *Scheduler) lowVolume(destination *Destination) bool {
	return s.acceptedRate(destination) < lowVolumeRate
}

// mode is the state of a destination that operators see in the log.
type mode uint8

const (
	modeHealthy    mode = iota
	modeEjected         // an endpoint is ejected
	modeRecovering      // an endpoint is recovering, none is ejected
	modeImpaired        // no endpoint is ejected or recovering, but the destination's concurrency is lowered
)

// String returns the name of the mode in log lines. The names are part of the log's format.
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

// mode returns the current mode of a destination; worst is the result of Destination.worstHealth.
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

// updateModes updates the modes of all destinations with events, logs the changes and releases removed endpoints.
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
