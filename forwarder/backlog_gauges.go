package forwarder

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"spanflow/internal/backlog"
	"spanflow/transport"
)

// backlogCounts counts events of the backlog since the start, for the log.
type backlogCounts struct {
	stored  int // messages stored at admission, behind others of their lane
	spilled int // messages moved from memory to the store
	loaded  int // messages moved from the store to memory
	expired int // messages loaded to be answered without a call
	refused int
}

// write adds the counts to a log line.
func (c *backlogCounts) write(e *zerolog.Event) *zerolog.Event {
	return e.Int("backlog_stored", c.stored).Int("backlog_spilled", c.spilled).
		Int("backlog_brought_back", c.loaded).Int("backlog_expired", c.expired).
		Int("backlog_refused", c.refused)
}

// backlogGauges holds the figures of the store for the metrics, which other goroutines read.
type backlogGauges struct {
	messages, bytes, onDisk atomic.Int64
	oldest                  atomic.Int64 // when the oldest stored message was accepted, in microseconds; 0 if none
	states                  [len(backlogStates)]atomic.Int64
}

var backlogStates = [...]backlog.State{
	backlog.Untried:    backlog.Untried,
	backlog.Tried:      backlog.Tried,
	backlog.MayHaveRun: backlog.MayHaveRun,
}

// oldestSeconds returns the age of the oldest stored message.
func (g *backlogGauges) oldestSeconds() float64 {
	at := g.oldest.Load()
	if at == 0 {
		return 0
	}
	return time.Since(time.UnixMicro(at)).Seconds()
}

// setBacklogGauges updates the gauges that are cheap to compute. It runs every turn.
func (loop *eventLoop) setBacklogGauges() {
	if !loop.telemetry.recording {
		return
	}
	b := loop.backlog
	b.gauges.messages.Store(int64(b.store.Messages()))
	b.gauges.bytes.Store(b.store.Bytes())
}

// setBacklogAges updates the gauges that need a pass over all lanes. It runs every countsInterval.
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

// backlogGauges returns the store's metrics that are read when they are scraped.
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
