// Package scenario reads scenes: what receivers, forwarders and load are like, and what befalls them when. A scene is
// TOML, checked as a whole like any configuration.
package scenario

import (
	"embed"
	"fmt"
	"os"
	"slices"
	"strings"

	"spanflow/internal/config"
	"spanflow/lab/load"
	"spanflow/lab/receiver"
	"spanflow/scheduler"
)

// Scenario is one day in small.
type Scenario struct {
	Name         string          `toml:"name"`
	About        string          `toml:"about"`
	Seed         uint64          `toml:"seed"`
	Length       config.Duration `toml:"length"` // messages come for so long
	Drain        config.Duration `toml:"drain"`  // what is held may end in so long after that
	Zones        int             `toml:"zones"`
	NetworkDelay config.Duration `toml:"network"` // from one side to the other
	Dispatch     config.Dispatch `toml:"dispatch"`
	Types        []Type          `toml:"types"`
	Tenants      []Tenant        `toml:"tenants"`
	Receivers    []Receiver      `toml:"partners"`
	Load         Load            `toml:"load"`
	Faults       []Fault         `toml:"troubles"`
	ListLag      config.Duration `toml:"list_lag"`
	Resubmit     bool            `toml:"comes_again"` // clients hand in again what was rejected, as long as there is time
	Floor        float64         `toml:"floor"`       // a kept finding: the share of the value that the scheduler delivers at least
}

// Type is a message type with its part of the load.
type Type struct {
	Name                string          `toml:"name"`
	Idempotency         string          `toml:"repeat"`
	Group               string          `toml:"group"`
	InOrder             bool            `toml:"in_order"`
	LatencyObjective    config.Duration `toml:"agreed"`
	TimeToLive          config.Duration `toml:"life"`
	DeduplicationWindow config.Duration `toml:"memory"`
	LoadWeight          float64         `toml:"part"`  // of the messages, against the others'
	Value               float64         `toml:"value"` // of one delivered in the agreed time; later it falls to half, at expiry to none
	Keys                int             `toml:"keys"`  // ordering keys in use at once
}

// Tenant is one with a share.
type Tenant struct {
	Name       string  `toml:"name"`
	PerSecond  float64 `toml:"per_second"` // the share
	LoadWeight float64 `toml:"part"`       // of the messages
}

// Receiver is a group of destinations alike.
type Receiver struct {
	Name              string          `toml:"name"`
	Count             int             `toml:"count"`
	Endpoints         int             `toml:"targets"`
	Batch             int             `toml:"batch"`
	EndpointLimits    bool            `toml:"routes_apart"`
	Service           string          `toml:"service"` // fixed, exponential, lognormal
	Mean              config.Duration `toml:"mean"`
	Sigma             float64         `toml:"wide"`
	Concurrency       int             `toml:"places"`
	Queue             int             `toml:"queue"`
	Rate              float64         `toml:"rate"`
	Burst             float64         `toml:"burst"`
	Calls             int             `toml:"calls"` // let in within window
	Window            config.Duration `toml:"window"`
	ReportsRetryAfter bool            `toml:"tells_wait"`
	ReportsLimit      bool            `toml:"shows_limit"`
	LoadWeight        float64         `toml:"part"`         // of the load, against other groups'
	Skew              float64         `toml:"skew"`         // heavy tail within the group: the i-th gets 1/i^skew
	OverloadWindow    config.Duration `toml:"falls_within"` // the span over which what pushes it over is counted
	OverloadDowntime  config.Duration `toml:"falls_for"`    // when pushed over
}

// Load is what clients hand in, whatever becomes of it.
type Load struct {
	PerSecond float64 `toml:"per_second"`
	Shape     []Point `toml:"shape"`  // the rate over time, in shares of per_second
	Arrivals  string  `toml:"arrive"` // poisson or even
	Bursts    []Burst `toml:"clumps"`
}

// Point is a share of the usual rate at a moment.
type Point struct {
	At       config.Duration `toml:"at"`
	Fraction float64         `toml:"share"`
}

// Burst is many messages at one moment.
type Burst struct {
	At          config.Duration `toml:"at"`
	Count       int             `toml:"count"`
	Destination int             `toml:"dest"`     // for this destination; -1: any
	SameKey     bool            `toml:"same_key"` // all with one ordering key
	Tenant      string          `toml:"tenant"`
}

// Fault befalls some endpoints, forwarders or the list for a time.
type Fault struct {
	Kind          string          `toml:"kind"`
	At            config.Duration `toml:"at"`
	For           config.Duration `toml:"for"`
	Destinations  []int           `toml:"dest"` // destinations; empty: by receiver, else all
	Receiver      string          `toml:"partner"`
	Endpoints     []int           `toml:"target"` // of each of these; empty: all
	Zone          int             `toml:"zone"`   // only endpoints of this zone, if above 0: its number plus one
	Fraction      float64         `toml:"share"`  // of calls, of the limit, or of forwarders
	By            float64         `toml:"by"`     // slow: times
	Every         int             `toml:"every"`  // gray: one of so many calls
	OddForwarders bool            `toml:"odd_forwarders"`
	Tenant        string          `toml:"tenant"`
}

// FaultKinds are the troubles there are, each with what befalls.
var FaultKinds = map[string]string{"refuse": "connections are refused; then it returns cold", "hang": "calls are taken and none is worked on; then it returns cold",
	"silent": "nothing comes in or goes out", "slow": "service takes `by` times as long", "err": "a share of calls ends with an error",
	"reset": "a share of connections breaks", "lose": "a share of answers gets lost after running", "spoil": "a share of answers cannot be read",
	"reap": "idle connections go dead unseen", "cut": "the limit is a share of what it was", "drain": "targets drain and leave, then come back as others",
	"stall": "a share of forwarders stands still, whichever process each has", "restart": "a share of forwarders is killed and starts again, in a wave",
	"list": "the list does not come", "move": "targets leave and come back at other addresses"}

var perCallFaults = []string{"err", "reset", "lose", "spoil"}

//go:embed scenes found
var embedded embed.FS

// Findings are the names of the scenes that searches and hunts have left, to be played like kept ones.
func Findings() []string { return names("found") }

// IDs are the names of the scenes that come with the laboratory.
func Builtin() []string { return names("scenes") }

func names(dir string) []string {
	entries, _ := embedded.ReadDir(dir)
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Read reads a scene from a file, or a kept one by its name.
func Read(name string) (*Scenario, error) {
	text, err := embedded.ReadFile("scenes/" + name + ".toml")
	path := name + ".toml"
	if err != nil {
		text, err = embedded.ReadFile("found/" + name + ".toml")
	}
	if err != nil {
		path = name
		if text, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("%s is no file and no kept scene (%s)", name, strings.Join(Builtin(), ", "))
		}
	}
	return Parse(path, text)
}

// Parse reads a scene's text.
func Parse(path string, text []byte) (*Scenario, error) {
	s := &Scenario{Seed: 1, Length: 60, Drain: 30, Zones: 1, NetworkDelay: 0.002, Resubmit: true, Dispatch: config.Defaults().Dispatch,
		Load: Load{Arrivals: "poisson"}}
	if err := config.Decode(path, text, s); err != nil {
		return nil, err
	}
	s.applyDefaults()
	if wrong := s.Check(); len(wrong) > 0 {
		for i := range wrong {
			wrong[i].File = path
		}
		return nil, wrong
	}
	return s, nil
}

func (s *Scenario) applyDefaults() {
	for i := range s.Types {
		t := &s.Types[i]
		config.Or(&t.Group, "all")
		config.Or(&t.LoadWeight, 1)
		config.Or(&t.Value, 1)
		config.Or(&t.Keys, 1000)
	}
	for i := range s.Tenants {
		config.Or(&s.Tenants[i].LoadWeight, 1)
	}
	for i := range s.Receivers {
		p := &s.Receivers[i]
		config.Or(&p.Count, 1)
		config.Or(&p.Endpoints, 1)
		config.Or(&p.Batch, 1)
		config.Or(&p.Service, "lognormal")
		if p.Service == "lognormal" {
			config.Or(&p.Sigma, 0.5)
		}
		config.Or(&p.Concurrency, 4)
		config.Or(&p.LoadWeight, 1)
		config.Or(&p.OverloadDowntime, 5)
		config.Or(&p.OverloadWindow, 1.5)
	}
}

// Check names all that is wrong with a scene.
func (s *Scenario) Check() (wrong config.Problems) {
	bad := func(field, format string, v ...any) {
		wrong = append(wrong, config.Problem{Field: field, Reason: fmt.Sprintf(format, v...)})
	}
	word := func(field, value string, known ...string) {
		if !slices.Contains(known, value) {
			bad(field, "%q is none of %q", value, known)
		}
	}
	if s.Length <= 0 || s.Length > 86400 || s.Drain > 86400 {
		bad("length", "%s is not a time up to a day", s.Length)
	}
	if !(s.Floor >= 0 && s.Floor <= 1) {
		bad("floor", "%v is not a share", s.Floor)
	}
	if s.Zones < 1 || s.Zones > 2 {
		bad("zones", "%d is not 1 or 2", s.Zones)
	}
	if d := s.Dispatch; d.Forwarders < 1 || d.Forwarders > 10_000 || d.ConcurrencyLimit < 1 || d.QueueCapacity < 1 || d.MaxAttempts < 1 {
		bad("dispatch", "forwarders, slots, room and transmissions are 1 at least")
	}
	if len(s.Types) == 0 {
		bad("types", "there is none")
	}
	for i, t := range s.Types {
		at := fmt.Sprintf("types[%d].", i)
		word(at+"repeat", t.Idempotency, "replayable", "numbered", "binding")
		word(at+"group", t.Group, "all", "zone")
		if t.LatencyObjective <= 0 || t.TimeToLive < t.LatencyObjective {
			bad(at+"agreed", "agreed is over 0 and at most life")
		}
		if t.Idempotency == "numbered" && t.DeduplicationWindow <= 0 {
			bad(at+"memory", "a numbered type needs one")
		}
		if !(t.LoadWeight > 0) || !(t.Value >= 0) || t.Keys < 1 {
			bad(at+"part", "part is over 0, value 0 or more, keys 1 or more")
		}
	}
	names := []string{""}
	for i, t := range s.Tenants {
		if !(t.PerSecond > 0) || !(t.LoadWeight >= 0) {
			bad(fmt.Sprintf("tenants[%d].per_second", i), "per_second is over 0, part 0 or more")
		}
		names = append(names, t.Name)
	}
	dests, groups := 0, []string{""}
	for i, p := range s.Receivers {
		at := fmt.Sprintf("partners[%d].", i)
		word(at+"service", p.Service, "fixed", "exponential", "lognormal")
		if p.Count < 1 || p.Endpoints < 1 || p.Count*p.Endpoints > 1_000_000 || p.Batch < 1 || p.Concurrency < 1 || p.Queue < 0 {
			bad(at+"count", "count, targets, batch and places are 1 at least, queue 0")
		}
		if p.Mean <= 0 {
			bad(at+"mean", "is not told")
		}
		if !(p.Rate >= 0) || !(p.Burst >= 0) || p.Calls < 0 || (p.Calls > 0) != (p.Window > 0) {
			bad(at+"rate", "rate and burst are 0 or more, calls and window come together")
		}
		dests += p.Count
		groups = append(groups, p.Name)
	}
	if dests == 0 {
		bad("partners", "there is none")
	}
	word("load.arrive", s.Load.Arrivals, "poisson", "even")
	if !(s.Load.PerSecond > 0) || s.Load.PerSecond > 1e6 {
		bad("load.per_second", "%v is not a rate", s.Load.PerSecond)
	}
	if err := s.Shape().Check(); err != nil {
		bad("load.shape", "%v", err)
	}
	for i, c := range s.Load.Bursts {
		at := fmt.Sprintf("load.clumps[%d].", i)
		if c.Destination < -1 || c.Destination >= dests || c.Count < 1 {
			bad(at+"dest", "there is no destination %d, or count is under 1", c.Destination)
		}
		word(at+"tenant", c.Tenant, names...)
	}
	for i, t := range s.Faults {
		at := fmt.Sprintf("troubles[%d].", i)
		if FaultKinds[t.Kind] == "" {
			bad(at+"kind", "unknown trouble %q", t.Kind)
		}
		for _, d := range t.Destinations {
			if d < 0 || d >= dests {
				bad(at+"dest", "there is no destination %d", d)
			}
		}
		word(at+"partner", t.Receiver, groups...)
		word(at+"tenant", t.Tenant, names...)
		if t.For <= 0 && t.Kind != "restart" {
			bad(at+"for", "is not told")
		}
		if !(t.Fraction >= 0 && t.Fraction <= 1) {
			bad(at+"share", "%v is not a share", t.Fraction)
		}
		if (slices.Contains(perCallFaults, t.Kind) || t.Kind == "cut" || t.Kind == "stall" || t.Kind == "restart") && t.Fraction == 0 {
			bad(at+"share", "is not told")
		}
		if t.Kind == "slow" && !(t.By > 1) {
			bad(at+"by", "%v is not over 1", t.By)
		}
	}
	return wrong
}

// Shape is the load's rate over time.
func (s *Scenario) Shape() load.Shape {
	if len(s.Load.Shape) == 0 {
		return load.Shape{{At: 0, Rate: s.Load.PerSecond}}
	}
	var shape load.Shape
	for _, p := range s.Load.Shape {
		shape = append(shape, load.Point{At: float64(p.At), Rate: p.Fraction * s.Load.PerSecond})
	}
	return shape
}

// Settings are what the scheduler is told: the same for every forwarder but for its zone.
func (s *Scenario) SchedulerSettings(forwarder int) scheduler.Settings {
	d := &s.Dispatch
	t := scheduler.Settings{Forwarders: d.Forwarders, ConcurrencyLimit: d.ConcurrencyLimit, QueueCapacity: d.QueueCapacity, MaxAttempts: d.MaxAttempts, Zone: forwarder % s.Zones,
		KeyCooldown: float64(d.KeyCooldown), SlowStartShare: d.SlowStartShare, SlowStartDuration: float64(d.SlowStartDuration), OverloadMultiple: d.OverloadMultiple,
		IdleTimeout: float64(d.IdleTimeout), MaxRetryAfter: float64(d.MaxRetryAfter), ListedRateTolerance: map[string]float64{"exact": 1, "rough": 1.5}[d.ListedRates]}
	for _, p := range s.Receivers {
		t.KindBatchSize, t.KindEndpointLimits = append(t.KindBatchSize, p.Batch), append(t.KindEndpointLimits, p.EndpointLimits)
	}
	for _, q := range s.Tenants {
		t.TenantRate = append(t.TenantRate, q.PerSecond)
	}
	words := map[string]scheduler.Idempotency{"replayable": scheduler.Idempotent, "numbered": scheduler.IdempotentWithKey, "binding": scheduler.AtMostOnce}
	for _, y := range s.Types {
		t.Types = append(t.Types, scheduler.MessageType{Idempotency: words[y.Idempotency], DeduplicatedPerZone: y.Group == "zone", InOrder: y.InOrder,
			LatencyObjective: float64(y.LatencyObjective), TimeToLive: float64(y.TimeToLive), DeduplicationWindow: float64(y.DeduplicationWindow)})
	}
	return t
}

// ReceiverBehavior is what a destination of a group is like.
func (s *Scenario) ReceiverBehavior(p *Receiver) receiver.Behavior {
	return receiver.Behavior{Service: receiver.Distribution{Form: p.Service, Mean: float64(p.Mean), Sigma: p.Sigma}, Concurrency: p.Concurrency, Queue: p.Queue,
		Rate: p.Rate, Burst: p.Burst, WindowCalls: p.Calls, Window: float64(p.Window), EndpointLimits: p.EndpointLimits, ReportsRetryAfter: p.ReportsRetryAfter, ReportsLimit: p.ReportsLimit,
		SlowStartFraction: s.Dispatch.SlowStartShare, SlowStartDuration: float64(s.Dispatch.SlowStartDuration), OverloadMultiple: s.Dispatch.OverloadMultiple,
		OverloadWindow: float64(p.OverloadWindow), OverloadDowntime: float64(p.OverloadDowntime)}
}
