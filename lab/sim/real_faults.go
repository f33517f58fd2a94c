package sim

import (
	"fmt"

	"spanflow/internal/emulator"
	"spanflow/lab/receiver"
)

func (d *realDay) entry(t *receiver.Endpoint) emulator.Entry {
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

// befall puts the scene's troubles on the wall clock; the lock is held. Reason the network alone could do (idle
// connections that die unseen, addresses that answer nothing) is beyond loopback without privileges: silence is a
// receiver that takes calls and says nothing.
func (d *realDay) befall() {
	sim := &day{scene: d.scene, dests: d.dests, group: d.group}
	for i := range d.scene.Faults {
		t := &d.scene.Faults[i]
		at, lasts := float64(t.At), float64(t.For)
		n := min(len(d.nodes), int(t.Fraction*float64(len(d.nodes))+0.999999))
		switch t.Kind {
		case "reap", "list":
		case "stall":
			d.After(at, func() {
				for _, p := range d.nodes[:n] {
					p.standStill(d.Now() + lasts)
				}
			})
		case "restart":
			for i, p := range d.nodes[:n] {
				d.After(at+lasts*float64(i)/float64(n), p.kill)
			}
		case "drain", "move":
			d.After(at, func() {
				hit := sim.hit(t)
				if t.Kind == "drain" {
					d.mark(hit, true, false)
					d.After(drainTime, func() { d.leave(hit, lasts) })
					return
				}
				d.leave(hit, lasts)
			})
		default:
			d.After(at, func() {
				hit := sim.hit(t)
				for _, target := range hit {
					begin(target, t, d.scene)
				}
				d.After(lasts, func() {
					for _, target := range hit {
						finish(target, t)
					}
				})
			})
		}
	}
}

func (d *realDay) mark(targets []*receiver.Endpoint, draining, left bool) {
	for _, t := range targets {
		t.Fault.Draining, t.Fault.Removed = draining, left
	}
	d.After(float64(d.scene.ListLag), func() {
		for _, t := range targets {
			d.log.Leaving(t.Destination.Number, t.Number)
			d.disc.Set(d.entry(t))
		}
	})
}

func (d *realDay) leave(hit []*receiver.Endpoint, comes float64) {
	d.mark(hit, false, true)
	d.After(comes, func() {
		for _, t := range hit {
			fresh := t.Destination.Add(t.Zone)
			if d.open(fresh) == nil {
				d.After(float64(d.scene.ListLag), func() { d.disc.Set(d.entry(fresh)) })
			}
		}
	})
}
