package statefile

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// PendingDrainsFile is the name of the file in a forwarder's folder that lists the endpoints that are to be drained if the
// endpoint list names them in time.
const PendingDrainsFile = "out-by-hand-unlisted"

const maxPendingDrainLines = 1 << 12

// WritePendingDrains replaces the file of pending drains, one line with an id and the uptime at which it is forgotten.
func WritePendingDrains(dir string, until map[string]time.Duration) error {
	var b strings.Builder
	for id, at := range until {
		fmt.Fprintf(&b, "%.3f %s\n", at.Seconds(), id)
	}
	return Write(dir, PendingDrainsFile, b.String())
}

// ReadPendingDrains reads the ids of pending drains and when they are forgotten. Malformed lines are ignored.
func ReadPendingDrains(dir string) map[string]time.Duration {
	text, err := os.ReadFile(filepath.Join(dir, PendingDrainsFile))
	if err != nil {
		return nil
	}
	until := map[string]time.Duration{}
	for i, line := range strings.Split(string(text), "\n") {
		if i == maxPendingDrainLines {
			break
		}
		word, id, _ := strings.Cut(line, " ")
		if seconds, err := strconv.ParseFloat(word, 64); err == nil && id != "" && seconds >= 0 && seconds < maxUptime {
			until[id] = time.Duration(seconds * float64(time.Second))
		}
	}
	return until
}
