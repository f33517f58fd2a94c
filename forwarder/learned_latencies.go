package forwarder

import (
	"fmt"
	"strconv"

	"github.com/rs/zerolog"

	"spanflow/internal/statefile"
)

// Learned latencies are written while a process runs and at its end, so that the process that follows on the folder,
// perhaps in a fleet of another size, need not guess them. They are never needed: a file that is truncated, corrupt, or
// from other message types and kinds of endpoints is ignored with a log line.

// latencyDeployment names what learned latencies depend on: those at endpoints of other kinds, for other message types,
// mean something else.
func (c *Config) latencyDeployment() string {
	return strconv.Quote(fmt.Sprint(c.Names.Kinds, c.Names.Types))
}

// writeLatencies has the state writer write the latencies measured at each destination, and those that an earlier
// process left for destinations that are not known yet.
func (loop *eventLoop) writeLatencies() {
	var table statefile.LatencyTable
	for number, d := range loop.endpoints.destinations {
		table.AddMeasured(number, d.Latencies())
	}
	for number, counts := range loop.endpoints.restoredLatencies {
		table.AddInherited(number, counts)
	}
	folder, deployment := loop.config.Folder, loop.config.latencyDeployment()
	loop.stateWriter.put(statefile.LatenciesFile, func() error { return table.Write(folder, deployment) })
}

// readLatencies reads the latencies that an earlier process of this deployment left, by destination.
func readLatencies(folder, deployment string, log *zerolog.Logger) map[uint64][]float64 {
	latencies, err := statefile.ReadLatencies(folder, deployment)
	if err != nil {
		log.Warn().Err(err).Msg("learned latencies ignored")
	}
	return latencies
}
