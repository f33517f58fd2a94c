// Package experiment simulates scenarios many times: paired comparisons by seed, sweeps along an axis, and searches for
// scenarios in which a policy performs badly or breaks a rule.
package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"

	"spanflow/internal/config"
	"spanflow/lab/scenario"
	"spanflow/lab/sim"
)

// Arm is one side of a comparison: a scenario and the policy that is simulated on it.
type Arm struct {
	Name      string
	Scenario  *scenario.Scenario
	NewPolicy sim.PolicyFactory
}

// Play simulates an arm once with each seed, one run per core at a time. The results are in the order of the seeds.
// done is called after each run, from several goroutines; it may be nil.
func Play(a Arm, seeds []uint64, done func()) []*sim.Result {
	all := make([]*sim.Result, len(seeds))
	parallel(len(seeds), func(i int) {
		all[i] = sim.Play(a.Scenario, seeds[i], a.NewPolicy)
		if done != nil {
			done()
		}
	})
	return all
}

// parallel calls do with each number from 0 to n-1, on one goroutine per core.
func parallel(n int, do func(i int)) {
	var wg sync.WaitGroup
	next := make(chan int)
	for range min(n, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for i := range next {
				do(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
}

// Seeds returns n consecutive seeds, starting with from.
func Seeds(from uint64, n int) []uint64 {
	seeds := make([]uint64, n)
	for i := range seeds {
		seeds[i] = from + uint64(i)
	}
	return seeds
}

// Summary aggregates the results of an arm over its seeds. G is the share of the value that was delivered.
type Summary struct {
	Name       string         `json:"name"`
	G          []float64      `json:"g"` // in the order of the seeds
	Mean       float64        `json:"mean_g"`
	Worst      float64        `json:"worst_g"`
	P99        float64        `json:"mean_p99_s"`
	Violations map[string]int `json:"breaches"`
}

// Summarize aggregates the results of an arm; P99 is the mean of the runs' 99th percentiles.
func Summarize(name string, results []*sim.Result) Summary {
	s := Summary{Name: name, Worst: math.Inf(1), Violations: map[string]int{}}
	for _, r := range results {
		s.G = append(s.G, r.G)
		s.Mean += r.G / float64(len(results))
		s.Worst = math.Min(s.Worst, r.G)
		s.P99 += r.Latency.P99 / float64(len(results))
		for _, v := range r.Violations {
			s.Violations[string(v.Rule)]++
		}
	}
	return s
}

// Comparison is the outcome of two arms that were simulated with the same seeds.
type Comparison struct {
	A       Summary `json:"a"`
	B       Summary `json:"b"`
	Mean    float64 `json:"mean_difference"` // of the share of value delivered, B minus A
	Low     float64 `json:"low"`             // Low to High is the middle 95% of the resampled means
	High    float64 `json:"high"`
	Verdict string  `json:"verdict"`
}

const resamples = 4000

// Compare simulates both arms with each seed and estimates the mean difference of the pairs by resampling. done is
// called after each run, from several goroutines; it may be nil.
func Compare(a, b Arm, seeds []uint64, done func()) Comparison {
	ra, rb := make([]*sim.Result, len(seeds)), make([]*sim.Result, len(seeds))
	parallel(2*len(seeds), func(i int) { // interleaves the arms
		if i%2 == 0 {
			ra[i/2] = sim.Play(a.Scenario, seeds[i/2], a.NewPolicy)
		} else {
			rb[i/2] = sim.Play(b.Scenario, seeds[i/2], b.NewPolicy)
		}
		if done != nil {
			done()
		}
	})
	c := Comparison{A: Summarize(a.Name, ra), B: Summarize(b.Name, rb)}
	diffs := make([]float64, len(seeds))
	for i := range seeds {
		diffs[i] = c.B.G[i] - c.A.G[i]
	}
	c.Mean, c.Low, c.High = bootstrap(diffs)
	switch {
	case c.Low > 0:
		c.Verdict = fmt.Sprintf("%s delivers more", b.Name)
	case c.High < 0:
		c.Verdict = fmt.Sprintf("%s delivers more", a.Name)
	default:
		c.Verdict = "no difference seen"
	}
	return c
}

// bootstrap returns the mean of the values and the middle 95% of the means of resamples. It is deterministic.
func bootstrap(values []float64) (mean, low, high float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	random := rand.New(rand.NewPCG(11, 13))
	means := make([]float64, resamples)
	for i := range means {
		for range values {
			means[i] += values[random.IntN(len(values))] / float64(len(values))
		}
	}
	slices.Sort(means)
	return mean, means[resamples*25/1000], means[resamples*975/1000]
}

// Axes are the axes of a sweep, by name. Each function sets or scales one property of a scenario.
var Axes = map[string]func(s *scenario.Scenario, x float64){
	"forwarders": func(s *scenario.Scenario, x float64) { s.Dispatch.Forwarders = max(1, int(x)) },
	"slots":      func(s *scenario.Scenario, x float64) { s.Dispatch.ConcurrencyLimit = max(1, int(x)) },
	"load":       func(s *scenario.Scenario, x float64) { s.Load.PerSecond *= x },
	"trouble": func(s *scenario.Scenario, x float64) { // scales the duration of each fault
		s.Faults = slices.Clone(s.Faults)
		for i := range s.Faults {
			s.Faults[i].For *= config.Duration(x)
		}
	},
	"destinations": func(s *scenario.Scenario, x float64) {
		s.Receivers = slices.Clone(s.Receivers)
		for i := range s.Receivers {
			s.Receivers[i].Count = max(1, int(float64(s.Receivers[i].Count)*x))
		}
		s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f scenario.Fault) bool { return len(f.Destinations) > 0 && x < 1 })
	},
}

// Vary returns a copy of a scenario that is changed along an axis. It returns an error if the axis is unknown
// or the copy is invalid.
func Vary(s *scenario.Scenario, axis string, x float64) (*scenario.Scenario, error) {
	set := Axes[axis]
	if set == nil {
		return nil, fmt.Errorf("unknown axis %q", axis)
	}
	v := *s
	set(&v, x)
	if problems := v.Check(); len(problems) > 0 {
		return nil, problems
	}
	return &v, nil
}
