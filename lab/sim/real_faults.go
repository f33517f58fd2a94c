package sim

import (
	"fmt"

	"spanflow/internal/emulator"
	"spanflow/lab/receiver"
	"spanflow/lab/scenario"
)

// discoveryEntry returns an endpoint's entry in the list of the discovery service.
func (run *realRun) discoveryEntry(e *receiver.Endpoint) emulator.Entry {
	destination := e.Destination.Number
	entry := emulator.Entry{
		UID:         fmt.Sprintf("d%d-%d", destination, e.Number),
		Endpoint:    run.endpoints[e].addr,
		Zone:        fmt.Sprint("z", e.Zone),
		Kind:        fmt.Sprint("k", run.group[destination]),
		Destination: destination,
		State:       "active",
	}
	switch {
	case e.Fault.Removed:
		entry.State = "left"
	case e.Fault.Draining:
		entry.State = "leaving"
	}
	return entry
}

// injectFaults schedules the scenario's faults. The lock must be held. Some network faults cannot be produced on
// loopback without privileges, so FaultReap has no effect, and during FaultSilent endpoints accept calls but never
// answer them. FaultList has no effect either.
func (run *realRun) injectFaults() {
	for i := range run.scenario.Faults {
		run.injectFault(&run.scenario.Faults[i])
	}
}

func (run *realRun) injectFault(fault *scenario.Fault) {
	at, seconds := float64(fault.At), float64(fault.For)
	processes := run.processes[:min(len(run.processes), int(fault.Fraction*float64(len(run.processes))+roundUpOffset))]
	switch fault.Kind {
	case scenario.FaultReap, scenario.FaultList:
	case scenario.FaultStall:
		run.After(at, func() {
			for _, p := range processes {
				p.stall(run.Now() + seconds)
			}
		})
	case scenario.FaultRestart:
		for i, p := range processes {
			run.After(at+seconds*float64(i)/float64(len(processes)), p.kill)
		}
	case scenario.FaultDrain, scenario.FaultMove:
		run.After(at, func() {
			affected := affectedEndpoints(run.scenario, run.destinations, run.group, fault)
			if fault.Kind == scenario.FaultDrain {
				run.announce(affected, true, false)
				run.After(drainTime, func() { run.removeEndpoints(affected, seconds) })
				return
			}
			run.removeEndpoints(affected, seconds)
		})
	default:
		run.After(at, func() {
			affected := affectedEndpoints(run.scenario, run.destinations, run.group, fault)
			for _, e := range affected {
				beginFault(e, fault, run.scenario)
			}
			run.After(seconds, func() {
				for _, e := range affected {
					endFault(e, fault)
				}
			})
		})
	}
}

// announce changes the state of endpoints, which the discovery service publishes after the list's lag.
func (run *realRun) announce(endpoints []*receiver.Endpoint, draining, removed bool) {
	for _, e := range endpoints {
		e.Fault.Draining, e.Fault.Removed = draining, removed
	}
	run.After(float64(run.scenario.ListLag), func() {
		for _, e := range endpoints {
			run.log.EndpointDraining(e.Destination.Number, e.Number)
			run.discovery.Set(run.discoveryEntry(e))
		}
	})
}

// removeEndpoints removes endpoints and adds others in their place after a delay in seconds.
func (run *realRun) removeEndpoints(removed []*receiver.Endpoint, replacedAfter float64) {
	run.announce(removed, false, true)
	run.After(replacedAfter, func() {
		for _, e := range removed {
			added := e.Destination.AddEndpoint(e.Zone)
			if run.openEndpoint(added) == nil {
				run.After(float64(run.scenario.ListLag), func() { run.discovery.Set(run.discoveryEntry(added)) })
			}
		}
	})
}
