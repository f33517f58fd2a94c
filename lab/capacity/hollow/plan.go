package hollow

import (
	"context"
	"fmt"
)

const (
	pilotCollector = "GOGC=25" // so that the pilot's memory has little garbage in it
	reserve        = 1.15      // of the memory for each forwarder, times what the pilot's took
	leastEach      = 256 << 10 // bytes that a forwarder is taken to need at least: a small one's is not measured well
	unlimited      = int64(1) << 50
)

// fleetSize is how many forwarders a trial has, and why not more.
type fleetSize struct {
	forwarders, processes int
	memoryLimit           int64 // of each worker, for its garbage collector, in bytes
	note                  string
}

// footprint is the memory that the parts of a trial need, in bytes.
type footprint struct {
	server    int64
	worker    int64 // without forwarders
	forwarder int64 // from its start until the first list is in force, at most
}

// planFleet measures what memory one forwarder needs and fits the fleet into what is allowed.
func planFleet(ctx context.Context, config Config, scenario Scenario) (fleetSize, error) {
	f, err := newFleet(ctx, config, fleetSize{forwarders: 1, processes: 1, memoryLimit: unlimited}, pilotCollector)
	if err != nil {
		return fleetSize{}, err
	}
	defer f.end()
	config.progress("%s: measuring one forwarder with %d destinations", scenario, config.Destinations)
	need, err := f.measureFootprint(scenario != FullList)
	if err != nil {
		return fleetSize{}, f.reason(err)
	}
	return fitFleet(config, need)
}

// fitFleet works out how many forwarders the memory allows.
func fitFleet(config Config, need footprint) (fleetSize, error) {
	each := max(leastEach, int64(reserve*float64(need.forwarder)))
	room := config.MemoryBytes - need.server - int64(config.Processes)*need.worker
	size := fleetSize{forwarders: config.Forwarders}
	if fit := room / each; fit < int64(size.forwarders) {
		if fit < 1 {
			return size, fmt.Errorf("memory: %d MB do not hold a forwarder of %d MB beside the processes", config.MemoryBytes>>20, each>>20)
		}
		size.forwarders = int(fit)
		size.note = fmt.Sprintf("%d forwarders in place of %d: one needs %.1f MB, all processes together may have %.1f GB",
			fit, config.Forwarders, float64(each)/(1<<20), float64(config.MemoryBytes)/(1<<30))
	}
	size.processes = min(config.Processes, size.forwarders)
	size.memoryLimit = need.worker + room/int64(size.processes)
	return size, nil
}
