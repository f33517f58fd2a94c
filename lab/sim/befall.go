package sim

import (
	"slices"

	"spanflow/lab/receiver"
	"spanflow/lab/scenario"
)

// befall puts the scene's troubles on the time line.
func (d *day) befall() {
	for i := range d.scene.Faults {
		t := &d.scene.Faults[i]
		at, end := begins+float64(t.At), begins+float64(t.At+t.For)
		switch t.Kind {
		case "stall":
			d.At(at, func() {
				for _, n := range d.some(t.Fraction) {
					n.standStill(end)
				}
			})
		case "restart":
			some := d.some(t.Fraction)
			for i, n := range some {
				d.At(at+float64(t.For)*float64(i)/float64(len(some)), n.kill)
			}
		case "reap":
			d.At(at, func() { d.reap++ })
			d.At(end, func() { d.reap-- })
		case "list":
			d.At(at, func() { d.noList++ })
			d.At(end, func() { d.noList-- })
		case "drain", "move":
			d.At(at, func() { d.replace(t) })
		default:
			d.At(at, func() {
				hit := d.hit(t)
				for _, target := range hit {
					begin(target, t, d.scene)
				}
				d.At(end, func() {
					for _, target := range hit {
						finish(target, t)
					}
				})
			})
		}
	}
}

// some is a share of the forwarders, rounded up.
func (d *day) some(share float64) []*node {
	n := int(share*float64(len(d.nodes)) + 0.999999)
	return d.nodes[:min(n, len(d.nodes))]
}

// hit is the endpoints that a trouble befalls.
func (d *day) hit(t *scenario.Fault) []*receiver.Endpoint {
	var all []*receiver.Endpoint
	for i, dest := range d.dests {
		if len(t.Destinations) > 0 && !slices.Contains(t.Destinations, i) || len(t.Destinations) == 0 && t.Receiver != "" && d.scene.Receivers[d.group[i]].Name != t.Receiver {
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

func begin(to *receiver.Endpoint, t *scenario.Fault, s *scenario.Scenario) {
	r := &to.Fault
	switch t.Kind {
	case "refuse":
		to.Down()
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

func finish(to *receiver.Endpoint, t *scenario.Fault) {
	r := &to.Fault
	if failed := r.MostlyFails(); failed {
		defer func() {
			if !r.MostlyFails() { // most calls failed: it comes back cold as after any outage
				to.Returns()
			}
		}()
	}
	switch t.Kind {
	case "refuse":
		to.Rise()
	case "hang":
		to.Resume()
	case "silent":
		if r.Silent--; r.Silent == 0 {
			to.Returns()
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

// replace lets endpoints go and others come in their place: drained first, with the list's word, or at once.
func (d *day) replace(t *scenario.Fault) {
	hit := d.hit(t)
	if t.Kind == "drain" {
		for _, target := range hit {
			target.Fault.Draining = true
		}
		d.list(hit)
		d.After(drainTime, func() { d.leave(hit, float64(t.For)) })
		return
	}
	d.leave(hit, float64(t.For))
}

func (d *day) leave(hit []*receiver.Endpoint, comes float64) {
	for _, target := range hit {
		target.Fault.Removed = true
	}
	d.list(hit)
	d.After(comes, func() {
		var fresh []*receiver.Endpoint
		for _, target := range hit {
			fresh = append(fresh, target.Destination.Add(target.Zone))
		}
		d.list(fresh)
	})
}

// list tells all forwarders of changed endpoints, after the list's lag.
func (d *day) list(targets []*receiver.Endpoint) {
	d.After(float64(d.scene.ListLag)+float64(d.scene.NetworkDelay), func() {
		if d.noList > 0 { // it comes with the next change of the list, or when it comes again
			d.After(1, func() { d.list(targets) })
			return
		}
		for _, t := range targets {
			if t.Fault.Draining || t.Fault.Removed {
				d.log.Leaving(t.Destination.Number, t.Number)
			}
		}
		for _, n := range d.nodes {
			if n.up {
				n.listed(targets)
			}
		}
	})
}
