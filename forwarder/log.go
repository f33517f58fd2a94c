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

// networkLog is the logger of nbio, the network library. Only errors are passed on: its other lines are of no
// use to operators.
type networkLog struct{ log zerolog.Logger }

// SetLevel is ignored: the level is always that of errors.
func (n networkLog) SetLevel(int) {}

// Debug drops a line.
func (n networkLog) Debug(string, ...any) {}

// Info drops a line.
func (n networkLog) Info(string, ...any) {}

// Warn drops a line.
func (n networkLog) Warn(string, ...any) {}

// Error logs a line.
func (n networkLog) Error(format string, v ...any) {
	n.log.Error().Str("reason", fmt.Sprintf(format, v...)).Msg("network")
}

// Log configures the log. The course of messages that are traced is logged.
type Log struct {
	Level   zerolog.Level
	Console bool     // for people, not as JSON
	Sample  float64  // part of the messages that is traced, from 0 to 1
	Keys    []uint64 // all messages with one of these ordering keys are traced
	IDs     []string // and those with one of these ids
}

// to is a logger of the named forwarder that writes to w.
func (l Log) to(w io.Writer, forwarder string) zerolog.Logger {
	if l.Console {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly, NoColor: !terminal(w)}
	}
	return zerolog.New(w).Level(l.Level).With().Timestamp().Str("forwarder", forwarder).Logger()
}

// terminal reports whether w is a terminal.
func terminal(w io.Writer) bool {
	f, is := w.(*os.File)
	if !is {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// trace picks the messages that are traced. Within a process it decides the same for an id each time.
type trace struct {
	seed  maphash.Seed
	limit uint64 // ids whose hashes are not over it are sampled; 0: none
	keys  []uint64
	ids   []string
	on    bool
}

func newTrace(l Log) trace {
	t := trace{seed: maphash.MakeSeed(), keys: l.Keys, ids: l.IDs, on: l.Sample > 0 || len(l.Keys)+len(l.IDs) > 0}
	switch {
	case l.Sample >= 1:
		t.limit = math.MaxUint64
	case l.Sample > 0:
		t.limit = uint64(l.Sample * (1 << 63) * 2)
	}
	return t
}

// picks reports whether the message with an id and an ordering key is traced.
func (t *trace) picks(id string, key uint64) bool {
	return t.on && (slices.Contains(t.ids, id) || slices.Contains(t.keys, key) ||
		t.limit > 0 && maphash.String(t.seed, id) <= t.limit)
}
