package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/pelletier/go-toml/v2"

	"spanflow/internal/config"
	"spanflow/lab/scenario"
	"spanflow/lab/sim"
)

// Finding is a scene in which the policy does badly.
type Finding struct {
	Scenario *scenario.Scenario
	Seed     uint64
	G        float64 // of the policy
	Best     float64 // of the best baseline that keeps the rules there
	Rules    []string
	Steps    int // by which it was shrunk
}

// Loss is how badly: a broken rule counts most, then what a baseline delivers more.
func (f *Finding) Loss() float64 { return float64(10*len(f.Rules)) + f.Best - f.G }

// Text is the finding as a scene file to keep.
func (f *Finding) Text() ([]byte, error) {
	s := *f.Scenario
	s.Seed = f.Seed
	s.About = fmt.Sprintf("Found by search: the module delivers %.3f, the best baseline that keeps the rules %.3f; rules broken: %v.", f.G, f.Best, f.Rules)
	return toml.Marshal(&s)
}

// Draw draws a scene from a base: size, load and troubles.
func Draw(base *scenario.Scenario, seed uint64) *scenario.Scenario {
	random := rand.New(rand.NewPCG(seed, 17))
	s := *base
	s.Name = fmt.Sprintf("found-%d", seed)
	s.Length, s.Drain, s.Zones = 40, 25, 1+random.IntN(2)
	s.Dispatch.Forwarders = []int{1, 2, 3, 5, 12, 40}[random.IntN(6)]
	s.Dispatch.ConcurrencyLimit = []int{4, 8, 16, 32}[random.IntN(4)]
	s.Load.PerSecond = 10 * math.Pow(12, random.Float64())
	s.Receivers = slices.Clone(base.Receivers)
	dests := 0
	for i := range s.Receivers {
		p := &s.Receivers[i]
		p.Endpoints = 1 + random.IntN(3)
		p.EndpointLimits = random.IntN(4) == 0
		p.Mean = roundToMillis(0.03 * math.Pow(10, random.Float64()))
		if random.IntN(3) == 0 {
			p.Rate, p.Burst, p.ReportsRetryAfter = 5+20*random.Float64(), 4, random.IntN(2) == 0
		}
		dests += p.Count
	}
	var kinds []string
	for k := range scenario.FaultKinds {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	s.Faults = nil
	for range 1 + random.IntN(4) {
		t := scenario.Fault{Kind: kinds[random.IntN(len(kinds))], At: roundToMillis(4 + 20*random.Float64()), For: roundToMillis(1 + 14*random.Float64()),
			Fraction: 0.2 + 0.8*random.Float64(), By: 2 + 10*random.Float64()}
		for range 1 + random.IntN(3) {
			t.Destinations = append(t.Destinations, random.IntN(dests))
		}
		t.OddForwarders = random.IntN(4) == 0
		s.Faults = append(s.Faults, t)
	}
	return &s
}

// roundToMillis is a time in whole milliseconds, as a file has it.
func roundToMillis(seconds float64) config.Duration {
	return config.Duration(math.Round(seconds*1000) / 1000)
}

// judge plays a scene with the policy and the baselines.
func judge(s *scenario.Scenario, seed uint64, make sim.Maker) *Finding {
	r := sim.Play(s, seed, make)
	f := &Finding{Scenario: s, Seed: seed, G: r.G}
	for _, b := range r.Violations {
		if !slices.Contains(f.Rules, string(b.Rule)) {
			f.Rules = append(f.Rules, string(b.Rule))
		}
	}
	var names []string
	for name := range sim.Baselines {
		if name == "oracle" { // what no forwarder can know is no reproach
			continue
		}
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if r := sim.Play(s, seed, sim.Baselines[name]); len(r.Violations) == 0 {
			f.Best = math.Max(f.Best, r.G)
		}
	}
	return f
}

// Search draws scenes until ctx ends or there were so many, and returns the worst, shrunk.
func Search(ctx context.Context, base *scenario.Scenario, make sim.Maker, from uint64, most, keep int, progress func(n int, worst float64)) []*Finding {
	var found []*Finding
	const batch = 16
	for n := 0; n < most && ctx.Err() == nil; n += batch {
		got := findings(batch)
		parallel(batch, func(i int) { got[i] = judge(Draw(base, from+uint64(n+i)), from+uint64(n+i), make) })
		found = append(found, got...)
		sort.SliceStable(found, func(i, j int) bool { return found[i].Loss() > found[j].Loss() })
		found = found[:min(len(found), keep)]
		if progress != nil {
			progress(n+batch, found[0].Loss())
		}
	}
	parallel(len(found), func(i int) { found[i] = Shrink(found[i], make) })
	return found
}

func findings(n int) []*Finding { return make([]*Finding, n) }

const maxShrinkSteps = 60

// Shrink makes a finding smaller as long as three quarters of the loss stay.
func Shrink(f *Finding, make sim.Maker) *Finding {
	floor := f.Loss() * 0.75
	s, steps := shrink(f.Scenario, func(s *scenario.Scenario) bool { return judge(s, f.Seed, make).Loss() >= floor })
	if steps == 0 {
		return f
	}
	best := judge(s, f.Seed, make)
	best.Steps = f.Steps + steps
	return best
}

// shrink takes one thing after the other from a scene as long as it still shows what it showed: of those that may go, the
// first that may, whatever comes first of what is tried at once.
func shrink(s *scenario.Scenario, still func(*scenario.Scenario) bool) (smallest *scenario.Scenario, steps int) {
	for ; steps < maxShrinkSteps; steps++ {
		tries := slices.DeleteFunc(simplerScenarios(s), func(c *scenario.Scenario) bool { return len(c.Check()) > 0 })
		shows := flags(len(tries))
		parallel(len(tries), func(i int) { shows[i] = still(tries[i]) })
		i := slices.Index(shows, true)
		if i < 0 {
			break
		}
		s = tries[i]
	}
	return s, steps
}

func flags(n int) []bool { return make([]bool, n) }

// simplerScenarios are scenes with one thing less.
func simplerScenarios(s *scenario.Scenario) []*scenario.Scenario {
	var all []*scenario.Scenario
	add := func(change func(s *scenario.Scenario)) {
		c := *s
		c.Faults, c.Receivers, c.Types = slices.Clone(s.Faults), slices.Clone(s.Receivers), slices.Clone(s.Types)
		c.Load.Bursts = slices.Clone(s.Load.Bursts)
		change(&c)
		all = append(all, &c)
	}
	for i := range s.Faults {
		add(func(c *scenario.Scenario) { c.Faults = slices.Delete(c.Faults, i, i+1) })
		if len(s.Faults[i].Destinations) > 1 {
			add(func(c *scenario.Scenario) { c.Faults[i].Destinations = c.Faults[i].Destinations[:1] })
		}
		if s.Faults[i].OddForwarders {
			add(func(c *scenario.Scenario) { c.Faults[i].OddForwarders = false })
		}
	}
	if s.Dispatch.Forwarders > 1 {
		add(func(c *scenario.Scenario) { c.Dispatch.Forwarders /= 2 })
	}
	if len(s.Types) > 1 {
		for i := range s.Types {
			add(func(c *scenario.Scenario) { c.Types = slices.Delete(c.Types, i, i+1) })
		}
	}
	for i := range s.Receivers {
		p := s.Receivers[i]
		if p.Endpoints > 1 {
			add(func(c *scenario.Scenario) { c.Receivers[i].Endpoints = 1 })
		}
		if p.Rate > 0 {
			add(func(c *scenario.Scenario) { c.Receivers[i].Rate, c.Receivers[i].Burst = 0, 0 })
		}
		if p.EndpointLimits {
			add(func(c *scenario.Scenario) { c.Receivers[i].EndpointLimits = false })
		}
	}
	if s.Zones > 1 {
		add(func(c *scenario.Scenario) { c.Zones = 1 })
	}
	for i := range s.Load.Bursts {
		add(func(c *scenario.Scenario) { c.Load.Bursts = slices.Delete(c.Load.Bursts, i, i+1) })
	}
	if len(s.Tenants) > 0 {
		add(func(c *scenario.Scenario) { c.Tenants = nil })
	}
	parts := 0.0
	for i := range s.Receivers {
		parts += s.Receivers[i].LoadWeight
	}
	for i := range s.Receivers { // the load of those that go goes with them: the others are to get no more than before
		if p := s.Receivers[i]; p.Count > 1 {
			left := float64(p.Count/2) / float64(p.Count)
			add(func(c *scenario.Scenario) {
				c.Receivers[i].Count /= 2
				c.Receivers[i].LoadWeight *= left
				c.Load.PerSecond *= (parts - p.LoadWeight*(1-left)) / parts
			})
		}
		if len(s.Receivers) > 1 {
			add(func(c *scenario.Scenario) {
				c.Load.PerSecond *= (parts - s.Receivers[i].LoadWeight) / parts
				c.Receivers = slices.Delete(c.Receivers, i, i+1)
			})
		}
	}
	return all
}
