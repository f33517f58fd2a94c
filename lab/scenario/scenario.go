// Package scenario reads scenarios: how receivers, forwarders and load behave, and which faults happen when. A scenario
// is TOML, checked as a whole like any configuration.
package scenario

import (
	"spanflow/internal/config"
	"spanflow/lab/load"
)

// Scenario is one run: a fleet of forwarders, their destinations, the load and the faults.
type Scenario struct {
	Name         string          `toml:"name"`
	About        string          `toml:"about"` // what it is for, in a sentence
	Seed         uint64          `toml:"seed"`
	Length       config.Duration `toml:"length"` // clients submit messages for so long
	Drain        config.Duration `toml:"drain"`  // what is held may end in so long after that
	Zones        int             `toml:"zones"`
	NetworkDelay config.Duration `toml:"network"` // one way
	Dispatch     config.Dispatch `toml:"dispatch"`
	Types        []Type          `toml:"types"`
	Tenants      []Tenant        `toml:"tenants"`
	Receivers    []Receiver      `toml:"partners"`
	Load         Load            `toml:"load"`
	Faults       []Fault         `toml:"troubles"`
	ListLag      config.Duration `toml:"list_lag"`    // until forwarders learn of a change of the endpoint list
	Resubmit     bool            `toml:"comes_again"` // clients submit again what was rejected, while there is time
	Floor        float64         `toml:"floor"`       // of a kept finding: least share of the value delivered
}

// The idempotency of a type, as Type.Idempotency has it.
const (
	Idempotent        = "replayable"
	IdempotentWithKey = "numbered"
	AtMostOnce        = "binding"
)

// Where a key is known, as Type.Group has it.
const (
	KnownInAllZones = "all"
	KnownInOneZone  = "zone"
)

// Type is a message type with its part of the load.
type Type struct {
	Name                string          `toml:"name"`
	Idempotency         string          `toml:"repeat"`
	Group               string          `toml:"group"`
	InOrder             bool            `toml:"in_order"` // messages have ordering keys
	LatencyObjective    config.Duration `toml:"agreed"`
	TimeToLive          config.Duration `toml:"life"`
	DeduplicationWindow config.Duration `toml:"memory"`
	LoadWeight          float64         `toml:"part"`  // of the messages, against the other types
	Value               float64         `toml:"value"` // within the objective; then half, falling to 0 at expiry
	Keys                int             `toml:"keys"`  // ordering keys in use at once
}

// Tenant is a client of the fleet with its rate and its part of the load.
type Tenant struct {
	Name       string  `toml:"name"`
	PerSecond  float64 `toml:"per_second"` // messages that it may submit
	LoadWeight float64 `toml:"part"`       // of the messages, against the other tenants
}

// The forms of Receiver.Service.
const (
	ServiceFixed       = "fixed"
	ServiceExponential = "exponential"
	ServiceLognormal   = "lognormal"
)

// Receiver is a group of destinations that behave alike.
type Receiver struct {
	Name              string          `toml:"name"`
	Count             int             `toml:"count"`        // destinations
	Endpoints         int             `toml:"targets"`      // of each
	Batch             int             `toml:"batch"`        // messages of a call at most
	EndpointLimits    bool            `toml:"routes_apart"` // each endpoint has limits and outages of its own
	Service           string          `toml:"service"`      // form of the distribution of service times
	Mean              config.Duration `toml:"mean"`         // service time
	Sigma             float64         `toml:"wide"`         // of a lognormal service time
	Concurrency       int             `toml:"places"`       // calls that an endpoint executes at once
	Queue             int             `toml:"queue"`        // calls that wait at an endpoint
	Rate              float64         `toml:"rate"`         // calls a second that the limit admits; 0: no such limit
	Burst             float64         `toml:"burst"`        // calls that it admits at once
	Calls             int             `toml:"calls"`        // calls admitted within any Window; 0: no such limit
	Window            config.Duration `toml:"window"`
	ReportsRetryAfter bool            `toml:"tells_wait"`
	ReportsLimit      bool            `toml:"shows_limit"`
	LoadWeight        float64         `toml:"part"`         // of the load, against other groups
	Skew              float64         `toml:"skew"`         // heavy tail within the group: the i-th gets 1/i^skew
	OverloadWindow    config.Duration `toml:"falls_within"` // in which calls count that overload a slow start
	OverloadDowntime  config.Duration `toml:"falls_for"`    // of an endpoint that was overloaded
}

// The forms of Load.Arrivals.
const (
	ArrivalsPoisson = "poisson"
	ArrivalsEven    = "even"
)

// Load is what clients submit, whatever becomes of it.
type Load struct {
	PerSecond float64 `toml:"per_second"` // messages
	Shape     []Point `toml:"shape"`      // the rate over time, in fractions of PerSecond
	Arrivals  string  `toml:"arrive"`
	Bursts    []Burst `toml:"clumps"`
}

// Point is a fraction of the usual rate at a moment.
type Point struct {
	At       config.Duration `toml:"at"`
	Fraction float64         `toml:"share"`
}

// AnyDestination is the Burst.Destination of bursts that go to destinations drawn like those of all messages.
const AnyDestination = -1

// Burst is many messages at one moment.
type Burst struct {
	At          config.Duration `toml:"at"`
	Count       int             `toml:"count"`
	Destination int             `toml:"dest"`     // its number, or AnyDestination
	SameKey     bool            `toml:"same_key"` // all have one ordering key
	Tenant      string          `toml:"tenant"`   // empty: drawn
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
