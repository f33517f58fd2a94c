package statefile

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// LatenciesFile is the name of the file in a forwarder's folder that holds the learned latencies.
const LatenciesFile = "learnt"

const (
	latenciesHeader     = "spanflow learnt 1"
	latenciesParts      = 4       // the header, the deployment, the checksum and the lines
	measuredDigits      = 4       // significant digits
	maxLatencyLines     = 1 << 12 // one per destination
	maxLatencyFileBytes = 1 << 20
)

// Errors of ReadLatencies for a file that is ignored.
var (
	ErrLatenciesFormat     = errors.New("not a file of learned latencies")
	ErrLatenciesDeployment = errors.New("learned with other message types or kinds of endpoints")
	ErrLatenciesChecksum   = errors.New("truncated or corrupt")
)

// LatencyTable collects the learned latencies of destinations to be written to a file. The zero value is an empty
// table. Destinations beyond the first 4,096 are left out.
type LatencyTable struct {
	lines strings.Builder
	count int
}

// AddMeasured adds the latency counts measured for a destination, rounded to four significant digits. It does nothing
// if counts is nil.
func (t *LatencyTable) AddMeasured(destination uint64, counts []float64) {
	if counts != nil {
		t.add(destination, counts, measuredDigits)
	}
}

// AddInherited adds counts that were read from the file of an earlier process. It does not round them.
func (t *LatencyTable) AddInherited(destination uint64, counts []float64) {
	t.add(destination, counts, -1)
}

func (t *LatencyTable) add(destination uint64, counts []float64, digits int) {
	if t.count == maxLatencyLines {
		return
	}
	t.count++
	t.lines.WriteString(strconv.FormatUint(destination, 10))
	for _, n := range counts {
		t.lines.WriteString(" " + strconv.FormatFloat(n, 'g', digits, 64))
	}
	t.lines.WriteByte('\n')
}

// Write replaces the file of learned latencies in dir. The deployment is one line of text that identifies the
// configuration on which the latencies depend; only a process of the same deployment reads them back.
func (t *LatencyTable) Write(dir, deployment string) error {
	lines := t.lines.String()
	return Write(dir, LatenciesFile,
		fmt.Sprintf("%s\n%s\n%s\n%s", latenciesHeader, deployment, checksum(lines), lines))
}

func checksum(lines string) string { return fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(lines))) }

// ReadLatencies reads the latency counts by destination that an earlier process of this deployment wrote. It returns
// nil without an error if no file can be opened, and an error such as ErrLatenciesChecksum if the file cannot be used.
// Malformed lines are ignored.
func ReadLatencies(dir, deployment string) (map[uint64][]float64, error) {
	f, err := os.Open(filepath.Join(dir, LatenciesFile))
	if err != nil {
		return nil, nil
	}
	text, err := io.ReadAll(io.LimitReader(f, maxLatencyFileBytes))
	if err = errors.Join(err, f.Close()); err != nil {
		return nil, err
	}
	return decodeLatencies(string(text), deployment)
}

func decodeLatencies(text, deployment string) (map[uint64][]float64, error) {
	parts := strings.SplitN(text, "\n", latenciesParts)
	if len(parts) < latenciesParts || parts[0] != latenciesHeader {
		return nil, ErrLatenciesFormat
	}
	if parts[1] != deployment {
		return nil, ErrLatenciesDeployment
	}
	if lines := parts[3]; parts[2] != checksum(lines) {
		return nil, ErrLatenciesChecksum
	}
	latencies := map[uint64][]float64{}
	for line := range strings.SplitSeq(parts[3], "\n") {
		if destination, counts, ok := decodeLatencyLine(line); ok && len(latencies) < maxLatencyLines {
			latencies[destination] = counts
		}
	}
	return latencies, nil
}

func decodeLatencyLine(line string) (destination uint64, counts []float64, ok bool) {
	words := strings.Fields(line)
	if len(words) < 2 {
		return 0, nil, false
	}
	destination, err := strconv.ParseUint(words[0], 10, 64)
	if err != nil {
		return 0, nil, false
	}
	for _, word := range words[1:] {
		count, err := strconv.ParseFloat(word, 64)
		if err != nil {
			return 0, nil, false
		}
		counts = append(counts, count)
	}
	return destination, counts, true
}
