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
	Scene *scenario.Scene
	Seed  uint64
	G     float64 // of the policy
	Best  float64 // of the best baseline that keeps the rules there
	Rules []string
	Steps int // by which it was shrunk
}

// Loss is how badly: a broken rule counts most, then what a baseline delivers more.
func (f *Finding) Loss() float64 { return float64(10*len(f.Rules)) + f.Best - f.G }

// Text is the finding as a scene file to keep.
func (f *Finding) Text() ([]byte, error) {
	s := *f.Scene
	s.Seed = f.Seed
	s.About = fmt.Sprintf("Found by search: the module delivers %.3f, the best baseline that keeps the rules %.3f; rules broken: %v.", f.G, f.Best, f.Rules)
	return toml.Marshal(&s)
}

// Draw draws a scene from a base: size, load and troubles.
func Draw(base *scenario.Scene, seed uint64) *scenario.Scene {
	dice := rand.New(rand.NewPCG(seed, 17))
	s := *base
	s.Name = fmt.Sprintf("found-%d", seed)
	s.Length, s.Drain, s.Zones = 40, 25, 1+dice.IntN(2)
	s.Dispatch.Forwarders = []int{1, 2, 3, 5, 12, 40}[dice.IntN(6)]
	s.Dispatch.ConcurrencyLimit = []int{4, 8, 16, 32}[dice.IntN(4)]
	s.Load.PerSecond = 10 * math.Pow(12, dice.Float64())
	s.Partners = slices.Clone(base.Partners)
	dests := 0
	for i := range s.Partners {
		p := &s.Partners[i]
		p.Targets = 1 + dice.IntN(3)
		p.Apart = dice.IntN(4) == 0
		p.Mean = ms(0.03 * math.Pow(10, dice.Float64()))
		if dice.IntN(3) == 0 {
			p.Rate, p.Burst, p.Tells = 5+20*dice.Float64(), 4, dice.IntN(2) == 0
		}
		dests += p.Count
	}
	var kinds []string
	for k := range scenario.Kinds {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	s.Troubles = nil
	for range 1 + dice.IntN(4) {
		t := scenario.Trouble{Kind: kinds[dice.IntN(len(kinds))], At: ms(4 + 20*dice.Float64()), For: ms(1 + 14*dice.Float64()),
			Share: 0.2 + 0.8*dice.Float64(), By: 2 + 10*dice.Float64()}
		for range 1 + dice.IntN(3) {
			t.Dest = append(t.Dest, dice.IntN(dests))
		}
		t.Odd = dice.IntN(4) == 0
		s.Troubles = append(s.Troubles, t)
	}
	return &s
}

// ms is a time in whole milliseconds, as a file has it.
func ms(seconds float64) config.Duration { return config.Duration(math.Round(seconds*1000) / 1000) }

// judge plays a scene with the policy and the baselines.
func judge(s *scenario.Scene, seed uint64, make sim.Maker) *Finding {
	r := sim.Play(s, seed, make)
	f := &Finding{Scene: s, Seed: seed, G: r.G}
	for _, b := range r.Breaches {
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
		if r := sim.Play(s, seed, sim.Baselines[name]); len(r.Breaches) == 0 {
			f.Best = math.Max(f.Best, r.G)
		}
	}
	return f
}

// Search draws scenes until ctx ends or there were so many, and returns the worst, shrunk.
func Search(ctx context.Context, base *scenario.Scene, make sim.Maker, from uint64, most, keep int, progress func(n int, worst float64)) []*Finding {
	var found []*Finding
	const batch = 16
	for n := 0; n < most && ctx.Err() == nil; n += batch {
		got := findings(batch)
		each(batch, func(i int) { got[i] = judge(Draw(base, from+uint64(n+i)), from+uint64(n+i), make) })
		found = append(found, got...)
		sort.SliceStable(found, func(i, j int) bool { return found[i].Loss() > found[j].Loss() })
		found = found[:min(len(found), keep)]
		if progress != nil {
			progress(n+batch, found[0].Loss())
		}
	}
	each(len(found), func(i int) { found[i] = Shrink(found[i], make) })
	return found
}

func findings(n int) []*Finding { return make([]*Finding, n) }

const mostShrinks = 60

// Shrink makes a finding smaller as long as three quarters of the loss stay.
func Shrink(f *Finding, make sim.Maker) *Finding {
	floor := f.Loss() * 0.75
	s, steps := shrink(f.Scene, func(s *scenario.Scene) bool { return judge(s, f.Seed, make).Loss() >= floor })
	if steps == 0 {
		return f
	}
	best := judge(s, f.Seed, make)
	best.Steps = f.Steps + steps
	return best
}

// shrink takes one thing after the other from a scene as long as it still shows what it showed: of those that may go, the
// first that may, whatever comes first of what is tried at once.
func shrink(s *scenario.Scene, still func(*scenario.Scene) bool) (smallest *scenario.Scene, steps int) {
	for ; steps < mostShrinks; steps++ {
		tries := slices.DeleteFunc(simpler(s), func(c *scenario.Scene) bool { return len(c.Check()) > 0 })
		shows := flags(len(tries))
		each(len(tries), func(i int) { shows[i] = still(tries[i]) })
		i := slices.Index(shows, true)
		if i < 0 {
			break
		}
		s = tries[i]
	}
	return s, steps
}

func flags(n int) []bool { return make([]bool, n) }

// simpler are scenes with one thing less.
func simpler(s *scenario.Scene) []*scenario.Scene {
	var all []*scenario.Scene
	add := func(change func(s *scenario.Scene)) {
		c := *s
		c.Troubles, c.Partners, c.Types = slices.Clone(s.Troubles), slices.Clone(s.Partners), slices.Clone(s.Types)
		c.Load.Clumps = slices.Clone(s.Load.Clumps)
		change(&c)
		all = append(all, &c)
	}
	for i := range s.Troubles {
		add(func(c *scenario.Scene) { c.Troubles = slices.Delete(c.Troubles, i, i+1) })
		if len(s.Troubles[i].Dest) > 1 {
			add(func(c *scenario.Scene) { c.Troubles[i].Dest = c.Troubles[i].Dest[:1] })
		}
		if s.Troubles[i].Odd {
			add(func(c *scenario.Scene) { c.Troubles[i].Odd = false })
		}
	}
	if s.Dispatch.Forwarders > 1 {
		add(func(c *scenario.Scene) { c.Dispatch.Forwarders /= 2 })
	}
	if len(s.Types) > 1 {
		for i := range s.Types {
			add(func(c *scenario.Scene) { c.Types = slices.Delete(c.Types, i, i+1) })
		}
	}
	for i := range s.Partners {
		p := s.Partners[i]
		if p.Targets > 1 {
			add(func(c *scenario.Scene) { c.Partners[i].Targets = 1 })
		}
		if p.Rate > 0 {
			add(func(c *scenario.Scene) { c.Partners[i].Rate, c.Partners[i].Burst = 0, 0 })
		}
		if p.Apart {
			add(func(c *scenario.Scene) { c.Partners[i].Apart = false })
		}
	}
	if s.Zones > 1 {
		add(func(c *scenario.Scene) { c.Zones = 1 })
	}
	for i := range s.Load.Clumps {
		add(func(c *scenario.Scene) { c.Load.Clumps = slices.Delete(c.Load.Clumps, i, i+1) })
	}
	if len(s.Tenants) > 0 {
		add(func(c *scenario.Scene) { c.Tenants = nil })
	}
	parts := 0.0
	for i := range s.Partners {
		parts += s.Partners[i].Part
	}
	for i := range s.Partners { // the load of those that go goes with them: the others are to get no more than before
		if p := s.Partners[i]; p.Count > 1 {
			left := float64(p.Count/2) / float64(p.Count)
			add(func(c *scenario.Scene) {
				c.Partners[i].Count /= 2
				c.Partners[i].Part *= left
				c.Load.PerSecond *= (parts - p.Part*(1-left)) / parts
			})
		}
		if len(s.Partners) > 1 {
			add(func(c *scenario.Scene) {
				c.Load.PerSecond *= (parts - s.Partners[i].Part) / parts
				c.Partners = slices.Delete(c.Partners, i, i+1)
			})
		}
	}
	return all
}
