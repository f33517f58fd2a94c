package forwarder

import (
	"fmt"
	"strconv"

	"github.com/rs/zerolog"

	"spanflow/internal/statefile"
)

// Learned latencies are written regularly and at the end of a process, so that the next process on the folder, possibly
// in a fleet of another size, need not estimate them. They are optional: a file that is truncated, corrupt, or from a
// deployment with other message types or kinds of endpoints is logged and ignored.

// latencyDeployment identifies the kinds of endpoints and the message types that learned latencies depend on. Latencies
// learned with other kinds or types are not comparable.
func (c *Config) latencyDeployment() string {
	return strconv.Quote(fmt.Sprint(c.Names.Kinds, c.Names.Types))
}

// writeLatencies passes the latencies to the state writer: those measured at each destination, and those that an
// earlier process left for destinations that are not known yet.
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

// readLatencies returns the latencies that an earlier process of this deployment left, by destination. A file that
// cannot be used is logged and ignored.
func readLatencies(folder, deployment string, log *zerolog.Logger) map[uint64][]float64 {
	latencies, err := statefile.ReadLatencies(folder, deployment)
	if err != nil {
		log.Warn().Err(err).Msg("learned latencies ignored")
	}
	return latencies
}
