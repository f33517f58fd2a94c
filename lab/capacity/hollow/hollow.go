// Package hollow measures how fast and at what cost a change of discovery's list comes into force in a large fleet.
//
// A hollow forwarder is the real discovery client, the real hand-over of lists and the real scheduler on real sockets,
// without clients, calls to endpoints and a write-ahead log; many run in one process (forwarder.FollowEndpoints). The
// coordinator, Run, starts a process with an emulator of discovery and some with forwarders, all on 127.0.0.1, commands
// them by JSON lines, and ends them when it returns. A list is in force at a forwarder once its scheduler has it and
// has reconciled.
//
// Processor time is that of whole processes by getrusage. Bytes are those that the sockets took and gave, without the
// headers of TCP and IP: some 52 a segment come on top.
package hollow

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"spanflow/lab/capacity"
)

// Scenario is what happens to the fleet in a trial.
type Scenario string

// The scenarios.
const (
	Idle     Scenario = "idle"    // nothing
	Change   Scenario = "change"  // the list changes
	Restart  Scenario = "restart" // a third is restarted at once, and the list changes
	Outage   Scenario = "outage"  // discovery is away for a time, and the list changes meanwhile
	Zone     Scenario = "zone"    // a zone is cut off from discovery for a time, and the list changes meanwhile
	FullList Scenario = "whole"   // all start at once and know no list, so that each gets the full list
)

// Scenarios are all scenarios in the order in which they are run.
var Scenarios = []Scenario{Idle, Change, Restart, Outage, Zone, FullList}

const (
	maxForwarders   = 2000
	maxProcesses    = 100
	maxDestinations = 1_000_000
	maxChanges      = 100
	memoryDivisor   = 2                // all processes together stay under one part in so many of the machine's memory
	trialWithin     = 4 * time.Minute  // a trial that takes longer ends with an error
	inForceWithin   = 60 * time.Second // a forwarder that does not have a list so long after it could is missed
	restartEveryNth = 3
	cutZone         = 0
)

// InForceTarget is the time within which a change has to be in force everywhere (issue 44).
const InForceTarget = 9 * time.Second

// Config says what is run.
type Config struct {
	Scenarios    []Scenario
	Forwarders   int
	Processes    int // that the forwarders are spread over
	Destinations int
	Changes      int           // of the scenario Change, one after another
	Duration     time.Duration // of the idle window of each trial; and how long discovery or a zone is away
	MemoryBytes  int64         // of all processes together; 0: a quarter of the machine's
	ListBytes    int           // of one object of discovery's watch at most; 0: the forwarder's own limit
	Seed         uint64
	Program      []string     // calls Serve with the role that is appended, on standard input and output
	Progress     func(string) // gets a line for each step; may be nil
}

// check names the first field that is out of range, and fills in the memory.
func (c *Config) check() error {
	for _, field := range []struct {
		name        string
		value, most int
	}{{"forwarders", c.Forwarders, maxForwarders}, {"processes", c.Processes, maxProcesses},
		{"destinations", c.Destinations, maxDestinations}, {"changes", c.Changes, maxChanges}} {
		if field.value < 1 || field.value > field.most {
			return fmt.Errorf("%s: %d is not between 1 and %d", field.name, field.value, field.most)
		}
	}
	for _, scenario := range c.Scenarios {
		if !slices.Contains(Scenarios, scenario) {
			return fmt.Errorf("scenario: %q is not one of %v", scenario, Scenarios)
		}
	}
	all := machineMemory()
	if c.MemoryBytes == 0 {
		c.MemoryBytes = all / (2 * memoryDivisor)
	}
	switch {
	case c.Processes > c.Forwarders:
		return fmt.Errorf("processes: %d are more than the %d forwarders", c.Processes, c.Forwarders)
	case c.Duration <= 0 || c.Duration > trialWithin/4:
		return fmt.Errorf("lasts: %s is not between 0 and %s", c.Duration, trialWithin/4)
	case c.ListBytes < 0:
		return fmt.Errorf("list limit: %d is under 0", c.ListBytes)
	case c.MemoryBytes <= 0 || c.MemoryBytes > all/memoryDivisor:
		return fmt.Errorf("memory: %d MB are not between 0 and half of the machine's, %d MB", c.MemoryBytes>>20, all/memoryDivisor>>20)
	case len(c.Program) == 0:
		return errors.New("program: none for the processes")
	}
	return nil
}

func (c *Config) progress(format string, args ...any) {
	if c.Progress != nil {
		c.Progress(fmt.Sprintf(format, args...))
	}
}

// Run runs the scenarios one after another. It returns the trials that were finished, also beside an error.
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

var errTooLong = fmt.Errorf("not finished within %s", trialWithin)

func runTrial(ctx context.Context, config Config, scenario Scenario) (capacity.FleetTrial, error) {
	ctx, cancel := context.WithTimeoutCause(ctx, trialWithin, errTooLong)
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
		return capacity.FleetTrial{}, f.reason(err)
	}
	return t.result, nil
}
