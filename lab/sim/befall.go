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
				for _, endpoint := range hit {
					beginFault(endpoint, t, d.scenario)
				}
				d.At(end, func() {
					for _, endpoint := range hit {
						endFault(endpoint, t)
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
		for _, endpoint := range dest.Endpoints {
			if endpoint.Fault.Removed || len(t.Endpoints) > 0 && !slices.Contains(t.Endpoints, endpoint.Number) || t.Zone > 0 && endpoint.Zone != t.Zone-1 {
				continue
			}
			all = append(all, endpoint)
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
		r.Hangs++
	case "silent":
		r.Silences++
	case "slow":
		r.SlowFactor = t.By
		for i := range s.Tenants {
			if s.Tenants[i].Name == t.Tenant {
				r.SlowTenant = i + 1
			}
		}
	case "err":
		r.ErrorFraction = t.Fraction
	case "reset":
		r.ResetFraction = t.Fraction
	case "lose":
		r.LostFraction = t.Fraction
	case "spoil":
		r.MalformedFraction = t.Fraction
	case "cut":
		r.LimitFraction = t.Fraction
	}
	if t.Every > 1 {
		r.EveryNth = t.Every
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
		if r.Silences--; r.Silences == 0 {
			to.Recover()
		}
	case "slow":
		r.SlowFactor, r.SlowTenant = 0, 0
	case "err":
		r.ErrorFraction = 0
	case "reset":
		r.ResetFraction = 0
	case "lose":
		r.LostFraction = 0
	case "spoil":
		r.MalformedFraction = 0
	case "cut":
		r.LimitFraction = 0
	}
	if r.ErrorFraction+r.ResetFraction+r.LostFraction+r.MalformedFraction == 0 {
		r.EveryNth, r.OddForwarders = 0, false
	}
}

// replaceEndpoints lets endpoints go and others come in their place: drained first, with the list's word, or at once.
func (d *simRun) replaceEndpoints(t *scenario.Fault) {
	hit := d.affectedEndpoints(t)
	if t.Kind == "drain" {
		for _, endpoint := range hit {
			endpoint.Fault.Draining = true
		}
		d.announce(hit)
		d.After(drainTime, func() { d.removeEndpoints(hit, float64(t.For)) })
		return
	}
	d.removeEndpoints(hit, float64(t.For))
}

func (d *simRun) removeEndpoints(hit []*receiver.Endpoint, comes float64) {
	for _, endpoint := range hit {
		endpoint.Fault.Removed = true
	}
	d.announce(hit)
	d.After(comes, func() {
		var fresh []*receiver.Endpoint
		for _, endpoint := range hit {
			fresh = append(fresh, endpoint.Destination.AddEndpoint(endpoint.Zone))
		}
		d.announce(fresh)
	})
}

// announce tells all forwarders of changed endpoints, after the list's lag.
func (d *simRun) announce(endpoints []*receiver.Endpoint) {
	d.After(float64(d.scenario.ListLag)+float64(d.scenario.NetworkDelay), func() {
		if d.listFaults > 0 { // it comes with the next change of the list, or when it comes again
			d.After(1, func() { d.announce(endpoints) })
			return
		}
		for _, t := range endpoints {
			if t.Fault.Draining || t.Fault.Removed {
				d.log.EndpointDraining(t.Destination.Number, t.Number)
			}
		}
		for _, n := range d.nodes {
			if n.up {
				n.updateEndpoints(endpoints)
			}
		}
	})
}
