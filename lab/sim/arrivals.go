package sim

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"spanflow/lab/load"
	"spanflow/lab/scenario"
)

// arrivalPlan draws the effects that clients want in a run.
type arrivalPlan struct {
	scenario     *scenario.Scenario
	random       *rand.Rand
	destinations load.Picker
	types        load.Picker
	tenants      load.Picker
	effects      []*effect
}

// planArrivals draws the effects that clients want in a run and sorts them by time. They do not depend on the events of
// the run.
func planArrivals(s *scenario.Scenario, random *rand.Rand) []*effect {
	p := newArrivalPlan(s, random)
	p.addSteadyLoad()
	for i := range s.Load.Bursts {
		p.addBurst(i, &s.Load.Bursts[i])
	}
	slices.SortStableFunc(p.effects, func(a, b *effect) int { return cmp.Compare(a.submittedAt, b.submittedAt) })
	return p.effects
}

func newArrivalPlan(s *scenario.Scenario, random *rand.Rand) *arrivalPlan {
	var destinations, types, tenants []float64
	for _, r := range s.Receivers {
		for _, weight := range load.Zipf(r.Count, r.Skew).Weights() {
			destinations = append(destinations, weight*r.LoadWeight)
		}
	}
	for _, t := range s.Types {
		types = append(types, t.LoadWeight)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, t.LoadWeight)
	}
	return &arrivalPlan{
		scenario:     s,
		random:       random,
		destinations: load.Weighted(destinations),
		types:        load.Weighted(types),
		tenants:      load.Weighted(tenants),
	}
}

// addSteadyLoad adds the load outside bursts, at the rate of the scenario's shape.
func (p *arrivalPlan) addSteadyLoad() {
	shape := p.scenario.Shape()
	for i := range shape {
		shape[i].At += startTime
	}
	end := startTime + float64(p.scenario.Length)
	moments := load.Even(shape, end)
	if p.scenario.Load.Arrivals == scenario.ArrivalsPoisson {
		moments = load.Poisson(shape, end, p.random)
	}
	moments.StartAt(startTime)
	for {
		at, more := moments.Next()
		if !more {
			return
		}
		destination := p.destinations.Pick(p.random)
		p.add(at, destination, p.drawTenant(), 0)
	}
}

// addBurst adds a burst. index is its index in the scenario; it makes the ordering key of the burst unique.
func (p *arrivalPlan) addBurst(index int, burst *scenario.Burst) {
	for range burst.Count {
		destination, tenant, key := burst.Destination, p.drawTenant(), uint64(0)
		if destination == scenario.AnyDestination {
			destination = p.destinations.Pick(p.random)
		}
		for t := range p.scenario.Tenants {
			if p.scenario.Tenants[t].Name == burst.Tenant {
				tenant = t
			}
		}
		if burst.SameKey {
			key = uint64(destination+1)<<32 | 0xff<<24 | uint64(index+1)
		}
		p.add(startTime+float64(burst.At), destination, tenant, key)
	}
}

func (p *arrivalPlan) drawTenant() int {
	if len(p.scenario.Tenants) == 0 {
		return 0
	}
	return p.tenants.Pick(p.random)
}

// add adds an effect of a randomly drawn type. If the type has ordering keys and key is 0, the key is also drawn. An
// ordering key is used for one destination only.
func (p *arrivalPlan) add(at float64, destination, tenant int, key uint64) {
	e := &effect{submittedAt: at, destination: destination, tenant: tenant}
	e.typeIndex = p.types.Pick(p.random)
	e.messageType = &p.scenario.Types[e.typeIndex]
	e.expiry = at + float64(e.messageType.TimeToLive)
	if e.messageType.Idempotency == scenario.IdempotentWithKey {
		e.idempotencyKey = p.random.Uint64() | 1
	}
	if e.messageType.InOrder {
		if e.key = key; key == 0 {
			e.key = uint64(destination+1)<<32 | uint64(e.typeIndex)<<24 | uint64(p.random.IntN(e.messageType.Keys)+1)
		}
	}
	p.effects = append(p.effects, e)
}
