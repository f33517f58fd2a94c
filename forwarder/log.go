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

// networkLog is the logger of nbio, the network library. It passes on only errors, because nbio's other lines are of no
// use to operators.
type networkLog struct{ log zerolog.Logger }

// SetLevel does nothing, as only errors are logged.
func (n networkLog) SetLevel(int) {}

// Debug discards the line.
func (n networkLog) Debug(string, ...any) {}

// Info discards the line.
func (n networkLog) Info(string, ...any) {}

// Warn discards the line.
func (n networkLog) Warn(string, ...any) {}

// Error logs the line.
func (n networkLog) Error(format string, v ...any) {
	n.log.Error().Str("reason", fmt.Sprintf(format, v...)).Msg("network library error")
}

// Log configures logging and message tracing. Each step of a traced message is logged.
type Log struct {
	Level   zerolog.Level
	Console bool     // human-readable lines instead of JSON
	Sample  float64  // fraction of the messages to trace, from 0 to 1
	Keys    []uint64 // ordering keys whose messages are all traced
	IDs     []string // ids of messages to trace
}

// logger returns a logger of the named forwarder that writes to w.
func (l Log) logger(w io.Writer, forwarder string) zerolog.Logger {
	if l.Console {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly, NoColor: !isTerminal(w)}
	}
	return zerolog.New(w).Level(l.Level).With().Timestamp().Str("forwarder", forwarder).Logger()
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// trace selects the messages to trace. Within a process its decision on an id is always the same.
type trace struct {
	seed    maphash.Seed
	limit   uint64 // ids whose hashes do not exceed it are sampled; 0 means none
	keys    []uint64
	ids     []string
	enabled bool
}

func newTrace(l Log) trace {
	t := trace{seed: maphash.MakeSeed(), keys: l.Keys, ids: l.IDs, enabled: l.Sample > 0 || len(l.Keys)+len(l.IDs) > 0}
	switch {
	case l.Sample >= 1:
		t.limit = math.MaxUint64
	case l.Sample > 0:
		t.limit = uint64(l.Sample * (1 << 63) * 2)
	}
	return t
}

// matches reports whether a message with this id and ordering key is traced.
func (t *trace) matches(id string, key uint64) bool {
	return t.enabled && (slices.Contains(t.ids, id) || slices.Contains(t.keys, key) ||
		t.limit > 0 && maphash.String(t.seed, id) <= t.limit)
}
