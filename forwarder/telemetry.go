package forwarder

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"spanflow/internal/dial"
	"spanflow/transport"
)

// telemetry holds what the event loop reports about itself: log lines, traced messages, counters and metrics.
type telemetry struct {
	log        zerolog.Logger
	output     io.Writer            // the log is written to it
	lastLogged map[string]time.Time // when rate-limited lines were last logged, by kind
	trace      trace
	counts     counts
	figures    figures
	recorder   transport.Recorder
	recording  bool // the recorder serves metrics

	// Read by the metrics from other goroutines.
	heldMessages  atomic.Int64
	walBytes      atomic.Int64
	listOverdue   atomic.Bool
	drainsClients atomic.Bool
}

const (
	slowTurn    = 100 * time.Millisecond // turns of the event loop, and waits for one, that take longer are logged
	logInterval = time.Second            // minimum time between rate-limited lines of a kind
)

func newTelemetry(config Log, log zerolog.Logger) telemetry {
	return telemetry{
		log:        log,
		lastLogged: map[string]time.Time{},
		trace:      newTrace(config),
		recorder:   noRecorder{},
	}
}

// mayLog reports whether a line of a kind may be logged now: at most one per logInterval.
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

// recordTurn records a turn that began at start and handled a number of events, the oldest of them queued at since.
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

// gauges returns the metrics that are read when they are scraped.
func (loop *eventLoop) gauges(dialer *dial.Dialer) []transport.Gauge {
	t := &loop.telemetry
	gauges := []transport.Gauge{
		{Name: "held_documents", Read: func() float64 { return float64(t.heldMessages.Load()) }},
		{Name: "ledger_bytes", Read: func() float64 { return float64(t.walBytes.Load()) }},
		{Name: "endpoint_list_overdue", Read: func() float64 { return boolGauge(t.listOverdue.Load()) }},
		{Name: "lame_duck", Read: func() float64 { return boolGauge(t.drainsClients.Load()) }},
		{Name: "outgoing_connections", Read: func() float64 { return float64(dialer.Open()) }},
	}
	for _, account := range loop.memory.Accounts() {
		labels := []string{"account", account.Name()}
		gauges = append(gauges,
			transport.Gauge{Name: "memory_held_bytes", Labels: labels, Read: func() float64 { return float64(account.Held()) }},
			transport.Gauge{Name: "memory_peak_bytes", Labels: labels, Read: func() float64 { return float64(account.Peak()) }},
			transport.Gauge{Name: "memory_limit_bytes", Labels: labels, Read: func() float64 { return float64(account.Limit()) }},
			transport.Gauge{Name: "memory_refusals", Labels: labels, Read: func() float64 { return float64(account.Refusals()) }})
	}
	return append(gauges, loop.backlogGauges()...)
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// noRecorder is the recorder if no metrics are served.
type noRecorder struct{}

// SubmissionAnswered does nothing.
func (noRecorder) SubmissionAnswered(string, transport.Status) {}

// AttemptEnded does nothing.
func (noRecorder) AttemptEnded(transport.ResultCode, time.Duration) {}

// FinalAnswered does nothing.
func (noRecorder) FinalAnswered(transport.Outcome, time.Duration) {}

// LoopTurn does nothing.
func (noRecorder) LoopTurn(int, time.Duration) {}

// Addr returns "", as no metrics are served.
func (noRecorder) Addr() string { return "" }

// Stop does nothing.
func (noRecorder) Stop() {}
