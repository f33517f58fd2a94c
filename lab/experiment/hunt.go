package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sort"

	"github.com/pelletier/go-toml/v2"

	"spanflow/internal/config"
	"spanflow/lab/scenario"
	"spanflow/lab/sim"
)

// ViolationSearch is a search for broken rules that goes on where it stopped: which seeds were tried, what their scenes covered,
// and the breaks found. It is the same for the same seeds on any number of cores.
type ViolationSearch struct {
	Version  int              `toml:"version"`
	Tried    [][2]uint64      `toml:"tried"`  // seeds from and to, both tried
	Scenes   int              `toml:"scenes"` // played
	Kinds    map[string]int   `toml:"kinds"`  // scenes with a trouble of each kind
	Pairs    map[string]int   `toml:"pairs"`  // scenes in which two kinds overlapped in time
	Sizes    map[string]int   `toml:"sizes"`  // scenes by forwarders and endpoints
	Breaks   []FoundViolation `toml:"breaks"`
	Unshrunk int              `toml:"unshrunk"` // breaks beyond the most that are kept
}

// FoundViolation is a rule broken in a drawn scene.
type FoundViolation struct {
	Seed  uint64 `toml:"seed"`
	Rule  string `toml:"rule"`
	What  string `toml:"what"`
	File  string `toml:"file"` // the scene, shrunk
	Steps int    `toml:"steps"`
}

const (
	searchVersion = 1
	searchBatch   = 32
	maxViolations = 100 // kept; a module that breaks more is to be mended first
	searchFile    = "hunt.toml"
)

// OpenViolationSearch reads the hunt in a folder, or begins one; the folder is made.
func OpenViolationSearch(dir string) (*ViolationSearch, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	h := &ViolationSearch{Version: searchVersion}
	path := filepath.Join(dir, searchFile)
	text, err := os.ReadFile(path)
	if err == nil {
		h.Version = 0
		if err := config.Decode(path, text, h); err != nil {
			return nil, err
		}
		if wrong := h.check(); len(wrong) > 0 {
			for i := range wrong {
				wrong[i].File = path
			}
			return nil, wrong
		}
	} else if !os.IsNotExist(err) {
		return nil, err
	}
	for _, m := range []*map[string]int{&h.Kinds, &h.Pairs, &h.Sizes} {
		if *m == nil {
			*m = map[string]int{}
		}
	}
	return h, h.Save(dir) // a folder that cannot be written is refused before the work
}

func (h *ViolationSearch) check() (wrong config.Problems) {
	if h.Version != searchVersion {
		wrong = append(wrong, config.Problem{Field: "version", Reason: fmt.Sprintf("%d is not this program's, %d", h.Version, searchVersion)})
	}
	n := uint64(0)
	for i, t := range h.Tried {
		if t[0] > t[1] || i > 0 && t[0] <= h.Tried[i-1][1] {
			wrong = append(wrong, config.Problem{Field: fmt.Sprintf("tried[%d]", i), Reason: "seeds are not in order: the file was changed or cut"})
		}
		n += t[1] - t[0] + 1
	}
	if len(wrong) == 0 && n != uint64(h.Scenes) {
		wrong = append(wrong, config.Problem{Field: "scenes", Reason: fmt.Sprintf("%d, while %d seeds are tried: the file was changed or cut", h.Scenes, n)})
	}
	return wrong
}

// Save writes the hunt whole in place of the old.
func (h *ViolationSearch) Save(dir string) error {
	text, err := toml.Marshal(h)
	if err != nil {
		return err
	}
	path := filepath.Join(dir, searchFile)
	if err := os.WriteFile(path+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// nextUntried is the first seed from one on that was not tried.
func (h *ViolationSearch) nextUntried(from uint64) uint64 {
	for _, t := range h.Tried {
		if from >= t[0] && from <= t[1] {
			from = t[1] + 1
		}
	}
	return from
}

func (h *ViolationSearch) markTried(from, to uint64) {
	h.Tried = append(h.Tried, [2]uint64{from, to})
	slices.SortFunc(h.Tried, func(a, b [2]uint64) int {
		if a[0] < b[0] {
			return -1
		}
		return 1
	})
	joined := h.Tried[:1]
	for _, t := range h.Tried[1:] {
		if last := &joined[len(joined)-1]; t[0] <= last[1]+1 {
			last[1] = max(last[1], t[1])
		} else {
			joined = append(joined, t)
		}
	}
	h.Tried = joined
}

// Run plays drawn scenes from a seed on until ctx ends or so many were played, writing to the folder after each batch.
// Reason is begun is finished, so that an interrupted hunt has kept all that it found.
func (h *ViolationSearch) Run(ctx context.Context, dir string, make sim.Maker, from uint64, most int, progress func(*ViolationSearch)) error {
	for n := 0; n < most && ctx.Err() == nil; {
		from = h.nextUntried(from)
		batch := min(searchBatch, most-n)
		for _, t := range h.Tried { // up to what was tried before
			if t[0] > from {
				batch = min(batch, int(t[0]-from))
			}
		}
		scenes, results := findScenes(batch), findResults(batch)
		parallel(batch, func(i int) {
			scenes[i] = DrawWide(from + uint64(i))
			results[i] = sim.Play(scenes[i], from+uint64(i), make)
		})
		var found []*FoundViolation
		var shown []*scenario.Scenario
		for i, r := range results {
			h.countCoverage(scenes[i])
			rules := map[string]bool{}
			for _, b := range r.Violations {
				if rules[string(b.Rule)] {
					continue
				}
				rules[string(b.Rule)] = true
				if len(h.Breaks)+len(found) >= maxViolations {
					h.Unshrunk++
					continue
				}
				found = append(found, &FoundViolation{Seed: from + uint64(i), Rule: string(b.Rule), What: b.Reason})
				shown = append(shown, scenes[i])
			}
		}
		for i, b := range found {
			shown[i], b.Steps = shrink(shown[i], func(s *scenario.Scenario) bool { return violationOf(s, b.Seed, b.Rule, make) != "" })
			b.What = violationOf(shown[i], b.Seed, b.Rule, make)
			b.File = fmt.Sprintf("hunted-%d-rule-%c.toml", b.Seed, b.Rule[0])
			s := *shown[i]
			s.Name, s.Seed = b.File[:len(b.File)-len(".toml")], b.Seed
			s.About = "Found by a hunt, rule broken: " + b.Rule + ", " + b.What + "."
			text, err := toml.Marshal(&s)
			if err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(dir, b.File), text, 0o644); err != nil {
				return err
			}
			h.Breaks = append(h.Breaks, *b)
		}
		sort.SliceStable(h.Breaks, func(i, j int) bool { return h.Breaks[i].Seed < h.Breaks[j].Seed })
		h.markTried(from, from+uint64(batch)-1)
		h.Scenes += batch
		n += batch
		if err := h.Save(dir); err != nil {
			return err
		}
		if progress != nil {
			progress(h)
		}
	}
	return nil
}

func findScenes(n int) []*scenario.Scenario { return make([]*scenario.Scenario, n) }
func findResults(n int) []*sim.Result       { return make([]*sim.Result, n) }

// violationOf is how a rule is broken in a scene, empty if it is kept.
func violationOf(s *scenario.Scenario, seed uint64, rule string, make sim.Maker) string {
	for _, b := range sim.Play(s, seed, make).Violations {
		if string(b.Rule) == rule {
			return b.Reason
		}
	}
	return ""
}

// countCoverage counts what a scene covers.
func (h *ViolationSearch) countCoverage(s *scenario.Scenario) {
	seen := map[string]bool{}
	for i, a := range s.Faults {
		seen[a.Kind] = true
		for _, b := range s.Faults[i+1:] {
			if a.Kind != b.Kind && a.At < b.At+b.For && b.At < a.At+a.For {
				seen[min(a.Kind, b.Kind)+"+"+max(a.Kind, b.Kind)] = true
			}
		}
	}
	for name := range seen {
		if scenario.FaultKinds[name] != "" {
			h.Kinds[name]++
		} else {
			h.Pairs[name]++
		}
	}
	endpoints := 0
	for _, p := range s.Receivers {
		endpoints += p.Count * p.Endpoints
	}
	h.Sizes[sizeClass("forwarders", s.Dispatch.Forwarders)]++
	h.Sizes[sizeClass("targets", endpoints)]++
}

// sizeClass is the class of a number, in steps of about three.
func sizeClass(what string, n int) string {
	low := 1
	for _, high := range []int{2, 4, 11, 31, 101} {
		if n < high {
			return fmt.Sprintf("%s %d to %d", what, low, high-1)
		}
		low = high
	}
	return fmt.Sprintf("%s %d to %d", what, low, maxSize)
}

const (
	maxSize     = 300    // forwarders, and endpoints
	maxMessages = 5000.0 // of a scene, so that many can be played
	// Seconds. Reason is shorter the scheduler takes for losses on the way, after which nothing is cold
	// (docs/design.md); the operators' outages last five and more.
	minOutage = 3.5
)

// DrawWide draws a scene in all its dimensions: 1 to 300 forwarders and endpoints, limits, kinds of message, one to four
// troubles that mostly overlap.
func DrawWide(seed uint64) *scenario.Scenario {
	random := rand.New(rand.NewPCG(seed, 29))
	between := func(low, high float64) float64 { return low + (high-low)*random.Float64() }
	log := func(low, high float64) float64 { return low * math.Pow(high/low, random.Float64()) }
	odds := func(share float64) bool { return random.Float64() < share }
	s := &scenario.Scenario{Name: fmt.Sprintf("hunt-%d", seed), Seed: seed, Length: 40, Drain: 26, Zones: 1 + random.IntN(2), NetworkDelay: roundToMillis(log(0.001, 0.05)),
		Dispatch: config.Defaults().Dispatch, Load: scenario.Load{Arrivals: "poisson"}, Resubmit: odds(0.8)}
	d := &s.Dispatch
	d.Forwarders = int(log(1, maxSize+0.99))
	d.ConcurrencyLimit, d.QueueCapacity, d.MaxAttempts = int(log(3, 64.99)), int(log(20, 600)), 3+random.IntN(6)
	d.SlowStartShare, d.SlowStartDuration, d.OverloadMultiple = between(0.15, 0.3), roundToMillis(between(5, 14)), between(1.5, 3)
	d.KeyCooldown, d.IdleTimeout, d.Connect = roundToMillis(between(0.05, 0.2)), roundToMillis(log(5, 30)), roundToMillis(between(0.25, 1.5))
	if odds(0.2) {
		d.MaxRetryAfter = 0
	}
	d.ListedRates = []string{"none", "none", "exact", "rough"}[random.IntN(4)]
	if odds(0.3) {
		s.ListLag = roundToMillis(between(0.1, 2))
	}
	for i := range 1 + random.IntN(3) {
		t := scenario.Type{Name: fmt.Sprint("type-", i), Idempotency: []string{"replayable", "numbered", "binding"}[random.IntN(3)], Group: "all",
			LatencyObjective: roundToMillis(between(1, 5)), LoadWeight: between(0.3, 3), Value: 1, Keys: int(log(5, 1000)), InOrder: odds(0.4)}
		t.TimeToLive = t.LatencyObjective + roundToMillis(between(3, 18))
		if t.Idempotency == "numbered" {
			t.DeduplicationWindow = roundToMillis(between(3, 18))
			if s.Zones > 1 && odds(0.3) {
				t.Group = "zone"
			}
		}
		s.Types = append(s.Types, t)
	}
	for i := range random.IntN(4) {
		s.Tenants = append(s.Tenants, scenario.Tenant{Name: fmt.Sprint("store-", i), PerSecond: log(2, 50), LoadWeight: between(0.2, 3)})
	}
	left, dests, capacity := int(log(1, maxSize+0.99)), 0, 0.0
	for i := 0; left > 0 && i < 5; i++ {
		p := scenario.Receiver{Name: fmt.Sprint("group-", i), Endpoints: 1 + random.IntN(min(4, left)), Batch: 1, EndpointLimits: odds(0.25),
			Service: []string{"fixed", "exponential", "lognormal", "lognormal"}[random.IntN(4)], Mean: roundToMillis(log(0.02, 0.5)), Concurrency: int(log(1, 8.99)),
			Queue: random.IntN(17), ReportsRetryAfter: odds(0.5), ReportsLimit: odds(0.3), Skew: between(0, 0.3), OverloadDowntime: roundToMillis(between(3, 10)),
			OverloadWindow: roundToMillis(between(1, 2))}
		if p.Service == "lognormal" {
			p.Sigma = between(0.2, 1.2)
		}
		if p.Count = left / p.Endpoints; i < 4 {
			p.Count = 1 + random.IntN(p.Count)
		}
		left -= p.Count * p.Endpoints
		if odds(0.25) {
			p.Batch = 2 + random.IntN(9)
		}
		each := float64(p.Endpoints*p.Concurrency) / float64(p.Mean)
		limit := each
		switch random.IntN(4) {
		case 0:
			p.Rate, p.Burst = math.Max(1, each*between(0.2, 1)), between(1, 6)
			limit = p.Rate
		case 1:
			p.Window = roundToMillis(between(0.5, 2))
			p.Calls = max(1, int(each*between(0.2, 1)*float64(p.Window)))
			limit = float64(p.Calls) / float64(p.Window)
		}
		limit = math.Min(limit, each) // messages are as many as it may take: who gets many has room for many
		p.LoadWeight = float64(p.Count) * limit * between(0.5, 1.1)
		dests, capacity = dests+p.Count, capacity+float64(p.Count)*limit
		s.Receivers = append(s.Receivers, p)
	}
	s.Load.PerSecond = math.Max(1, math.Min(maxMessages/float64(s.Length), capacity*between(0.1, 1.1)))
	for range random.IntN(3) {
		s.Load.Bursts = append(s.Load.Bursts, scenario.Burst{At: roundToMillis(between(2, 36)), Count: int(log(5, 200)), Destination: random.IntN(dests)})
	}
	var kinds []string
	for k := range scenario.FaultKinds {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	first := between(3, 20)
	for range 1 + random.IntN(4) {
		t := scenario.Fault{Kind: kinds[random.IntN(len(kinds))], At: roundToMillis(first + between(0, 4)), For: roundToMillis(log(0.5, 16)), Fraction: between(0.1, 1), By: log(2, 20),
			OddForwarders: odds(0.2)}
		if odds(0.3) {
			t.At = roundToMillis(between(3, 30))
		}
		if slices.Contains([]string{"refuse", "hang", "silent"}, t.Kind) {
			t.For = roundToMillis(log(minOutage, 16))
		}
		switch random.IntN(4) {
		case 0: // all
		case 1:
			t.Receiver = s.Receivers[random.IntN(len(s.Receivers))].Name
		default:
			for range 1 + random.IntN(3) {
				if n := random.IntN(dests); !slices.Contains(t.Destinations, n) {
					t.Destinations = append(t.Destinations, n)
				}
			}
		}
		if odds(0.2) {
			t.Zone = 1 + random.IntN(s.Zones)
		}
		if odds(0.2) {
			t.Every = 2 + random.IntN(4)
		}
		s.Faults = append(s.Faults, t)
	}
	return s
}
