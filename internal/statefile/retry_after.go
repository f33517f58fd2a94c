package statefile

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// RetryAfterFile is the name of the file in a forwarder's folder that holds the Retry-After state.
const RetryAfterFile = "waits"

const maxRetryAfterLines = 1 << 14 // maximum number of lines read, one per endpoint

// RetryAfterTable collects the times until which endpoints get no calls, to be written to a file. The zero value is an
// empty table.
type RetryAfterTable struct{ lines strings.Builder }

// Add adds an endpoint that gets no calls until the given time, in seconds of the wall clock.
func (t *RetryAfterTable) Add(endpoint string, until float64) {
	fmt.Fprintf(&t.lines, "%s %.3f\n", endpoint, until)
}

// Write replaces the file of the Retry-After state in dir.
func (t *RetryAfterTable) Write(dir string) error {
	return Write(dir, RetryAfterFile, t.lines.String())
}

// ReadRetryAfter reads the times until which endpoints get no calls, in seconds of the wall clock. It leaves out times
// that are not after now, and malformed lines. It returns nil if the file cannot be read.
func ReadRetryAfter(dir string, now float64) map[string]float64 {
	text, err := os.ReadFile(filepath.Join(dir, RetryAfterFile))
	if err != nil {
		return nil
	}
	retryAfter := map[string]float64{}
	for i, line := range strings.Split(string(text), "\n") {
		if i == maxRetryAfterLines {
			break
		}
		endpoint, seconds, _ := strings.Cut(line, " ")
		if until, err := strconv.ParseFloat(seconds, 64); err == nil && until > now {
			retryAfter[endpoint] = until
		}
	}
	return retryAfter
}
