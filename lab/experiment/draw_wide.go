package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"spanflow/internal/config"
	"spanflow/lab/scenario"
)

const (
	maxSize     = 300    // maximum number of forwarders, and of endpoints
	maxMessages = 5000.0 // per scenario; low enough to simulate many scenarios
	maxGroups   = 5      // maximum number of groups of destinations
	// minOutage is in seconds. The scheduler treats shorter outages as network losses, after which no endpoint enters
	// slow start (docs/design.md). The outages that operators see last five seconds or more.
	minOutage = 3.5
)

// wideDraw generates one scenario. It draws in a fixed order, so that the same seed gives the same scenario.
type wideDraw struct {
	random   *rand.Rand
	scenario *scenario.Scenario
}

// between draws from a uniform distribution.
func (w *wideDraw) between(low, high float64) float64 { return low + (high-low)*w.random.Float64() }

// logarithmic draws from a log-uniform distribution.
func (w *wideDraw) logarithmic(low, high float64) float64 {
	return low * math.Pow(high/low, w.random.Float64())
}

// chance returns true with the given probability.
func (w *wideDraw) chance(probability float64) bool { return w.random.Float64() < probability }

// DrawWide generates a scenario in which every dimension is random: 1 to 300 forwarders and endpoints, limits, message
// types, and one to four faults that mostly overlap. The same seed gives the same scenario.
func DrawWide(seed uint64) *scenario.Scenario {
	w := &wideDraw{random: rand.New(rand.NewPCG(seed, drawWideStream))}
	w.drawScenario(seed)
	w.drawDispatch()
	for i := range 1 + w.random.IntN(3) {
		w.drawType(i)
	}
	for i := range w.random.IntN(4) {
		w.scenario.Tenants = append(w.scenario.Tenants,
			scenario.Tenant{Name: fmt.Sprint("store-", i), PerSecond: w.logarithmic(2, 50), LoadWeight: w.between(0.2, 3)})
	}
	destinations, capacity := w.drawReceivers()
	w.drawLoad(destinations, capacity)
	w.drawFaults(destinations)
	return w.scenario
}

func (w *wideDraw) drawScenario(seed uint64) {
	w.scenario = &scenario.Scenario{
		Name:         fmt.Sprintf("hunt-%d", seed),
		Seed:         seed,
		Length:       40,
		Drain:        26,
		Zones:        1 + w.random.IntN(2),
		NetworkDelay: roundToMillis(w.logarithmic(0.001, 0.05)),
		Dispatch:     config.Defaults().Dispatch,
		Load:         scenario.Load{Arrivals: scenario.ArrivalsPoisson},
		Resubmit:     w.chance(0.8),
	}
}

func (w *wideDraw) drawDispatch() {
	d := &w.scenario.Dispatch
	d.Forwarders = int(w.logarithmic(1, maxSize+0.99))
	d.ConcurrencyLimit, d.QueueCapacity, d.MaxAttempts = int(w.logarithmic(3, 64.99)), int(w.logarithmic(20, 600)), 3+w.random.IntN(6)
	d.SlowStartShare, d.SlowStartDuration, d.OverloadMultiple = w.between(0.15, 0.3), roundToMillis(w.between(5, 14)), w.between(1.5, 3)
	d.KeyCooldown, d.IdleTimeout, d.Connect = roundToMillis(w.between(0.05, 0.2)), roundToMillis(w.logarithmic(5, 30)), roundToMillis(w.between(0.25, 1.5))
	if w.chance(0.2) {
		d.MaxRetryAfter = 0
	}
	d.ListedRates = []string{"none", "none", "exact", "rough"}[w.random.IntN(4)]
	if w.chance(0.3) {
		w.scenario.ListLag = roundToMillis(w.between(0.1, 2))
	}
}

func (w *wideDraw) drawType(index int) {
	idempotencies := []string{scenario.Idempotent, scenario.IdempotentWithKey, scenario.AtMostOnce}
	t := scenario.Type{
		Name:             fmt.Sprint("type-", index),
		Idempotency:      idempotencies[w.random.IntN(len(idempotencies))],
		Group:            scenario.KnownInAllZones,
		LatencyObjective: roundToMillis(w.between(1, 5)),
		LoadWeight:       w.between(0.3, 3),
		Value:            1,
		Keys:             int(w.logarithmic(5, 1000)),
		InOrder:          w.chance(0.4),
	}
	t.TimeToLive = t.LatencyObjective + roundToMillis(w.between(3, 18))
	if t.Idempotency == scenario.IdempotentWithKey {
		t.DeduplicationWindow = roundToMillis(w.between(3, 18))
		if w.scenario.Zones > 1 && w.chance(0.3) {
			t.Group = scenario.KnownInOneZone
		}
	}
	w.scenario.Types = append(w.scenario.Types, t)
}

// drawReceivers draws groups of destinations. It returns the number of destinations and their total capacity in
// messages per second.
func (w *wideDraw) drawReceivers() (destinations int, capacity float64) {
	left := int(w.logarithmic(1, maxSize+0.99))
	for i := 0; left > 0 && i < maxGroups; i++ {
		r := w.drawReceiver(i, left)
		left -= r.Count * r.Endpoints
		if w.chance(0.25) {
			r.Batch = 2 + w.random.IntN(9)
		}
		limit := w.drawLimit(&r)
		// The load is roughly proportional to the calls accepted, so that most of it goes to groups with capacity.
		r.LoadWeight = float64(r.Count) * limit * w.between(0.5, 1.1)
		destinations, capacity = destinations+r.Count, capacity+float64(r.Count)*limit
		w.scenario.Receivers = append(w.scenario.Receivers, r)
	}
	return destinations, capacity
}

// drawReceiver draws a group of destinations with at most maxEndpoints endpoints in total.
func (w *wideDraw) drawReceiver(index, maxEndpoints int) scenario.Receiver {
	services := []string{scenario.ServiceFixed, scenario.ServiceExponential, scenario.ServiceLognormal, scenario.ServiceLognormal}
	r := scenario.Receiver{
		Name:              fmt.Sprint("group-", index),
		Endpoints:         1 + w.random.IntN(min(4, maxEndpoints)),
		Batch:             1,
		EndpointLimits:    w.chance(0.25),
		Service:           services[w.random.IntN(len(services))],
		Mean:              roundToMillis(w.logarithmic(0.02, 0.5)),
		Concurrency:       int(w.logarithmic(1, 8.99)),
		Queue:             w.random.IntN(17),
		ReportsRetryAfter: w.chance(0.5),
		ReportsLimit:      w.chance(0.3),
		Skew:              w.between(0, 0.3),
		OverloadDowntime:  roundToMillis(w.between(3, 10)),
		OverloadWindow:    roundToMillis(w.between(1, 2)),
	}
	if r.Service == scenario.ServiceLognormal {
		r.Sigma = w.between(0.2, 1.2)
	}
	if r.Count = maxEndpoints / r.Endpoints; index < maxGroups-1 {
		r.Count = 1 + w.random.IntN(r.Count)
	}
	return r
}

// drawLimit draws a rate limit for a group, or none. It returns the number of calls per second that one destination
// accepts.
func (w *wideDraw) drawLimit(r *scenario.Receiver) float64 {
	capacity := float64(r.Endpoints*r.Concurrency) / float64(r.Mean)
	limit := capacity
	switch w.random.IntN(4) {
	case 0:
		r.Rate, r.Burst = math.Max(1, capacity*w.between(0.2, 1)), w.between(1, 6)
		limit = r.Rate
	case 1:
		r.Window = roundToMillis(w.between(0.5, 2))
		r.Calls = max(1, int(capacity*w.between(0.2, 1)*float64(r.Window)))
		limit = float64(r.Calls) / float64(r.Window)
	}
	return math.Min(limit, capacity)
}

func (w *wideDraw) drawLoad(destinations int, capacity float64) {
	s := w.scenario
	s.Load.PerSecond = math.Max(1, math.Min(maxMessages/float64(s.Length), capacity*w.between(0.1, 1.1)))
	for range w.random.IntN(3) {
		s.Load.Bursts = append(s.Load.Bursts, scenario.Burst{
			At:          roundToMillis(w.between(2, 36)),
			Count:       int(w.logarithmic(5, 200)),
			Destination: w.random.IntN(destinations),
		})
	}
}

func (w *wideDraw) drawFaults(destinations int) {
	kinds := faultKinds()
	first := w.between(3, 20)
	for range 1 + w.random.IntN(4) {
		f := scenario.Fault{
			Kind:          kinds[w.random.IntN(len(kinds))],
			At:            roundToMillis(first + w.between(0, 4)),
			For:           roundToMillis(w.logarithmic(0.5, 16)),
			Fraction:      w.between(0.1, 1),
			By:            w.logarithmic(2, 20),
			OddForwarders: w.chance(0.2),
		}
		if w.chance(0.3) {
			f.At = roundToMillis(w.between(3, 30))
		}
		if slices.Contains([]string{scenario.FaultRefuse, scenario.FaultHang, scenario.FaultSilent}, f.Kind) {
			f.For = roundToMillis(w.logarithmic(minOutage, 16))
		}
		w.drawAffected(&f, destinations)
		if w.chance(0.2) {
			f.Every = 2 + w.random.IntN(4)
		}
		w.scenario.Faults = append(w.scenario.Faults, f)
	}
}

// drawAffected draws the destinations and the zone that a fault affects.
func (w *wideDraw) drawAffected(f *scenario.Fault, destinations int) {
	switch w.random.IntN(4) {
	case 0: // all destinations
	case 1:
		f.Receiver = w.scenario.Receivers[w.random.IntN(len(w.scenario.Receivers))].Name
	default:
		for range 1 + w.random.IntN(3) {
			if n := w.random.IntN(destinations); !slices.Contains(f.Destinations, n) {
				f.Destinations = append(f.Destinations, n)
			}
		}
	}
	if w.chance(0.2) {
		f.Zone = 1 + w.random.IntN(w.scenario.Zones)
	}
}
