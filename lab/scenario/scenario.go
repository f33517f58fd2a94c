// Package scenario reads scenarios. A scenario describes the receivers, the forwarders, the load, and the faults and
// their times. It is written in TOML and checked completely before a run, like a configuration.
package scenario

import (
	"spanflow/internal/config"
	"spanflow/lab/load"
)

// Scenario describes one run: a fleet of forwarders, their destinations, the load and the faults.
type Scenario struct {
	Name         string          `toml:"name"`
	About        string          `toml:"about"` // the scenario's purpose in one sentence
	Seed         uint64          `toml:"seed"`
	Length       config.Duration `toml:"length"` // time during which clients submit messages
	Drain        config.Duration `toml:"drain"`  // time after Length for accepted messages to end
	Zones        int             `toml:"zones"`
	NetworkDelay config.Duration `toml:"network"` // one-way delay
	Dispatch     config.Dispatch `toml:"dispatch"`
	Types        []Type          `toml:"types"`
	Tenants      []Tenant        `toml:"tenants"`
	Receivers    []Receiver      `toml:"partners"`
	Load         Load            `toml:"load"`
	Faults       []Fault         `toml:"troubles"`
	ListLag      config.Duration `toml:"list_lag"`    // delay until forwarders learn of a change of the endpoint list
	Resubmit     bool            `toml:"comes_again"` // clients submit rejected messages again until their expiry
	Floor        float64         `toml:"floor"`       // lowest acceptable delivered share of the value, for findings
}

// The values of Type.Idempotency.
const (
	Idempotent        = "replayable"
	IdempotentWithKey = "numbered"
	AtMostOnce        = "binding"
)

// The values of Type.Group, the zones in which an idempotency key is known.
const (
	KnownInAllZones = "all"
	KnownInOneZone  = "zone"
)

// Type is a message type with its share of the load.
type Type struct {
	Name                string          `toml:"name"`
	Idempotency         string          `toml:"repeat"`
	Group               string          `toml:"group"`
	InOrder             bool            `toml:"in_order"` // messages have ordering keys
	LatencyObjective    config.Duration `toml:"agreed"`
	TimeToLive          config.Duration `toml:"life"`
	DeduplicationWindow config.Duration `toml:"memory"`
	LoadWeight          float64         `toml:"part"`  // relative number of messages, compared with the other types
	Value               float64         `toml:"value"` // halved after the objective, then falls linearly to 0 at expiry
	Keys                int             `toml:"keys"`  // number of ordering keys in use
}

// Tenant is a tenant of the fleet with its quota and its share of the load.
type Tenant struct {
	Name       string  `toml:"name"`
	PerSecond  float64 `toml:"per_second"` // quota of messages
	LoadWeight float64 `toml:"part"`       // relative number of messages, compared with the other tenants
}

// The values of Receiver.Service, the form of the distribution of service times.
const (
	ServiceFixed       = "fixed"
	ServiceExponential = "exponential"
	ServiceLognormal   = "lognormal"
)

// Receiver is a group of destinations with the same behavior.
type Receiver struct {
	Name              string          `toml:"name"`
	Count             int             `toml:"count"`        // number of destinations
	Endpoints         int             `toml:"targets"`      // number of endpoints of each destination
	Batch             int             `toml:"batch"`        // maximum number of messages in a call
	EndpointLimits    bool            `toml:"routes_apart"` // limits and overload are per endpoint, not per destination
	Service           string          `toml:"service"`      // form of the distribution of service times
	Mean              config.Duration `toml:"mean"`         // mean service time
	Sigma             float64         `toml:"wide"`         // standard deviation of the logarithm, if lognormal
	Concurrency       int             `toml:"places"`       // calls that an endpoint executes at the same time
	Queue             int             `toml:"queue"`        // calls that an endpoint queues
	Rate              float64         `toml:"rate"`         // rate limit in calls per second; 0 means none
	Burst             float64         `toml:"burst"`        // size of the rate limit's token bucket, in calls
	Calls             int             `toml:"calls"`        // limit of calls within any Window; 0 means none
	Window            config.Duration `toml:"window"`
	ReportsRetryAfter bool            `toml:"tells_wait"`
	ReportsLimit      bool            `toml:"shows_limit"`
	LoadWeight        float64         `toml:"part"`         // relative load of the group, compared with the others
	Skew              float64         `toml:"skew"`         // Zipf exponent: the group's i-th destination gets 1/i^skew
	OverloadWindow    config.Duration `toml:"falls_within"` // window in which calls in slow start are counted
	OverloadDowntime  config.Duration `toml:"falls_for"`    // time for which an overloaded endpoint is down
}

// The values of Load.Arrivals.
const (
	ArrivalsPoisson = "poisson"
	ArrivalsEven    = "even"
)

// Load is the load that clients offer, whether or not it is accepted.
type Load struct {
	PerSecond float64 `toml:"per_second"` // usual rate of messages
	Shape     []Point `toml:"shape"`      // rate over time, as fractions of PerSecond; empty means constant
	Arrivals  string  `toml:"arrive"`
	Bursts    []Burst `toml:"clumps"`
}

// Point gives the fraction of the usual rate at one time.
type Point struct {
	At       config.Duration `toml:"at"`
	Fraction float64         `toml:"share"`
}

// AnyDestination is the Burst.Destination of a burst whose destinations are drawn as for all other messages.
const AnyDestination = -1

// Burst is a number of messages that are submitted at the same time.
type Burst struct {
	At          config.Duration `toml:"at"`
	Count       int             `toml:"count"`
	Destination int             `toml:"dest"`     // number, or AnyDestination
	SameKey     bool            `toml:"same_key"` // all messages have the same ordering key
	Tenant      string          `toml:"tenant"`   // drawn for each message if empty
}

// Shape returns the load's rate over time, in messages per second.
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
