package sim

import (
	"fmt"

	"spanflow/internal/emulator"
	"spanflow/lab/receiver"
)

func (d *realRun) entry(t *receiver.Endpoint) emulator.Entry {
	e := emulator.Entry{UID: fmt.Sprintf("d%d-%d", t.Destination.Number, t.Number), Endpoint: d.endpoints[t].addr, Zone: fmt.Sprint("z", t.Zone),
		Kind: fmt.Sprint("k", d.group[t.Destination.Number]), Destination: t.Destination.Number, State: "active"}
	switch {
	case t.Fault.Removed:
		e.State = "left"
	case t.Fault.Draining:
		e.State = "leaving"
	}
	return e
}

// injectFaults puts the scene's troubles on the wall clock; the lock is held. Reason the network alone could do (idle
// connections that die unseen, addresses that answer nothing) is beyond loopback without privileges: silence is a
// receiver that takes calls and says nothing.
func (d *realRun) injectFaults() {
	sim := &simRun{scenario: d.scenario, destinations: d.destinations, group: d.group}
	for i := range d.scenario.Faults {
		t := &d.scenario.Faults[i]
		at, lasts := float64(t.At), float64(t.For)
		n := min(len(d.nodes), int(t.Fraction*float64(len(d.nodes))+0.999999))
		switch t.Kind {
		case "reap", "list":
		case "stall":
			d.After(at, func() {
				for _, p := range d.nodes[:n] {
					p.stall(d.Now() + lasts)
				}
			})
		case "restart":
			for i, p := range d.nodes[:n] {
				d.After(at+lasts*float64(i)/float64(n), p.kill)
			}
		case "drain", "move":
			d.After(at, func() {
				hit := sim.affectedEndpoints(t)
				if t.Kind == "drain" {
					d.announce(hit, true, false)
					d.After(drainTime, func() { d.removeEndpoints(hit, lasts) })
					return
				}
				d.removeEndpoints(hit, lasts)
			})
		default:
			d.After(at, func() {
				hit := sim.affectedEndpoints(t)
				for _, endpoint := range hit {
					beginFault(endpoint, t, d.scenario)
				}
				d.After(lasts, func() {
					for _, endpoint := range hit {
						endFault(endpoint, t)
					}
				})
			})
		}
	}
}

func (d *realRun) announce(endpoints []*receiver.Endpoint, draining, left bool) {
	for _, t := range endpoints {
		t.Fault.Draining, t.Fault.Removed = draining, left
	}
	d.After(float64(d.scenario.ListLag), func() {
		for _, t := range endpoints {
			d.log.EndpointDraining(t.Destination.Number, t.Number)
			d.discovery.Set(d.entry(t))
		}
	})
}

func (d *realRun) removeEndpoints(hit []*receiver.Endpoint, comes float64) {
	d.announce(hit, false, true)
	d.After(comes, func() {
		for _, t := range hit {
			fresh := t.Destination.AddEndpoint(t.Zone)
			if d.openEndpoint(fresh) == nil {
				d.After(float64(d.scenario.ListLag), func() { d.discovery.Set(d.entry(fresh)) })
			}
		}
	})
}
