package forwarder

import (
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rs/zerolog"
)

// learntFile keeps, at the end of a process, the call times measured at each destination, so that the process that
// follows on the folder, perhaps in a fleet of another size, need not guess them. It is never needed: one that is cut,
// spoilt, or from other message types and kinds of destination is passed over with a log line.
const (
	learntFile  = "learnt"
	learntForm  = "spanflow learnt 1"
	mostLearnt  = 1 << 12 // destinations
	learntBytes = 1 << 20 // of the file
)

// shape names what the figures depend on: times at destinations of other kinds, for other types, mean something else.
func (o *Config) shape() string { return strconv.Quote(fmt.Sprint(o.Names.Kinds, o.Names.Types)) }

// keepLearnt writes the times, one destination a line behind the form, the shape and a checksum.
func (loop *eventLoop) saveLatencies() {
	var b strings.Builder
	lines := 0
	for number, d := range loop.endpoints.destinations {
		times := d.Latencies()
		if times == nil || lines == mostLearnt {
			continue
		}
		lines++
		fmt.Fprint(&b, number)
		for _, n := range times {
			b.WriteString(" " + strconv.FormatFloat(n, 'g', 4, 64))
		}
		b.WriteByte('\n')
	}
	for number, times := range loop.endpoints.restoredLatencies { // of destinations that were not heard of
		if lines == mostLearnt {
			break
		}
		lines++
		fmt.Fprintln(&b, number, strings.Trim(fmt.Sprint(times), "[]"))
	}
	text := fmt.Sprintf("%s\n%s\n%08x\n%s", learntForm, loop.config.shape(), crc32.ChecksumIEEE([]byte(b.String())), b.String())
	if err := writeWhole(loop.config.Folder, learntFile, text); err != nil {
		loop.telemetry.log.Error().Err(err).Msg("learnt figures not kept")
	}
}

// readLearnt reads the times that an earlier process kept for this shape of deployment.
func readLearnt(dir, shape string, log *zerolog.Logger) map[uint64][]float64 {
	f, err := os.Open(filepath.Join(dir, learntFile))
	if err != nil {
		return nil
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, learntBytes))
	learnt, why := map[uint64][]float64{}, ""
	switch parts := strings.SplitN(string(text), "\n", 4); {
	case err != nil:
		why = err.Error()
	case len(parts) < 4 || parts[0] != learntForm:
		why = "not of this form"
	case parts[1] != shape:
		why = "of other types or kinds"
	case parts[2] != fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(parts[3]))):
		why = "cut or spoilt"
	default:
		for _, line := range strings.Split(parts[3], "\n") {
			if number, times, ok := learntLine(line); ok && len(learnt) < mostLearnt {
				learnt[number] = times
			}
		}
	}
	if why != "" {
		log.Warn().Str("why", why).Msg("learnt figures passed over")
	}
	return learnt
}

func learntLine(line string) (number uint64, times []float64, ok bool) {
	words := strings.Fields(line)
	if len(words) < 2 {
		return 0, nil, false
	}
	number, err := strconv.ParseUint(words[0], 10, 64)
	for _, w := range words[1:] {
		n, bad := strconv.ParseFloat(w, 64)
		if bad != nil {
			return 0, nil, false
		}
		times = append(times, n)
	}
	return number, times, err == nil
}
