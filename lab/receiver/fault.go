package receiver

import "spanflow/transport"

// mostlyFailsFraction is the fraction of failures above which it does not pay to try an endpoint.
const mostlyFailsFraction = 0.6

// Fault is what is wrong with an endpoint now. Several faults may be on at once.
type Fault struct {
	Hangs             int     // hangs that are on: it executes nothing; what came meanwhile is executed afterwards
	Silences          int     // silences that are on: nothing comes in or goes out
	SlowFactor        float64 // service times are multiplied by it; 0: it is not slow
	SlowTenant        int     // slow for this tenant only, if above 0: its number plus one
	ErrorFraction     float64 // of calls that end with an error, half of them after their execution
	ResetFraction     float64 // of calls whose connection breaks, half of them after their execution
	LostFraction      float64 // of answers that get lost after the execution
	MalformedFraction float64 // of answers that cannot be read
	LimitFraction     float64 // of the usual limit that is in force; 0: all of it
	EveryNth          int     // gray failure: only one of so many calls is affected by the four fractions above; 0: all
	OddForwarders     bool    // gray failure: only calls of forwarders with odd numbers are
	Draining          bool
	Removed           bool

	affectedCalls int // for EveryNth
}

// MostlyFails tells whether so many calls fail that it does not pay to try the endpoint: that counts as an outage too.
func (f *Fault) MostlyFails() bool {
	fraction := f.failingFraction() / float64(max(1, f.EveryNth))
	if f.OddForwarders { // about half of the forwarders are affected
		fraction /= 2
	}
	return fraction > mostlyFailsFraction
}

// failingFraction is the fraction of failures among the calls that are affected.
func (f *Fault) failingFraction() float64 {
	return f.ErrorFraction + f.ResetFraction + f.LostFraction + f.MalformedFraction
}

// slows tells whether a call takes longer than usual.
func (f *Fault) slows(c *Call) bool {
	if f.SlowFactor <= 0 {
		return false
	}
	return f.SlowTenant == 0 || len(c.Messages) > 0 && c.Messages[0].Tenant == f.SlowTenant-1
}

// drawOutcome draws what faults do to a call: how it ends, whether it is executed, and whether its answer gets lost.
func (e *Endpoint) drawOutcome(c *Call) (code transport.ResultCode, executed, answerLost bool) {
	f := &e.Fault
	if f.failingFraction() == 0 || f.OddForwarders && c.Forwarder%2 == 0 {
		return transport.ResultOK, true, false
	}
	if f.affectedCalls++; f.EveryNth > 1 && f.affectedCalls%f.EveryNth != 0 {
		return transport.ResultOK, true, false
	}
	switch x := e.Destination.random.Float64(); {
	case x < f.ErrorFraction:
		return transport.ResultServerError, x < f.ErrorFraction/2, false
	case x < f.ErrorFraction+f.ResetFraction:
		return transport.ResultClosed, x < f.ErrorFraction+f.ResetFraction/2, false
	case x < f.ErrorFraction+f.ResetFraction+f.LostFraction:
		return transport.ResultOK, true, true
	case x < f.ErrorFraction+f.ResetFraction+f.LostFraction+f.MalformedFraction:
		return transport.ResultMalformed, true, false
	}
	return transport.ResultOK, true, false
}
