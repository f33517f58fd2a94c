package receiver

import (
	"math"

	"spanflow/transport"
)

// BeginOutage begins an outage: connections are refused, and the calls at the endpoint end. What it executes runs on,
// and its answers get lost.
func (e *Endpoint) BeginOutage() {
	e.outages++
	for _, c := range e.queue {
		c.queued = false
		c.finish(Answer{Code: transport.ResultClosed})
	}
	e.queue = nil
	for _, c := range e.executing {
		c.finish(Answer{Code: transport.ResultClosed})
	}
	e.recent = recentCalls{}
}

// EndOutage ends one outage; with the last one the endpoint begins its slow start.
func (e *Endpoint) EndOutage() {
	if e.outages--; e.outages == 0 {
		e.Recover()
	}
}

// EndHang ends one hang; with the last one the calls that came meanwhile are executed.
func (e *Endpoint) EndHang() {
	if e.Fault.Hangs--; e.Fault.Hangs > 0 {
		return
	}
	hung := e.hung
	e.hung = nil
	e.Recover()
	for _, c := range hung {
		e.execute(c)
	}
}

// Recover says that an outage is over: the endpoint is in slow start from here on.
func (e *Endpoint) Recover() {
	d := e.Destination
	e.recoveredAt = d.clock.Now()
	e.recent = recentCalls{}
	if !d.Behavior.EndpointLimits {
		d.recent = recentCalls{}
	}
	d.recorder.EndpointRecovered(d.Number, e.Number)
}

// capacityFraction is the fraction of its capacity that the endpoint has now.
func (e *Endpoint) capacityFraction() float64 {
	behavior := &e.Destination.Behavior
	if e.recoveredAt == 0 || behavior.SlowStartDuration <= 0 {
		return 1
	}
	progress := (e.Destination.clock.Now() - e.recoveredAt) / behavior.SlowStartDuration
	if progress >= 1 {
		e.recoveredAt = 0
		return 1
	}
	return behavior.SlowStartFraction + (1-behavior.SlowStartFraction)*progress
}

// inOutage tells whether an outage, or what counts as one, is on.
func (e *Endpoint) inOutage() bool {
	return e.outages > 0 || e.Fault.Hangs > 0 || e.Fault.Silences > 0 || e.Fault.MostlyFails()
}

// ForwarderSawFailure says that a forwarder has seen a call to the endpoint fail or be refused. It counts only while
// the outage lasts.
func (e *Endpoint) ForwarderSawFailure(forwarder int) {
	if !e.inOutage() {
		return
	}
	informed, _, _ := e.overloadState()
	if *informed == nil {
		*informed = map[int]bool{}
	}
	(*informed)[forwarder] = true
}

// overloadState is which forwarders have seen the latest outage, the calls that came since, and how many endpoints
// share both.
func (e *Endpoint) overloadState() (informed *map[int]bool, recent *recentCalls, endpoints int) {
	d := e.Destination
	if d.Behavior.EndpointLimits {
		return &e.informed, &e.recent, 1
	}
	for _, other := range d.Endpoints {
		if !other.Fault.Removed && other.outages == 0 {
			endpoints++
		}
	}
	return &d.informed, &d.recent, endpoints
}

// overloads counts a call that came during the slow start, and tells whether it makes the endpoint fail and which
// fraction of the calls counted came from forwarders that had seen the outage.
func (e *Endpoint) overloads(forwarder int) (overloaded bool, informed float64) {
	d, fraction := e.Destination, e.capacityFraction()
	if fraction >= 1 || d.Behavior.OverloadMultiple <= 0 {
		return false, 0
	}
	forwarders, recent, endpoints := e.overloadState()
	calls, informed := recent.add(d.clock.Now(), d.Behavior.OverloadWindow, (*forwarders)[forwarder])
	return calls > d.overloadAllowance(fraction, endpoints), informed / calls
}

// overloadAllowance is how many calls may come within any window in slow start, at a fraction of the capacity of so
// many endpoints: the budget, a multiple of what the present capacity does in a window, and what is put down to chance.
func (d *Destination) overloadAllowance(fraction float64, endpoints int) float64 {
	budget := d.Behavior.OverloadMultiple * fraction * d.capacity(endpoints) * d.Behavior.OverloadWindow
	return budget + 2*math.Sqrt(budget) + 2
}

// wouldOverload tells whether so many further calls would make the endpoint fail.
func (e *Endpoint) wouldOverload(calls int, now float64) bool {
	d, fraction := e.Destination, e.capacityFraction()
	if fraction >= 1 || d.Behavior.OverloadMultiple <= 0 {
		return false
	}
	_, recent, endpoints := e.overloadState()
	window := d.Behavior.OverloadWindow
	for _, at := range recent.at {
		if at > now-window {
			calls++
		}
	}
	return float64(calls) > d.overloadAllowance(fraction, endpoints)
}

// fail makes the endpoint, or all of its destination that share its limits, go down.
func (e *Endpoint) fail(informed float64) {
	d := e.Destination
	d.recorder.EndpointOverloaded(d.Number, e.Number, informed)
	for _, other := range d.Endpoints {
		if other == e || !d.Behavior.EndpointLimits {
			other.BeginOutage()
			d.clock.After(d.Behavior.OverloadDowntime, other.EndOutage)
		}
	}
}

// recentCalls is the calls within the past window, and which of them came from forwarders that had seen the outage.
type recentCalls struct {
	at       []float64
	informed []bool
}

// add counts a call and returns how many there are in the window, and how many of them are informed.
func (r *recentCalls) add(now, window float64, isInformed bool) (all, informed float64) {
	for len(r.at) > 0 && r.at[0] <= now-window {
		r.at, r.informed = r.at[1:], r.informed[1:]
	}
	r.at, r.informed = append(r.at, now), append(r.informed, isInformed)
	for _, is := range r.informed {
		if is {
			informed++
		}
	}
	return float64(len(r.at)), informed
}
