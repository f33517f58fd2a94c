package receiver

import (
	"math"

	"spanflow/transport"
)

// BeginOutage begins an outage: connections are refused, and all calls at the endpoint end with a closed connection.
// Calls that are already being executed continue, but their answers are lost.
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

// EndOutage ends one outage. When no other is in effect, the endpoint begins its slow start.
func (e *Endpoint) EndOutage() {
	if e.outages--; e.outages == 0 {
		e.Recover()
	}
}

// EndHang ends one hang. When no other is in effect, the endpoint begins its slow start and executes the hung calls.
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

// Recover begins the endpoint's slow start at the end of an outage.
func (e *Endpoint) Recover() {
	d := e.Destination
	e.recoveredAt = d.clock.Now()
	e.recent = recentCalls{}
	if !d.Behavior.EndpointLimits {
		d.recent = recentCalls{}
	}
	d.recorder.EndpointRecovered(d.Number, e.Number)
}

// capacityFraction returns the fraction of its full capacity that the endpoint has now. It rises linearly during the
// slow start.
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

// inOutage reports whether the endpoint is in an outage, or has a fault that counts as one.
func (e *Endpoint) inOutage() bool {
	return e.outages > 0 || e.Fault.Hangs > 0 || e.Fault.Silences > 0 || e.Fault.MostlyFails()
}

// ForwarderSawFailure records that a forwarder's call to the endpoint failed or was refused. It counts only during an
// outage.
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

// overloadState returns the forwarders that have seen the latest outage (informed), the recent calls since the outage,
// and the number of endpoints that share both.
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

// overloads counts a call if the endpoint is in slow start. It reports whether the call makes the endpoint fail, and
// the fraction of the counted calls that came from forwarders that had seen the outage.
func (e *Endpoint) overloads(forwarder int) (overloaded bool, informed float64) {
	d, fraction := e.Destination, e.capacityFraction()
	if fraction >= 1 || d.Behavior.OverloadMultiple <= 0 {
		return false, 0
	}
	forwarders, recent, endpoints := e.overloadState()
	calls, informed := recent.add(d.clock.Now(), d.Behavior.OverloadWindow, (*forwarders)[forwarder])
	return calls > d.overloadAllowance(fraction, endpoints), informed / calls
}

// overloadAllowance returns the number of calls that a number of endpoints tolerate within any OverloadWindow while
// they have the given fraction of their capacity. It is a budget, OverloadMultiple times the calls that they can
// execute in the window, plus an allowance for random variation.
func (d *Destination) overloadAllowance(fraction float64, endpoints int) float64 {
	budget := d.Behavior.OverloadMultiple * fraction * d.capacity(endpoints) * d.Behavior.OverloadWindow
	return budget + 2*math.Sqrt(budget) + 2
}

// wouldOverload reports whether the given number of further calls would make the endpoint fail.
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

// fail begins an outage of the endpoint and of all endpoints that share its limits.
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

// recentCalls holds the calls within the past OverloadWindow.
type recentCalls struct {
	at       []float64
	informed []bool // whether the call came from a forwarder that had seen the outage
}

// add counts a call and returns the number of calls in the window, and how many of them came from informed forwarders.
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
