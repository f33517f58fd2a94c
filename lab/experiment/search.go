package experiment

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"

	"github.com/pelletier/go-toml/v2"

	"spanflow/lab/scenario"
	"spanflow/lab/sim"
)

// Finding is a scenario in which a policy does badly.
type Finding struct {
	Scenario *scenario.Scenario
	Seed     uint64
	G        float64  // share of the value that the policy delivers
	Best     float64  // the best baseline's that keeps the rules there
	Rules    []string // that the policy breaks
	Steps    int      // by which the scenario was shrunk
}

// brokenRuleLoss is how much a broken rule counts against shares of value.
const brokenRuleLoss = 10

// Loss is how badly the policy does: a broken rule counts most, then what a baseline delivers more.
func (f *Finding) Loss() float64 { return float64(brokenRuleLoss*len(f.Rules)) + f.Best - f.G }

// Text is the finding as a scenario file to keep.
func (f *Finding) Text() ([]byte, error) {
	s := *f.Scenario
	s.Seed = f.Seed
	s.About = fmt.Sprintf("Found by search: the module delivers %.3f, the best baseline that keeps the rules %.3f; rules broken: %v.", f.G, f.Best, f.Rules)
	return toml.Marshal(&s)
}

// judge plays a scenario with a policy and the baselines.
func judge(s *scenario.Scenario, seed uint64, newPolicy sim.PolicyFactory) *Finding {
	r := sim.Play(s, seed, newPolicy)
	f := &Finding{Scenario: s, Seed: seed, G: r.G}
	for _, v := range r.Violations {
		if !slices.Contains(f.Rules, string(v.Rule)) {
			f.Rules = append(f.Rules, string(v.Rule))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sim.Baselines)) {
		if name == "oracle" { // it knows what no forwarder can: no fair comparison
			continue
		}
		if r := sim.Play(s, seed, sim.Baselines[name]); len(r.Violations) == 0 {
			f.Best = math.Max(f.Best, r.G)
		}
	}
	return f
}

const findingsBatch = 16 // scenarios

// Search draws scenarios until ctx ends or limit scenarios were drawn, and returns the worst, shrunk; keep is how many.
// progress, which may be nil, gets how many were drawn and the worst loss.
func Search(ctx context.Context, base *scenario.Scenario, newPolicy sim.PolicyFactory, from uint64, limit, keep int, progress func(n int, worst float64)) []*Finding {
	var found []*Finding
	for n := 0; n < limit && ctx.Err() == nil; n += findingsBatch {
		batch := make([]*Finding, findingsBatch)
		parallel(findingsBatch, func(i int) {
			seed := from + uint64(n+i)
			batch[i] = judge(Draw(base, seed), seed, newPolicy)
		})
		found = append(found, batch...)
		sort.SliceStable(found, func(i, j int) bool { return found[i].Loss() > found[j].Loss() })
		found = found[:min(len(found), keep)]
		if progress != nil {
			progress(n+findingsBatch, found[0].Loss())
		}
	}
	parallel(len(found), func(i int) { found[i] = Shrink(found[i], newPolicy) })
	return found
}
