package scheduler

import "math"

const (
	// No idle connection is kept once the calls lost on reused idle connections exceed both idleLossLimit and the
	// successful calls on them divided by idleLossDivisor.
	idleLossLimit   = 2.0
	idleLossDivisor = 4

	idleReuseDecayTime = 8   // seconds in which the counts of these calls decay to 1/e
	noIdleDuration     = 20  // seconds for which no idle connection is kept after such losses
	failedConnectPause = 30  // seconds after a failed connect without idle connections to that kind of destination
	minReusedIdle      = 0.5 // seconds without a call after which a connection counts as idle
)

// reusesIdle reports whether the next call to an endpoint probably uses a connection that has been idle.
func (s *Scheduler) reusesIdle(endpoint *Endpoint) bool {
	idle := s.now - endpoint.lastUsed
	return len(endpoint.calls) == 0 && endpoint.idleConnection && idle > minReusedIdle && idle < s.settings.IdleTimeout
}

// keepsIdle reports whether the connection of a call that has just ended is kept. It is not kept if the interval
// between the latest calls suggests that it would be closed before the next call, or if a connect to a destination of
// the same kind failed recently.
//
// Trade-off: the idle connections of many forwarders do not fill connection tables that hold only a dozen, but more
// handshakes are needed.
func (s *Scheduler) keepsIdle(endpoint *Endpoint) bool {
	if s.now < s.noIdleUntil {
		return false
	}
	if len(endpoint.calls) > 0 {
		return true
	}
	return !(s.now < s.noIdleKindUntil[endpoint.destination.kind]) && endpoint.calledOften
}

// recordIdleReuse counts how a call on a reused idle connection ended. After many losses, no idle connection is kept
// for a while.
//
// Trade-off: connections that died unnoticed while idle are detected, but if calls fail for other reasons, there are
// unnecessary handshakes.
func (s *Scheduler) recordIdleReuse(call *call, lost bool) {
	if !call.reusesIdle {
		return
	}
	s.idleReuse.record(s.now, idleReuseDecayTime, lost)
	if lost && s.idleReuse.failures > math.Max(idleLossLimit, s.idleReuse.successes/idleLossDivisor) {
		s.noIdleUntil = s.now + noIdleDuration
	}
}

// successRate counts successes and failures. Both counts decay exponentially.
type successRate struct{ successes, failures, updatedAt float64 }

// record counts a success or a failure; decayTime is the time in seconds in which earlier counts decay to 1/e.
func (r *successRate) record(now, decayTime float64, failed bool) {
	decay := math.Exp((r.updatedAt - now) / decayTime)
	r.successes, r.failures, r.updatedAt = r.successes*decay, r.failures*decay, now
	if failed {
		r.failures++
	} else {
		r.successes++
	}
}
