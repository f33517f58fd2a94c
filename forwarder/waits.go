package forwarder

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// waitsFile keeps, at the end of a process, until when each endpoint's route is shut: a wait that it told, or a pause
// after refusals. The process that follows on the folder heeds them. Guards against an upgrade or a restart sending
// to a destination that told the old process to wait; the two are one forwarder to it.
const (
	waitsFile = "waits"
	mostWaits = 1 << 14 // lines read; one an endpoint
)

// keepWaits writes the waits that go beyond now, in seconds of the wall clock, one endpoint a line.
func (loop *eventLoop) saveRetryAfter(now float64) {
	var b strings.Builder
	for _, t := range loop.endpoints.byNumber {
		if until := t.scheduled.BlockedUntil(); until > now {
			fmt.Fprintf(&b, "%s %.3f\n", t.uid, until)
		}
	}
	if err := writeWhole(loop.config.Folder, waitsFile, b.String()); err != nil {
		loop.telemetry.log.Error().Err(err).Msg("waits not kept")
	}
}

// readWaits reads the waits that an earlier process kept and that go beyond now.
func readWaits(dir string, now float64) map[string]float64 {
	text, err := os.ReadFile(filepath.Join(dir, waitsFile))
	if err != nil {
		return nil
	}
	waits := map[string]float64{}
	for i, line := range strings.Split(string(text), "\n") {
		uid, at, _ := strings.Cut(line, " ")
		until, err := strconv.ParseFloat(at, 64)
		if i < mostWaits && err == nil && until > now {
			waits[uid] = until
		}
	}
	return waits
}

// heedWaits tells the scheduler the waits of an earlier process for the endpoints that are listed by now.
func (loop *eventLoop) restoreRetryAfter() {
	now := loop.schedulerTime(time.Now())
	for uid, until := range loop.endpoints.restoredRetryAfter {
		if until < now {
			delete(loop.endpoints.restoredRetryAfter, uid)
		} else if t := loop.endpoints.byUID[uid]; t != nil {
			loop.scheduler.BlockUntil(t.scheduled, until)
			delete(loop.endpoints.restoredRetryAfter, uid)
		}
	}
}
