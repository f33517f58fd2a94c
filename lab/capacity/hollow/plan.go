package hollow

import (
	"context"
	"fmt"
)

const (
	pilotGC            = "GOGC=25" // frequent collections, so that the pilot's memory contains little garbage
	memoryReserve      = 1.15      // memory planned for each forwarder, relative to the pilot's
	minForwarderMemory = 256 << 10 // minimum bytes planned for a forwarder, as smaller amounts are not measured reliably
	unlimitedMemory    = int64(1) << 50
)

// fleetSize is the number of forwarders of a trial, with a note if it is smaller than requested.
type fleetSize struct {
	forwarders, processes int
	memoryLimit           int64 // memory in bytes that each worker's garbage collector aims at
	note                  string
}

// footprint is the memory in bytes that the parts of a trial need.
type footprint struct {
	server    int64
	worker    int64 // memory of a worker without forwarders
	forwarder int64 // peak memory of a forwarder from its start until its first list is in force
}

// planFleet measures the memory of one forwarder in a pilot fleet and fits the fleet into the memory limit.
func planFleet(ctx context.Context, config Config, scenario Scenario) (fleetSize, error) {
	f, err := newFleet(ctx, config, fleetSize{forwarders: 1, processes: 1, memoryLimit: unlimitedMemory}, pilotGC)
	if err != nil {
		return fleetSize{}, err
	}
	defer f.end()
	config.progress("%s: measuring one forwarder with %d destinations", scenario, config.Destinations)
	need, err := f.measureFootprint(scenario != FullList)
	if err != nil {
		return fleetSize{}, f.cancelCause(err)
	}
	return fitFleet(config, need)
}

// fitFleet computes how many forwarders fit into the memory limit.
func fitFleet(config Config, need footprint) (fleetSize, error) {
	perForwarder := max(minForwarderMemory, int64(memoryReserve*float64(need.forwarder)))
	available := config.MemoryBytes - need.server - int64(config.Processes)*need.worker
	size := fleetSize{forwarders: config.Forwarders}
	if fit := available / perForwarder; fit < int64(size.forwarders) {
		if fit < 1 {
			return size, fmt.Errorf("memory: %d MB is too little for the processes and one forwarder of %d MB", config.MemoryBytes>>20, perForwarder>>20)
		}
		size.forwarders = int(fit)
		size.note = fmt.Sprintf("%d forwarders in place of %d: one needs %.1f MB, all processes together may have %.1f GB",
			fit, config.Forwarders, float64(perForwarder)/(1<<20), float64(config.MemoryBytes)/(1<<30))
	}
	size.processes = min(config.Processes, size.forwarders)
	size.memoryLimit = need.worker + available/int64(size.processes)
	return size, nil
}
