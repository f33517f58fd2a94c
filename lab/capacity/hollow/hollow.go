// Package hollow measures how fast a change of discovery's list comes into force in a large fleet, and the cost of
// this.
//
// A hollow forwarder is a lightweight simulated forwarder that holds one endpoint list. It has the real discovery
// client, event queue, scheduler and sockets, but no clients, no calls to endpoints and no write-ahead log, so that
// many of them run in one process (forwarder.FollowEndpoints). The coordinator, Run, starts one process that emulates
// discovery and several worker processes with hollow forwarders, all on 127.0.0.1. It controls them by lines of JSON
// and ends them before it returns. A list is in force at a forwarder once its scheduler has the list and has
// reconciled.
//
// Processor time is that of whole processes, as reported by getrusage. Bytes are counted at the sockets, without the
// TCP and IP headers of about 52 bytes per segment.
package hollow

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"spanflow/lab/capacity"
)

// Scenario names the event that a trial measures.
type Scenario string

// The scenarios.
const (
	Idle     Scenario = "idle"    // nothing changes
	Change   Scenario = "change"  // the list changes
	Restart  Scenario = "restart" // a third of the forwarders restart at the same time, and the list changes
	Outage   Scenario = "outage"  // discovery is down for a while, during which the list changes
	Zone     Scenario = "zone"    // a zone is cut off from discovery for a while, during which the list changes
	FullList Scenario = "whole"   // all forwarders start at the same time without a list, so that each gets the full list
)

// Scenarios lists all scenarios in the order in which they are run.
var Scenarios = []Scenario{Idle, Change, Restart, Outage, Zone, FullList}

const (
	maxForwarders   = 2000
	maxProcesses    = 100
	maxDestinations = 1_000_000
	maxChanges      = 100
	memoryDivisor   = 2                // the memory limit must be at most the machine's memory divided by this
	trialTimeout    = 4 * time.Minute  // time after which a trial fails
	inForceTimeout  = 60 * time.Second // a forwarder without the list in force after this time counts as missed
	restartEveryNth = 3
	cutZone         = 0
)

// InForceTarget is the time within which a change has to be in force at all forwarders (issue 44).
const InForceTarget = 9 * time.Second

// Config holds the scenarios to run, the size of the fleet and its limits.
type Config struct {
	Scenarios    []Scenario
	Forwarders   int
	Processes    int // worker processes that share the forwarders
	Destinations int
	Changes      int           // number of successive changes in scenario Change
	Duration     time.Duration // duration of each trial's idle window, and of an outage of discovery or a zone
	MemoryBytes  int64         // limit for all processes together; 0 means a quarter of the machine's memory
	ListBytes    int           // limit for one object of a watch; 0 means the forwarder's default
	Seed         uint64
	Program      []string     // command line, to which the role is appended; it calls Serve on standard input and output
	Progress     func(string) // called with a line for each step; may be nil
}

// check sets the default of MemoryBytes and returns an error that names the first field that is out of range.
func (c *Config) check() error {
	for _, field := range []struct {
		name         string
		value, limit int
	}{{"forwarders", c.Forwarders, maxForwarders}, {"processes", c.Processes, maxProcesses},
		{"destinations", c.Destinations, maxDestinations}, {"changes", c.Changes, maxChanges}} {
		if field.value < 1 || field.value > field.limit {
			return fmt.Errorf("%s: %d is not between 1 and %d", field.name, field.value, field.limit)
		}
	}
	for _, scenario := range c.Scenarios {
		if !slices.Contains(Scenarios, scenario) {
			return fmt.Errorf("scenario: %q is not one of %v", scenario, Scenarios)
		}
	}
	machineBytes := machineMemory()
	if c.MemoryBytes == 0 {
		c.MemoryBytes = machineBytes / (2 * memoryDivisor)
	}
	switch {
	case c.Processes > c.Forwarders:
		return fmt.Errorf("processes: %d exceeds the %d forwarders", c.Processes, c.Forwarders)
	case c.Duration <= 0 || c.Duration > trialTimeout/4:
		return fmt.Errorf("lasts: %s is not between 0 and %s", c.Duration, trialTimeout/4)
	case c.ListBytes < 0:
		return fmt.Errorf("list limit: %d is negative", c.ListBytes)
	case c.MemoryBytes <= 0 || c.MemoryBytes > machineBytes/memoryDivisor:
		return fmt.Errorf("memory: %d MB is not between 0 and half of the machine's memory, %d MB", c.MemoryBytes>>20, machineBytes/memoryDivisor>>20)
	case len(c.Program) == 0:
		return errors.New("program: no command line is set")
	}
	return nil
}

func (c *Config) progress(format string, args ...any) {
	if c.Progress != nil {
		c.Progress(fmt.Sprintf(format, args...))
	}
}

// Run runs the scenarios one after another. It returns the finished trials even if it returns an error.
func Run(ctx context.Context, config Config) ([]capacity.FleetTrial, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	var trials []capacity.FleetTrial
	for _, scenario := range config.Scenarios {
		trial, err := runTrial(ctx, config, scenario)
		if err != nil {
			return trials, fmt.Errorf("%s: %w", scenario, err)
		}
		trials = append(trials, trial)
	}
	return trials, nil
}

var errTooLong = fmt.Errorf("not finished within %s", trialTimeout)

func runTrial(ctx context.Context, config Config, scenario Scenario) (capacity.FleetTrial, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, trialTimeout, errTooLong)
	defer cancel()
	size, err := planFleet(ctx, config, scenario)
	if err != nil {
		return capacity.FleetTrial{}, err
	}
	config.progress("%s: %d forwarders, %d destinations", scenario, size.forwarders, config.Destinations)
	f, err := newFleet(ctx, config, size)
	if err != nil {
		return capacity.FleetTrial{}, err
	}
	defer f.end()
	t := &trial{config: config, scenario: scenario, fleet: f}
	if err := t.run(); err != nil {
		return capacity.FleetTrial{}, f.cancelCause(err)
	}
	return t.result, nil
}
