package scheduler

import "math"

// leaseMargin is how many seconds before the end of the last grace the lease of the list expires: the process may be held
// up between its decision and the first byte of the call.
const leaseMargin = 0.2

// unnoticedSilence is the longest time in seconds for which the watch of an earlier process of this forwarder may have been
// silent at its end without its notice.
const unnoticedSilence = 3.0

// movedTerm is noticeTerm for what a local agent has at an address to which the configuration has just moved, in seconds.
const movedTerm = 4.0

// listLease is the time for which the endpoint list may be used without word from discovery. While a watch is open, changes
// arrive, and the lease does not run. When the watch ends, changes may be missed, and these count as known noticeTerm
// seconds later at the latest. From then on the list may name endpoints whose addresses belong to other destinations, so
// no call begins until discovery has sent the list again.
//
// Trade-off: no call goes to an endpoint that has left, but while discovery stays silent for longer than the lease,
// messages wait.
type listLease struct {
	expiresAt    float64 // infinite while a watch is open
	afterSilence bool    // the watch fell silent, so that changes may be missed whatever discovery says until the next list
	expired      bool    // no call begins until the next list
}

// newListLease returns the lease of the last known list.
func (s *Scheduler) newListLease() listLease {
	if !s.settings.PollEndpoints {
		return listLease{expiresAt: math.Inf(1)}
	}
	lease := listLease{expiresAt: s.now + leaseTerm(&s.settings, noticeTerm)}
	if s.firstPollSpread() <= successorPollSpread { // the first poll comes before a shorter lease expires
		lease.expiresAt -= unnoticedSilence
	}
	return lease
}

// leaseTerm returns the length of a lease for changes that count as known after the given term. A known drain still allows
// calls for DrainGrace.
func leaseTerm(settings *Settings, term float64) float64 {
	return term + settings.DrainGrace - leaseMargin
}

// begin starts the lease at the time up to which the list was current, unless it runs already.
func (l *listLease) begin(settings *Settings, currentUntil float64) {
	if math.IsInf(l.expiresAt, 1) {
		l.expiresAt = currentUntil + leaseTerm(settings, noticeTerm)
	}
}

// renew restarts a lease that runs, because discovery has said that it has nothing to tell. It has no effect once changes
// may have been missed.
func (l *listLease) renew(settings *Settings, now float64) {
	if !math.IsInf(l.expiresAt, 1) && !l.afterSilence && !l.expired {
		l.expiresAt = now + leaseTerm(settings, noticeTerm)
	}
}

// expireLease expires the lease if its time has come. Calls that are not sent yet are cancelled, as their first bytes would
// come later still.
func (s *Scheduler) expireLease() {
	if s.lease.expired || s.now < s.lease.expiresAt {
		return
	}
	s.lease.expired = true
	s.CancelUnsentCalls()
}

// ListCurrentUntil reports, before the end of a watch is reported, when the last line arrived on that watch.
func (s *Scheduler) ListCurrentUntil(at float64) {
	if s.settings.PollEndpoints {
		s.lease.begin(&s.settings, at)
	}
}

// WatchMoved reports that the list is watched at another address from now on. An open watch at the former one has ended.
func (s *Scheduler) WatchMoved() {
	if !s.settings.PollEndpoints {
		return
	}
	term := noticeTerm
	if s.settings.LocalAgent {
		term = movedTerm
	}
	s.lease.expiresAt = math.Min(s.lease.expiresAt, s.now+leaseTerm(&s.settings, term))
}

// ListOverdue reports whether no call begins because changes of the endpoint list may have been missed for too long.
func (s *Scheduler) ListOverdue() bool { return s.lease.expired }

// ListLeaseAfterSilence returns the seconds until the lease of the list expires, if the watch has fallen silent and no list
// has arrived since. They are negative once it has expired.
func (s *Scheduler) ListLeaseAfterSilence() (expiresIn float64, silent bool) {
	return s.lease.expiresAt - s.now, s.lease.afterSilence
}

// RestoreListLease continues the lease that an earlier process of this forwarder had after its watch had fallen silent.
func (s *Scheduler) RestoreListLease(expiresIn float64) {
	s.lease.expiresAt = math.Min(s.lease.expiresAt, s.now+expiresIn)
	s.lease.afterSilence = true
}
