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

// Finding is a scenario in which a policy performs badly.
type Finding struct {
	Scenario *scenario.Scenario
	Seed     uint64
	G        float64  // share of the value that the policy delivers
	Best     float64  // highest share among the baselines that keep the rules in this scenario
	Rules    []string // rules that the policy breaks
	Steps    int      // number of steps by which the scenario was shrunk
}

// brokenRuleLoss is the loss of one broken rule. It outweighs any share of the value, which is at most 1.
const brokenRuleLoss = 10

// Loss rates how badly the policy performs. Broken rules count most, then the share of the value by which the best
// baseline delivers more.
func (f *Finding) Loss() float64 { return float64(brokenRuleLoss*len(f.Rules)) + f.Best - f.G }

// Text returns the finding as a scenario file.
func (f *Finding) Text() ([]byte, error) {
	s := *f.Scenario
	s.Seed = f.Seed
	s.About = fmt.Sprintf("Found by search: the module delivers %.3f, the best baseline that keeps the rules %.3f; rules broken: %v.", f.G, f.Best, f.Rules)
	return toml.Marshal(&s)
}

// evaluate compares a policy with the baselines on a scenario.
func evaluate(s *scenario.Scenario, seed uint64, newPolicy sim.PolicyFactory) *Finding {
	r := sim.Play(s, seed, newPolicy)
	f := &Finding{Scenario: s, Seed: seed, G: r.G}
	for _, v := range r.Violations {
		if !slices.Contains(f.Rules, string(v.Rule)) {
			f.Rules = append(f.Rules, string(v.Rule))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(sim.Baselines)) {
		if name == "oracle" { // it has information that no forwarder can have
			continue
		}
		if r := sim.Play(s, seed, sim.Baselines[name]); len(r.Violations) == 0 {
			f.Best = math.Max(f.Best, r.G)
		}
	}
	return f
}

const findingsBatch = 16 // scenarios simulated between two progress reports

// Search generates scenarios until ctx is done or it has reached the limit, rounded up to whole batches. It returns the
// worst findings, shrunk, at most keep of them. progress is called after each batch with the number of
// scenarios simulated so far and the worst loss; it may be nil.
func Search(ctx context.Context, base *scenario.Scenario, newPolicy sim.PolicyFactory, from uint64, limit, keep int, progress func(n int, worst float64)) []*Finding {
	var found []*Finding
	for n := 0; n < limit && ctx.Err() == nil; n += findingsBatch {
		batch := make([]*Finding, findingsBatch)
		parallel(findingsBatch, func(i int) {
			seed := from + uint64(n+i)
			batch[i] = evaluate(Draw(base, seed), seed, newPolicy)
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
