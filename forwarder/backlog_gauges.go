package forwarder

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"spanflow/internal/backlog"
	"spanflow/transport"
)

// backlogCounts are what has happened since the start, for the log.
type backlogCounts struct {
	stored      int // at admission, behind others of their lane
	spilled     int // from memory to the store
	broughtBack int // from the store to memory
	expired     int // brought back to be answered without a call
	refused     int
}

// write adds the counts to a log line.
func (c *backlogCounts) write(e *zerolog.Event) *zerolog.Event {
	return e.Int("backlog_stored", c.stored).Int("backlog_spilled", c.spilled).
		Int("backlog_brought_back", c.broughtBack).Int("backlog_expired", c.expired).
		Int("backlog_refused", c.refused)
}

// backlogGauges are what the store holds, for the metrics, which are read by other goroutines.
type backlogGauges struct {
	messages, bytes, onDisk atomic.Int64
	oldest                  atomic.Int64 // when the longest stored was accepted, in microseconds; 0: nothing is stored
	states                  [len(backlogStates)]atomic.Int64
}

var backlogStates = [...]backlog.State{
	backlog.Untried:    backlog.Untried,
	backlog.Tried:      backlog.Tried,
	backlog.MayHaveRun: backlog.MayHaveRun,
}

// oldestSeconds is how long the longest stored message has waited.
func (g *backlogGauges) oldestSeconds() float64 {
	at := g.oldest.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.UnixMicro(at)).Seconds()
}

// setBacklogGauges sets the gauges that are cheap to read, each turn.
func (loop *eventLoop) setBacklogGauges() {
	if !loop.telemetry.recording {
		return
	}
	b := loop.backlog
	b.gauges.messages.Store(int64(b.store.Messages()))
	b.gauges.bytes.Store(b.store.Bytes())
}

// setBacklogAges sets the gauges that take a walk over the lanes, every countsEvery.
func (loop *eventLoop) setBacklogAges() {
	b := loop.backlog
	if b == nil || !loop.telemetry.recording {
		return
	}
	b.gauges.onDisk.Store(b.store.Used())
	for state, count := range b.store.States() {
		b.gauges.states[state].Store(int64(count))
	}
	oldest, err := b.store.Oldest()
	if err != nil {
		loop.logBacklogError(err)
		return
	}
	b.gauges.oldest.Store(oldest)
}

// backlogGauges are the store's metrics that are read when they are scraped.
func (loop *eventLoop) backlogGauges() []transport.Gauge {
	if loop.backlog == nil {
		return nil
	}
	g := &loop.backlog.gauges
	gauges := []transport.Gauge{
		{Name: "backlog_messages", Read: func() float64 { return float64(g.messages.Load()) }},
		{Name: "backlog_bytes", Read: func() float64 { return float64(g.bytes.Load()) }},
		{Name: "backlog_disk_bytes", Read: func() float64 { return float64(g.onDisk.Load()) }},
		{Name: "backlog_oldest_seconds", Read: g.oldestSeconds},
	}
	for i, state := range backlogStates {
		gauges = append(gauges, transport.Gauge{
			Name:   "backlog_state_messages",
			Labels: []string{"state", state.String()},
			Read:   func() float64 { return float64(g.states[i].Load()) },
		})
	}
	return gauges
}
