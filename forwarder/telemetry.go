package forwarder

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"spanflow/internal/dial"
	"spanflow/transport"
)

// telemetry is what the event loop reports of itself: log lines, traced messages, counts and metrics.
type telemetry struct {
	log        zerolog.Logger
	output     io.Writer            // where the log goes
	lastLogged map[string]time.Time // when lines whose rate is limited were last written, by kind
	trace      trace
	counts     counts
	figures    figures
	recorder   transport.Recorder
	recording  bool // the recorder serves metrics

	// Read by the metrics from other goroutines.
	heldMessages atomic.Int64
	walBytes     atomic.Int64
}

const (
	slowTurn    = 100 * time.Millisecond // a turn of the event loop, or a wait for it, that is logged
	logInterval = time.Second            // between two lines of a kind that is limited
)

func newTelemetry(config Log, log zerolog.Logger) telemetry {
	return telemetry{
		log:        log,
		lastLogged: map[string]time.Time{},
		trace:      newTrace(config),
		recorder:   noRecorder{},
	}
}

// mayLog reports whether a line of a kind is to be written: at most one each logInterval.
func (t *telemetry) mayLog(kind string) bool {
	now := time.Now()
	if now.Before(t.lastLogged[kind].Add(logInterval)) {
		return false
	}
	t.lastLogged[kind] = now
	return true
}

// logWALError logs that the write-ahead log could not be written.
func (loop *eventLoop) logWALError(err error) {
	if loop.telemetry.mayLog("write-ahead log") {
		loop.telemetry.log.Error().Err(err).Msg("write-ahead log cannot be written")
	}
}

// recordTurn records a turn that handled so many events, the first of which has waited since a time.
func (loop *eventLoop) recordTurn(events int, since, start time.Time) {
	t := &loop.telemetry
	took, waited := time.Since(start), start.Sub(since)
	if t.recording {
		t.recorder.LoopTurn(events, took)
		t.heldMessages.Store(int64(len(loop.messages.byNumber)))
		t.walBytes.Store(loop.wal.Used())
	}
	if (events > 0 && waited > slowTurn || took > slowTurn) && t.mayLog("slow turn") {
		t.log.Warn().Int("events", events).Dur("waited_ms", waited).Dur("turn_ms", took).Msg("slow turn")
	}
}

// gauges are the metrics that are read when they are scraped.
func (loop *eventLoop) gauges(dialer *dial.Dialer) []transport.Gauge {
	t := &loop.telemetry
	gauges := []transport.Gauge{
		{Name: "held_documents", Read: func() float64 { return float64(t.heldMessages.Load()) }},
		{Name: "ledger_bytes", Read: func() float64 { return float64(t.walBytes.Load()) }},
		{Name: "outgoing_connections", Read: func() float64 { return float64(dialer.Open()) }},
	}
	return append(gauges, loop.backlogGauges()...)
}

// noRecorder counts nothing.
type noRecorder struct{}

// SubmissionAnswered does nothing.
func (noRecorder) SubmissionAnswered(string, transport.Status) {}

// AttemptEnded does nothing.
func (noRecorder) AttemptEnded(transport.ResultCode, time.Duration) {}

// FinalAnswered does nothing.
func (noRecorder) FinalAnswered(transport.Outcome, time.Duration) {}

// LoopTurn does nothing.
func (noRecorder) LoopTurn(int, time.Duration) {}

// Addr is empty: no metrics are served.
func (noRecorder) Addr() string { return "" }

// Stop does nothing.
func (noRecorder) Stop() {}
