package statefile

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// RetryAfterFile is the name of the file with the retry-after state in a forwarder's folder.
const RetryAfterFile = "waits"

const maxRetryAfterLines = 1 << 14 // lines read; one an endpoint

// RetryAfterTable collects until when endpoints get no calls, to be written to a file. The zero value is an empty table.
type RetryAfterTable struct{ lines strings.Builder }

// Add adds an endpoint that gets no calls until then, in seconds of the wall clock.
func (t *RetryAfterTable) Add(endpoint string, until float64) {
	fmt.Fprintf(&t.lines, "%s %.3f\n", endpoint, until)
}

// Write replaces the file of the retry-after state in dir.
func (t *RetryAfterTable) Write(dir string) error {
	return Write(dir, RetryAfterFile, t.lines.String())
}

// ReadRetryAfter reads until when endpoints get no calls, in seconds of the wall clock, as far as that is after now. It
// returns none if the file cannot be read and leaves malformed lines out.
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
