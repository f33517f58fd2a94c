package sim

import (
	"slices"

	"spanflow/lab/receiver"
	"spanflow/lab/scenario"
)

// injectFaults schedules the scenario's faults.
func (run *simRun) injectFaults() {
	for i := range run.scenario.Faults {
		run.injectFault(&run.scenario.Faults[i])
	}
}

func (run *simRun) injectFault(fault *scenario.Fault) {
	at, end := startTime+float64(fault.At), startTime+float64(fault.At+fault.For)
	switch fault.Kind {
	case scenario.FaultStall:
		run.At(at, func() {
			for _, f := range run.affectedForwarders(fault.Fraction) {
				f.stall(end)
			}
		})
	case scenario.FaultRestart:
		affected := run.affectedForwarders(fault.Fraction)
		for i, f := range affected {
			run.At(at+float64(fault.For)*float64(i)/float64(len(affected)), f.kill)
		}
	case scenario.FaultReap:
		run.At(at, func() { run.activeReapFaults++ })
		run.At(end, func() { run.activeReapFaults-- })
	case scenario.FaultList:
		run.At(at, func() { run.activeListFaults++ })
		run.At(end, func() { run.activeListFaults-- })
	case scenario.FaultDrain, scenario.FaultMove:
		run.At(at, func() { run.replaceEndpoints(fault) })
	default:
		run.At(at, func() {
			affected := affectedEndpoints(run.scenario, run.destinations, run.group, fault)
			for _, e := range affected {
				beginFault(e, fault, run.scenario)
			}
			run.At(end, func() {
				for _, e := range affected {
					endFault(e, fault)
				}
			})
		})
	}
}

// affectedForwarders returns the given fraction of the forwarders, rounded up, in the order of their numbers.
func (run *simRun) affectedForwarders(fraction float64) []*forwarder {
	n := int(fraction*float64(len(run.forwarders)) + roundUpOffset)
	return run.forwarders[:min(n, len(run.forwarders))]
}

// affectedEndpoints returns the endpoints that a fault affects. group maps each destination to the index of its
// receiver in the scenario.
func affectedEndpoints(s *scenario.Scenario, destinations []*receiver.Destination, group []int, fault *scenario.Fault) []*receiver.Endpoint {
	var affected []*receiver.Endpoint
	for i, destination := range destinations {
		if len(fault.Destinations) > 0 {
			if !slices.Contains(fault.Destinations, i) {
				continue
			}
		} else if fault.Receiver != "" && s.Receivers[group[i]].Name != fault.Receiver {
			continue
		}
		for _, e := range destination.Endpoints {
			if isAffected(e, fault) {
				affected = append(affected, e)
			}
		}
	}
	return affected
}

// isAffected reports whether a fault affects an endpoint. The caller has checked the destination.
func isAffected(e *receiver.Endpoint, fault *scenario.Fault) bool {
	if e.Fault.Removed || fault.Zone > 0 && e.Zone != fault.Zone-1 {
		return false
	}
	return len(fault.Endpoints) == 0 || slices.Contains(fault.Endpoints, e.Number)
}

// beginFault puts a fault into effect at an endpoint.
func beginFault(e *receiver.Endpoint, fault *scenario.Fault, s *scenario.Scenario) {
	f := &e.Fault
	switch fault.Kind {
	case scenario.FaultRefuse:
		e.BeginOutage()
	case scenario.FaultHang:
		f.Hangs++
	case scenario.FaultSilent:
		f.Silences++
	case scenario.FaultSlow:
		f.SlowFactor = fault.By
		for i := range s.Tenants {
			if s.Tenants[i].Name == fault.Tenant {
				f.SlowTenant = i + 1
			}
		}
	case scenario.FaultErr:
		f.ErrorFraction = fault.Fraction
	case scenario.FaultReset:
		f.ResetFraction = fault.Fraction
	case scenario.FaultLose:
		f.LostFraction = fault.Fraction
	case scenario.FaultSpoil:
		f.MalformedFraction = fault.Fraction
	case scenario.FaultCut:
		f.LimitFraction = fault.Fraction
	}
	if fault.Every > 1 {
		f.EveryNth = fault.Every
	}
	f.OddForwarders = f.OddForwarders || fault.OddForwarders
}

// endFault ends a fault at an endpoint. If the fault counted as an outage, the endpoint begins its slow start.
func endFault(e *receiver.Endpoint, fault *scenario.Fault) {
	f := &e.Fault
	if f.MostlyFails() {
		defer func() {
			if !f.MostlyFails() { // most calls failed, which counted as an outage, so a slow start follows
				e.Recover()
			}
		}()
	}
	switch fault.Kind {
	case scenario.FaultRefuse:
		e.EndOutage()
	case scenario.FaultHang:
		e.EndHang()
	case scenario.FaultSilent:
		if f.Silences--; f.Silences == 0 {
			e.Recover()
		}
	case scenario.FaultSlow:
		f.SlowFactor, f.SlowTenant = 0, 0
	case scenario.FaultErr:
		f.ErrorFraction = 0
	case scenario.FaultReset:
		f.ResetFraction = 0
	case scenario.FaultLose:
		f.LostFraction = 0
	case scenario.FaultSpoil:
		f.MalformedFraction = 0
	case scenario.FaultCut:
		f.LimitFraction = 0
	}
	if f.ErrorFraction+f.ResetFraction+f.LostFraction+f.MalformedFraction == 0 {
		f.EveryNth, f.OddForwarders = 0, false
	}
}

// replaceEndpoints removes endpoints and adds others in their place. With FaultDrain the endpoint list first reports
// the endpoints as draining; otherwise they are removed immediately.
func (run *simRun) replaceEndpoints(fault *scenario.Fault) {
	affected := affectedEndpoints(run.scenario, run.destinations, run.group, fault)
	if fault.Kind == scenario.FaultDrain {
		for _, e := range affected {
			e.Fault.Draining = true
		}
		run.announce(affected)
		run.After(drainTime, func() { run.removeEndpoints(affected, float64(fault.For)) })
		return
	}
	run.removeEndpoints(affected, float64(fault.For))
}

// removeEndpoints removes endpoints and adds others in their place after a delay in seconds.
func (run *simRun) removeEndpoints(removed []*receiver.Endpoint, replacedAfter float64) {
	for _, e := range removed {
		e.Fault.Removed = true
	}
	run.announce(removed)
	run.After(replacedAfter, func() {
		var added []*receiver.Endpoint
		for _, e := range removed {
			added = append(added, e.Destination.AddEndpoint(e.Zone))
		}
		run.announce(added)
	})
}

// listRetry is the delay in seconds after which announce tries again while the endpoint list is not delivered.
const listRetry = 1

// announce informs all forwarders of changed endpoints, after the endpoint list's lag.
func (run *simRun) announce(endpoints []*receiver.Endpoint) {
	run.After(float64(run.scenario.ListLag)+float64(run.scenario.NetworkDelay), func() {
		if run.activeListFaults > 0 { // the list is not delivered during the fault, so try again later
			run.After(listRetry, func() { run.announce(endpoints) })
			return
		}
		for _, e := range endpoints {
			if e.Fault.Draining || e.Fault.Removed {
				run.log.EndpointDraining(e.Destination.Number, e.Number)
			}
		}
		for _, f := range run.forwarders {
			if f.up {
				f.updateEndpoints(endpoints)
			}
		}
	})
}
