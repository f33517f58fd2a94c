package receiver

import "spanflow/transport"

// mostlyFailsFraction is the fraction of failed calls above which calling an endpoint is not worthwhile.
const mostlyFailsFraction = 0.6

// Fault describes the faults of an endpoint that are currently in effect. Several can be in effect at once.
type Fault struct {
	Hangs             int     // number of hangs in effect; calls that arrive during a hang are executed after its end
	Silences          int     // number of silences in effect, during which nothing is received or sent
	SlowFactor        float64 // multiplies service times; 0 means not slow
	SlowTenant        int     // number plus 1 of the only tenant with slow service; 0 means all tenants
	ErrorFraction     float64 // fraction of calls that end with an error, half of them after their execution
	ResetFraction     float64 // fraction of calls whose connection breaks, half of them after their execution
	LostFraction      float64 // fraction of calls whose answer is lost after the execution
	MalformedFraction float64 // fraction of calls whose answer is malformed
	LimitFraction     float64 // fraction of the usual limit that remains in force; 0 means all of it
	EveryNth          int     // gray failure; ErrorFraction to MalformedFraction affect only every n-th call; 0 means all
	OddForwarders     bool    // gray failure; the same fractions affect only calls of odd-numbered forwarders
	Draining          bool
	Removed           bool

	affectedCalls int // counts the calls to which EveryNth applies
}

// MostlyFails reports whether so many calls fail that calling the endpoint is not worthwhile. This counts as an outage.
func (f *Fault) MostlyFails() bool {
	fraction := f.failingFraction() / float64(max(1, f.EveryNth))
	if f.OddForwarders { // about half of the forwarders are affected
		fraction /= 2
	}
	return fraction > mostlyFailsFraction
}

// failingFraction returns the fraction of failures among the affected calls.
func (f *Fault) failingFraction() float64 {
	return f.ErrorFraction + f.ResetFraction + f.LostFraction + f.MalformedFraction
}

// slows reports whether SlowFactor applies to a call.
func (f *Fault) slows(c *Call) bool {
	if f.SlowFactor <= 0 {
		return false
	}
	return f.SlowTenant == 0 || len(c.Messages) > 0 && c.Messages[0].Tenant == f.SlowTenant-1
}

// drawOutcome draws the effect of the faults on a call: its result, whether it is executed, and whether its answer is
// lost.
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
