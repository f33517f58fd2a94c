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
	stored      int // at the door, behind others of their lane
	spilled     int // from memory to the store
	broughtBack int // from the store to memory
	expired     int // brought back to be answered without a call
	refused     int
}

func (c *backlogCounts) write(e *zerolog.Event) *zerolog.Event {
	return e.Int("backlog_stored", c.stored).Int("backlog_spilled", c.spilled).Int("backlog_brought_back", c.broughtBack).
		Int("backlog_expired", c.expired).Int("backlog_refused", c.refused)
}

// backlogLevels are what the store holds, for the metrics, which are read by other goroutines.
type backlogLevels struct {
	messages, bytes, onDisk atomic.Int64
	oldest                  atomic.Int64 // when the longest stored was taken on, in microseconds; 0: nothing is stored
	states                  [len(backlogStates)]atomic.Int64
}

var backlogStates = [...]backlog.State{backlog.Untried: backlog.Untried, backlog.Tried: backlog.Tried, backlog.MayHaveRun: backlog.MayHaveRun}

// setBacklogLevels sets what is cheap to tell, each turn.
func (o *owner) setBacklogLevels() {
	if !o.metered {
		return
	}
	s := o.stored
	s.levels.messages.Store(int64(s.store.Messages()))
	s.levels.bytes.Store(s.store.Bytes())
}

// setBacklogAges sets what takes a walk over the lanes, now and then.
func (o *owner) setBacklogAges() {
	if o.stored == nil || !o.metered {
		return
	}
	s := o.stored
	s.levels.onDisk.Store(s.store.Used())
	for state, count := range s.store.States() {
		s.levels.states[state].Store(int64(count))
	}
	oldest, err := s.store.Oldest()
	if err != nil {
		o.logBacklogError(err)
		return
	}
	s.levels.oldest.Store(oldest)
}

// backlogGauges are the store's figures that are read when they are asked for.
func (o *owner) backlogGauges() []transport.Gauge {
	if o.stored == nil {
		return nil
	}
	l := &o.stored.levels
	gauges := []transport.Gauge{
		{Name: "backlog_messages", Read: func() float64 { return float64(l.messages.Load()) }},
		{Name: "backlog_bytes", Read: func() float64 { return float64(l.bytes.Load()) }},
		{Name: "backlog_disk_bytes", Read: func() float64 { return float64(l.onDisk.Load()) }},
		{Name: "backlog_oldest_seconds", Read: func() float64 {
			at := l.oldest.Load()
			if at == 0 {
				return 0
			}
			return time.Since(time.UnixMicro(at)).Seconds()
		}},
	}
	for i, state := range backlogStates {
		gauges = append(gauges, transport.Gauge{Name: "backlog_state_messages", Labels: []string{"state", state.String()},
			Read: func() float64 { return float64(l.states[i].Load()) }})
	}
	return gauges
}
