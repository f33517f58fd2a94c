package sim

import (
	"slices"

	"spanflow/lab/receiver"
	"spanflow/lab/scenario"
)

// injectFaults puts the scene's troubles on the time line.
func (d *simRun) injectFaults() {
	for i := range d.scenario.Faults {
		t := &d.scenario.Faults[i]
		at, end := startTime+float64(t.At), startTime+float64(t.At+t.For)
		switch t.Kind {
		case "stall":
			d.At(at, func() {
				for _, n := range d.affectedForwarders(t.Fraction) {
					n.stall(end)
				}
			})
		case "restart":
			some := d.affectedForwarders(t.Fraction)
			for i, n := range some {
				d.At(at+float64(t.For)*float64(i)/float64(len(some)), n.kill)
			}
		case "reap":
			d.At(at, func() { d.reapFaults++ })
			d.At(end, func() { d.reapFaults-- })
		case "list":
			d.At(at, func() { d.listFaults++ })
			d.At(end, func() { d.listFaults-- })
		case "drain", "move":
			d.At(at, func() { d.replaceEndpoints(t) })
		default:
			d.At(at, func() {
				hit := d.affectedEndpoints(t)
				for _, target := range hit {
					beginFault(target, t, d.scenario)
				}
				d.At(end, func() {
					for _, target := range hit {
						endFault(target, t)
					}
				})
			})
		}
	}
}

// affectedForwarders is a share of the forwarders, rounded up.
func (d *simRun) affectedForwarders(share float64) []*node {
	n := int(share*float64(len(d.nodes)) + 0.999999)
	return d.nodes[:min(n, len(d.nodes))]
}

// affectedEndpoints is the endpoints that a trouble befalls.
func (d *simRun) affectedEndpoints(t *scenario.Fault) []*receiver.Endpoint {
	var all []*receiver.Endpoint
	for i, dest := range d.destinations {
		if len(t.Destinations) > 0 && !slices.Contains(t.Destinations, i) || len(t.Destinations) == 0 && t.Receiver != "" && d.scenario.Receivers[d.group[i]].Name != t.Receiver {
			continue
		}
		for _, target := range dest.Endpoints {
			if target.Fault.Removed || len(t.Endpoints) > 0 && !slices.Contains(t.Endpoints, target.Number) || t.Zone > 0 && target.Zone != t.Zone-1 {
				continue
			}
			all = append(all, target)
		}
	}
	return all
}

func beginFault(to *receiver.Endpoint, t *scenario.Fault, s *scenario.Scenario) {
	r := &to.Fault
	switch t.Kind {
	case "refuse":
		to.BeginOutage()
	case "hang":
		r.Hang++
	case "silent":
		r.Silent++
	case "slow":
		r.Slow = t.By
		for i := range s.Tenants {
			if s.Tenants[i].Name == t.Tenant {
				r.SlowFor = i + 1
			}
		}
	case "err":
		r.Err = t.Fraction
	case "reset":
		r.Reset = t.Fraction
	case "lose":
		r.Lose = t.Fraction
	case "spoil":
		r.Spoil = t.Fraction
	case "cut":
		r.LimitFraction = t.Fraction
	}
	if t.Every > 1 {
		r.Every = t.Every
	}
	r.OddForwarders = r.OddForwarders || t.OddForwarders
}

func endFault(to *receiver.Endpoint, t *scenario.Fault) {
	r := &to.Fault
	if failed := r.MostlyFails(); failed {
		defer func() {
			if !r.MostlyFails() { // most calls failed: it comes back cold as after any outage
				to.Recover()
			}
		}()
	}
	switch t.Kind {
	case "refuse":
		to.EndOutage()
	case "hang":
		to.EndHang()
	case "silent":
		if r.Silent--; r.Silent == 0 {
			to.Recover()
		}
	case "slow":
		r.Slow, r.SlowFor = 0, 0
	case "err":
		r.Err = 0
	case "reset":
		r.Reset = 0
	case "lose":
		r.Lose = 0
	case "spoil":
		r.Spoil = 0
	case "cut":
		r.LimitFraction = 0
	}
	if r.Err+r.Reset+r.Lose+r.Spoil == 0 {
		r.Every, r.OddForwarders = 0, false
	}
}

// replaceEndpoints lets endpoints go and others come in their place: drained first, with the list's word, or at once.
func (d *simRun) replaceEndpoints(t *scenario.Fault) {
	hit := d.affectedEndpoints(t)
	if t.Kind == "drain" {
		for _, target := range hit {
			target.Fault.Draining = true
		}
		d.announce(hit)
		d.After(drainTime, func() { d.removeEndpoints(hit, float64(t.For)) })
		return
	}
	d.removeEndpoints(hit, float64(t.For))
}

func (d *simRun) removeEndpoints(hit []*receiver.Endpoint, comes float64) {
	for _, target := range hit {
		target.Fault.Removed = true
	}
	d.announce(hit)
	d.After(comes, func() {
		var fresh []*receiver.Endpoint
		for _, target := range hit {
			fresh = append(fresh, target.Destination.AddEndpoint(target.Zone))
		}
		d.announce(fresh)
	})
}

// announce tells all forwarders of changed endpoints, after the list's lag.
func (d *simRun) announce(targets []*receiver.Endpoint) {
	d.After(float64(d.scenario.ListLag)+float64(d.scenario.NetworkDelay), func() {
		if d.listFaults > 0 { // it comes with the next change of the list, or when it comes again
			d.After(1, func() { d.announce(targets) })
			return
		}
		for _, t := range targets {
			if t.Fault.Draining || t.Fault.Removed {
				d.log.EndpointDraining(t.Destination.Number, t.Number)
			}
		}
		for _, n := range d.nodes {
			if n.up {
				n.updateEndpoints(targets)
			}
		}
	})
}
