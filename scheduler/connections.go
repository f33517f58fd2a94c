package scheduler

import "math"

const (
	idleLossLimit          = 2.0  // losses on reused idle connections, and
	idleLossDivisor        = 4    // one in so many of the calls on them, that stop their use
	idleReuseDecayTime     = 8    // seconds in which the count of such calls falls to 1/e
	noIdleDuration         = 20   // seconds for which no idle connection is kept then
	failedConnectPause     = 30   // seconds for which none is kept at destinations of a kind after a failed connect
	minReusedIdle          = 0.5  // seconds without a call after which a connection counts as idle
	maxIdleCloseMargin     = 0.5  // seconds by which an idle connection is closed before the other side would, at most
	idleCloseMarginDivisor = 10.0 // or this part of the idle timeout
)

// KeepIdle returns how long an idle connection is kept, in seconds: not so long that the other side's close crosses a
// call.
func (s *Settings) KeepIdle() float64 {
	return s.IdleTimeout - math.Min(maxIdleCloseMargin, s.IdleTimeout/idleCloseMarginDivisor)
}

// reusesIdle reports whether the next call to an endpoint probably takes a connection that has been idle.
func (s *Scheduler) reusesIdle(endpoint *Endpoint) bool {
	idle := s.now - endpoint.lastUsed
	return len(endpoint.calls) == 0 && endpoint.idleConnection && idle > minReusedIdle && idle < s.settings.IdleTimeout
}

// keepsIdle reports whether the connection of a call that has just ended is kept. One that would close before the next
// call, judged by the call before, is not kept, nor any at destinations of a kind of which one failed a connect lately.
//
// Trade-off: the idle connections of many forwarders do not fill connection tables that take a dozen, at the price of
// more handshakes.
func (s *Scheduler) keepsIdle(endpoint *Endpoint) bool {
	if s.now < s.noIdleUntil {
		return false
	}
	if len(endpoint.calls) > 0 {
		return true
	}
	return !(s.now < s.noIdleKindUntil[endpoint.destination.kind]) && endpoint.calledOften
}

// recordIdleReuse counts how a call on a reused idle connection ended; when many are lost none is kept for a while.
//
// Trade-off: connections that go dead unseen while idle are noticed, but when all else fails too there are more
// handshakes.
func (s *Scheduler) recordIdleReuse(call *call, lost bool) {
	if !call.reusesIdle {
		return
	}
	s.idleReuse.record(s.now, idleReuseDecayTime, lost)
	if lost && s.idleReuse.failures > math.Max(idleLossLimit, s.idleReuse.successes/idleLossDivisor) {
		s.noIdleUntil = s.now + noIdleDuration
	}
}

// successRate counts successes and failures; both fade with time.
type successRate struct{ successes, failures, updatedAt float64 }

// record counts one more; fade is the time in seconds in which the counts so far fall to 1/e.
func (r *successRate) record(now, fade float64, failed bool) {
	left := math.Exp((r.updatedAt - now) / fade)
	r.successes, r.failures, r.updatedAt = r.successes*left, r.failures*left, now
	if failed {
		r.failures++
	} else {
		r.successes++
	}
}
