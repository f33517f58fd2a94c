package forwarder

import (
	"fmt"
	"hash/maphash"
	"io"
	"math"
	"os"
	"slices"
	"time"

	"github.com/rs/zerolog"
)

// networkLog takes what nbio logs. Its levels but for errors say nothing to on-call staff.
type networkLog struct{ log zerolog.Logger }

func (n networkLog) SetLevel(int)         {}
func (n networkLog) Debug(string, ...any) {}
func (n networkLog) Info(string, ...any)  {}
func (n networkLog) Warn(string, ...any)  {}
func (n networkLog) Error(format string, v ...any) {
	n.log.Error().Str("why", fmt.Sprintf(format, v...)).Msg("network")
}

// Log is what an order says of log lines.
type Log struct {
	Level   zerolog.Level
	Console bool     // for people, not as JSON
	Sample  float64  // share of messages whose course is logged
	Keys    []uint64 // the course of each message with one of these is
	IDs     []string
}

func (l Log) to(w io.Writer, forwarder string) zerolog.Logger {
	if l.Console {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly, NoColor: !terminal(w)}
	}
	return zerolog.New(w).Level(l.Level).With().Timestamp().Str("forwarder", forwarder).Logger()
}

// terminal tells if what is written is seen by a person at once.
func terminal(w io.Writer) bool {
	f, is := w.(*os.File)
	if !is {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// trace picks messages whose course is logged. The same id is picked each time within a process.
type trace struct {
	seed  maphash.Seed
	below uint64
	keys  []uint64
	ids   []string
	on    bool
}

func newTrace(l Log) trace {
	t := trace{seed: maphash.MakeSeed(), keys: l.Keys, ids: l.IDs, on: l.Sample > 0 || len(l.Keys)+len(l.IDs) > 0}
	switch {
	case l.Sample >= 1:
		t.below = math.MaxUint64
	case l.Sample > 0:
		t.below = uint64(l.Sample * (1 << 63) * 2)
	}
	return t
}

func (t *trace) picks(id string, key uint64) bool {
	return t.on && (slices.Contains(t.ids, id) || slices.Contains(t.keys, key) ||
		t.below > 0 && maphash.String(t.seed, id) <= t.below)
}
