package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"spanflow/internal/config"
	"spanflow/lab/scenario"
)

// Random number streams for generating scenarios.
const (
	drawStream     = 17
	drawWideStream = 29
)

// faultKinds returns the kinds of faults, sorted.
func faultKinds() []string {
	var kinds []string
	for kind := range scenario.FaultKinds {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	return kinds
}

// roundToMillis rounds a time to whole milliseconds, the precision used in scenario files.
func roundToMillis(seconds float64) config.Duration {
	return config.Duration(math.Round(seconds*1000) / 1000)
}

// Draw generates a scenario from a base by drawing its size, load and faults at random. The same seed gives the same
// scenario.
func Draw(base *scenario.Scenario, seed uint64) *scenario.Scenario {
	random := rand.New(rand.NewPCG(seed, drawStream))
	s := *base
	s.Name = fmt.Sprintf("found-%d", seed)
	s.Length, s.Drain, s.Zones = 40, 25, 1+random.IntN(2)
	s.Dispatch.Forwarders = []int{1, 2, 3, 5, 12, 40}[random.IntN(6)]
	s.Dispatch.ConcurrencyLimit = []int{4, 8, 16, 32}[random.IntN(4)]
	s.Load.PerSecond = 10 * math.Pow(12, random.Float64())
	s.Receivers = slices.Clone(base.Receivers)
	destinations := 0
	for i := range s.Receivers {
		r := &s.Receivers[i]
		r.Endpoints = 1 + random.IntN(3)
		r.EndpointLimits = random.IntN(4) == 0
		r.Mean = roundToMillis(0.03 * math.Pow(10, random.Float64()))
		if random.IntN(3) == 0 {
			r.Rate, r.Burst, r.ReportsRetryAfter = 5+20*random.Float64(), 4, random.IntN(2) == 0
		}
		destinations += r.Count
	}
	kinds := faultKinds()
	s.Faults = nil
	for range 1 + random.IntN(4) {
		f := scenario.Fault{
			Kind:     kinds[random.IntN(len(kinds))],
			At:       roundToMillis(4 + 20*random.Float64()),
			For:      roundToMillis(1 + 14*random.Float64()),
			Fraction: 0.2 + 0.8*random.Float64(),
			By:       2 + 10*random.Float64(),
		}
		for range 1 + random.IntN(3) {
			f.Destinations = append(f.Destinations, random.IntN(destinations))
		}
		f.OddForwarders = random.IntN(4) == 0
		s.Faults = append(s.Faults, f)
	}
	return &s
}
