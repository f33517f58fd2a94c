package experiment

import (
	"slices"

	"spanflow/lab/scenario"
	"spanflow/lab/sim"
)

const (
	maxShrinkSteps = 60
	shrunkLoss     = 0.75 // share of the loss that a shrunk scenario must keep
)

// Shrink simplifies a finding's scenario as long as it keeps three quarters of the loss.
func Shrink(f *Finding, newPolicy sim.PolicyFactory) *Finding {
	floor := f.Loss() * shrunkLoss
	s, steps := shrink(f.Scenario, func(s *scenario.Scenario) bool { return evaluate(s, f.Seed, newPolicy).Loss() >= floor })
	if steps == 0 {
		return f
	}
	smallest := evaluate(s, f.Seed, newPolicy)
	smallest.Steps = f.Steps + steps
	return smallest
}

// shrink simplifies a scenario step by step as long as it still reproduces the finding. Of the candidates that
// reproduce it, each step takes the first in list order, so that the result does not depend on which simulation ends
// first.
func shrink(s *scenario.Scenario, reproduces func(*scenario.Scenario) bool) (smallest *scenario.Scenario, steps int) {
	for ; steps < maxShrinkSteps; steps++ {
		candidates := slices.DeleteFunc(simplerScenarios(s), func(c *scenario.Scenario) bool { return len(c.Check()) > 0 })
		reproduced := make([]bool, len(candidates))
		parallel(len(candidates), func(i int) { reproduced[i] = reproduces(candidates[i]) })
		i := slices.Index(reproduced, true)
		if i < 0 {
			break
		}
		s = candidates[i]
	}
	return s, steps
}

// simplifier collects copies of a scenario, each with one change.
type simplifier struct {
	base *scenario.Scenario
	all  []*scenario.Scenario
}

// simplerScenarios returns copies of a scenario that are each simplified in one way.
func simplerScenarios(s *scenario.Scenario) []*scenario.Scenario {
	m := &simplifier{base: s}
	m.simplifyFaults()
	if s.Dispatch.Forwarders > 1 {
		m.add(func(c *scenario.Scenario) { c.Dispatch.Forwarders /= 2 })
	}
	if len(s.Types) > 1 {
		for i := range s.Types {
			m.add(func(c *scenario.Scenario) { c.Types = slices.Delete(c.Types, i, i+1) })
		}
	}
	m.simplifyReceivers()
	if s.Zones > 1 {
		m.add(func(c *scenario.Scenario) { c.Zones = 1 })
	}
	for i := range s.Load.Bursts {
		m.add(func(c *scenario.Scenario) { c.Load.Bursts = slices.Delete(c.Load.Bursts, i, i+1) })
	}
	if len(s.Tenants) > 0 {
		m.add(func(c *scenario.Scenario) { c.Tenants = nil })
	}
	m.removeReceivers()
	return m.all
}

// add appends a copy of the base with one change. It also copies the lists that changes modify.
func (m *simplifier) add(change func(*scenario.Scenario)) {
	c := *m.base
	c.Faults, c.Receivers, c.Types = slices.Clone(c.Faults), slices.Clone(c.Receivers), slices.Clone(c.Types)
	c.Load.Bursts = slices.Clone(c.Load.Bursts)
	change(&c)
	m.all = append(m.all, &c)
}

func (m *simplifier) simplifyFaults() {
	for i, f := range m.base.Faults {
		m.add(func(c *scenario.Scenario) { c.Faults = slices.Delete(c.Faults, i, i+1) })
		if len(f.Destinations) > 1 {
			m.add(func(c *scenario.Scenario) { c.Faults[i].Destinations = c.Faults[i].Destinations[:1] })
		}
		if f.OddForwarders {
			m.add(func(c *scenario.Scenario) { c.Faults[i].OddForwarders = false })
		}
	}
}

func (m *simplifier) simplifyReceivers() {
	for i, r := range m.base.Receivers {
		if r.Endpoints > 1 {
			m.add(func(c *scenario.Scenario) { c.Receivers[i].Endpoints = 1 })
		}
		if r.Rate > 0 {
			m.add(func(c *scenario.Scenario) { c.Receivers[i].Rate, c.Receivers[i].Burst = 0, 0 })
		}
		if r.EndpointLimits {
			m.add(func(c *scenario.Scenario) { c.Receivers[i].EndpointLimits = false })
		}
	}
}

// removeReceivers removes half of a group's destinations, or a whole group, together with their load, so that the
// remaining destinations get no more load than before.
func (m *simplifier) removeReceivers() {
	weights := 0.0
	for i := range m.base.Receivers {
		weights += m.base.Receivers[i].LoadWeight
	}
	for i, r := range m.base.Receivers {
		if r.Count > 1 {
			left := float64(r.Count/2) / float64(r.Count)
			m.add(func(c *scenario.Scenario) {
				c.Receivers[i].Count /= 2
				c.Receivers[i].LoadWeight *= left
				c.Load.PerSecond *= (weights - r.LoadWeight*(1-left)) / weights
			})
		}
		if len(m.base.Receivers) > 1 {
			m.add(func(c *scenario.Scenario) {
				c.Load.PerSecond *= (weights - r.LoadWeight) / weights
				c.Receivers = slices.Delete(c.Receivers, i, i+1)
			})
		}
	}
}
