// Package page renders the tables of docs/CAPACITY.md from the target size (docs/capacity/target.toml) and the measured
// results (docs/capacity/measured.json). Linear curves are extrapolated to the target size; other curves never are.
package page

import (
	"fmt"
	"math"
	"os"

	"spanflow/internal/config"
)

// Target describes the installation to build for: its size, its load and its budgets.
type Target struct {
	Fleet     Fleet              `toml:"fleet"`
	Load      Load               `toml:"load"`
	Changes   Changes            `toml:"changes"`
	Failures  Failures           `toml:"failures"`
	Budget    Budget             `toml:"budget"`
	Estimates []OperatorEstimate `toml:"estimates"`
}

// Fleet is the number of processes and machines.
type Fleet struct {
	Forwarders      float64 `toml:"forwarders"`
	Regions         float64 `toml:"regions"`
	Zones           float64 `toml:"zones"` // in all regions together
	ControlMachines float64 `toml:"control_machines"`
}

// Load is the load that the forwarders accept and hold. Rates are per second.
type Load struct {
	EventsPerSecond     float64         `toml:"events_per_second"` // all forwarders together
	Destinations        float64         `toml:"destinations"`
	DownFraction        float64         `toml:"down_share"` // of the destinations, at any time
	BacklogEvents       float64         `toml:"backlog_events"`
	BacklogPerForwarder float64         `toml:"backlog_per_forwarder"`
	BacklogFor          config.Duration `toml:"backlog_for"`
	Body                config.Size     `toml:"body"`
	ForwarderSkew       float64         `toml:"forwarder_skew"`   // ratio of the busiest to the mean
	DestinationSkew     float64         `toml:"destination_skew"` // ratio of the busiest to the mean
}

// Changes is the rate of configuration changes, and the time within which each must be in force.
type Changes struct {
	PerDay        float64         `toml:"per_day"`
	InForceWithin config.Duration `toml:"in_force_within"`
}

// Failures are the expected rates of failures, and how long regions may be cut off from each other.
type Failures struct {
	MachinesPerDay float64         `toml:"machines_per_day"`
	RestartsPerDay float64         `toml:"restarts_per_day"`
	RacksPerYear   float64         `toml:"racks_per_year"`
	ZonesPerYear   float64         `toml:"zones_per_year"`
	RegionsApart   config.Duration `toml:"regions_apart"`
}

// Budget limits the resources of one forwarder.
type Budget struct {
	Control   ControlBudget   `toml:"control"`
	Forwarder ForwarderBudget `toml:"forwarder"`
}

// ControlBudget is the part of a forwarder's resources for control: discovery and configuration changes.
type ControlBudget struct {
	CoreFraction   float64     `toml:"core_share"` // of one core
	Memory         config.Size `toml:"memory"`
	BytesPerSecond config.Size `toml:"bytes_per_second"`
}

// ForwarderBudget is the part of a forwarder's resources for everything but control.
type ForwarderBudget struct {
	Cores       float64         `toml:"cores"`
	Memory      config.Size     `toml:"memory"`
	ReadyWithin config.Duration `toml:"ready_within"` // after a restart

	DrainPerSecond float64 `toml:"drain_per_second"` // messages of a backlog, while no new messages arrive
}

// OperatorEstimate is a figure that the operators measured once. It names the curve to compare it with.
type OperatorEstimate struct {
	Name     string `toml:"what"`
	Value    string `toml:"value"`
	Role     string `toml:"role"`
	Quantity string `toml:"quantity"`

	Size float64 `toml:"size"` // at which the estimate holds; 0 means that it is a cost per unit of size, like the slope of the fitted line
}

// consistencyTolerance is the largest relative difference allowed between a figure and its value derived from other
// figures.
const consistencyTolerance = 0.1

// ReadTarget reads and checks the file of the target size. Errors name the file, the line and the field.
func ReadTarget(path string) (*Target, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseTarget(path, text)
}

// ParseTarget is like ReadTarget for a text that is already in memory. path is only used in errors.
func ParseTarget(path string, text []byte) (*Target, error) {
	target := &Target{}
	if err := config.Decode(path, text, target); err != nil {
		return nil, err
	}
	if problems := target.check(); len(problems) > 0 {
		for i := range problems {
			problems[i].File = path
		}
		return nil, problems
	}
	return target, nil
}

// targetChecker collects the problems of a target.
type targetChecker struct{ problems config.Problems }

func (c *targetChecker) add(field, format string, values ...any) {
	c.problems = append(c.problems, config.Problem{Field: field, Reason: fmt.Sprintf(format, values...)})
}

func (c *targetChecker) positive(field string, value float64) {
	if !(value > 0) || math.IsInf(value, 0) {
		c.add(field, "%v is not a positive number, or it is missing", value)
	}
}

func (c *targetChecker) count(field string, value float64) {
	if c.positive(field, value); value != math.Trunc(value) {
		c.add(field, "%v is not a whole number", value)
	}
}

func (c *targetChecker) fraction(field string, value float64) {
	if c.positive(field, value); value > 1 {
		c.add(field, "%v is greater than 1", value)
	}
}

func (c *targetChecker) skew(field string, value float64) {
	if c.positive(field, value); value < 1 {
		c.add(field, "%v is less than 1, but the busiest cannot be below the mean", value)
	}
}

func (c *targetChecker) agrees(field string, value, other float64, otherIs string) {
	if math.Abs(value-other) > consistencyTolerance*other {
		c.add(field, "%v does not agree with %v, which is %s", value, other, otherIs)
	}
}

func (t *Target) check() config.Problems {
	c := &targetChecker{}
	t.checkFleet(c)
	t.checkLoad(c)
	t.checkChangesAndFailures(c)
	t.checkBudget(c)
	t.checkEstimates(c)
	return c.problems
}

func (t *Target) checkFleet(c *targetChecker) {
	c.count("fleet.forwarders", t.Fleet.Forwarders)
	c.count("fleet.regions", t.Fleet.Regions)
	c.count("fleet.zones", t.Fleet.Zones)
	c.count("fleet.control_machines", t.Fleet.ControlMachines)
	if t.Fleet.Zones < t.Fleet.Regions {
		c.add("fleet.zones", "%v zones are too few for %v regions", t.Fleet.Zones, t.Fleet.Regions)
	}
}

func (t *Target) checkLoad(c *targetChecker) {
	c.positive("load.events_per_second", t.Load.EventsPerSecond)
	c.count("load.destinations", t.Load.Destinations)
	c.fraction("load.down_share", t.Load.DownFraction)
	c.count("load.backlog_events", t.Load.BacklogEvents)
	c.count("load.backlog_per_forwarder", t.Load.BacklogPerForwarder)
	c.positive("load.backlog_for", float64(t.Load.BacklogFor))
	c.positive("load.body", float64(t.Load.Body))
	c.skew("load.forwarder_skew", t.Load.ForwarderSkew)
	c.skew("load.destination_skew", t.Load.DestinationSkew)
	if len(c.problems) > 0 {
		return
	}
	c.agrees("load.backlog_per_forwarder", t.Load.BacklogPerForwarder, t.Load.BacklogEvents/t.Fleet.Forwarders,
		"load.backlog_events divided by fleet.forwarders")
	c.agrees("load.backlog_events", t.Load.BacklogEvents, t.eventsPerSecondDown()*float64(t.Load.BacklogFor),
		"the number of events for destinations that are down during load.backlog_for")
}

func (t *Target) checkChangesAndFailures(c *targetChecker) {
	c.positive("changes.per_day", t.Changes.PerDay)
	c.positive("changes.in_force_within", float64(t.Changes.InForceWithin))
	c.positive("failures.machines_per_day", t.Failures.MachinesPerDay)
	c.positive("failures.restarts_per_day", t.Failures.RestartsPerDay)
	c.positive("failures.racks_per_year", t.Failures.RacksPerYear)
	c.positive("failures.zones_per_year", t.Failures.ZonesPerYear)
	c.positive("failures.regions_apart", float64(t.Failures.RegionsApart))
}

func (t *Target) checkBudget(c *targetChecker) {
	c.fraction("budget.control.core_share", t.Budget.Control.CoreFraction)
	c.positive("budget.control.memory", float64(t.Budget.Control.Memory))
	c.positive("budget.control.bytes_per_second", float64(t.Budget.Control.BytesPerSecond))
	c.positive("budget.forwarder.cores", t.Budget.Forwarder.Cores)
	c.positive("budget.forwarder.memory", float64(t.Budget.Forwarder.Memory))
	c.positive("budget.forwarder.ready_within", float64(t.Budget.Forwarder.ReadyWithin))
	c.positive("budget.forwarder.drain_per_second", t.Budget.Forwarder.DrainPerSecond)
}

func (t *Target) checkEstimates(c *targetChecker) {
	for i, e := range t.Estimates {
		for _, field := range []struct{ name, value string }{{"what", e.Name}, {"value", e.Value}, {"role", e.Role}, {"quantity", e.Quantity}} {
			if field.value == "" {
				c.add(fmt.Sprintf("estimates[%d].%s", i, field.name), "is missing")
			}
		}
		if !(e.Size >= 0) || math.IsInf(e.Size, 0) {
			c.add(fmt.Sprintf("estimates[%d].size", i), "%v is not a valid size", e.Size)
		}
	}
}

// Figures derived from the file.

const secondsPerDay = 24 * 60 * 60

// eventsPerForwarder returns the events per second of the busiest forwarder.
func (t *Target) eventsPerForwarder() float64 {
	return t.Load.EventsPerSecond / t.Fleet.Forwarders * t.Load.ForwarderSkew
}

// eventsPerDestination returns the events per second of the busiest destination.
func (t *Target) eventsPerDestination() float64 {
	return t.Load.EventsPerSecond / t.Load.Destinations * t.Load.DestinationSkew
}

// eventsPerSecondDown returns the events per second for destinations that are down, assuming the same rate
// for all destinations.
func (t *Target) eventsPerSecondDown() float64 { return t.Load.EventsPerSecond * t.Load.DownFraction }

// destinationsDown returns the number of destinations that are down at any time.
func (t *Target) destinationsDown() float64 { return t.Load.Destinations * t.Load.DownFraction }

// changesPerSecond returns the mean rate of changes.
func (t *Target) changesPerSecond() float64 { return t.Changes.PerDay / secondsPerDay }
