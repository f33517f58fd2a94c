package forwarder

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"

	"spanflow/internal/dial"
	"spanflow/internal/membudget"
	"spanflow/transport"
)

// counts holds counters of events since the start, for the log. Some of its log fields keep older names.
type counts struct {
	accepted, refused, delivered, rejected, failed, recovered, withdrawn int
	endedInCall                                                          int // ended while the endpoint might run them
	ends                                                                 [transport.ResultTooLarge + 1]int
}

// write adds the counters to a log line.
func (c *counts) write(e *zerolog.Event) *zerolog.Event {
	e = e.Int("taken", c.accepted).Int("recovered", c.recovered).Int("refused", c.refused).
		Int("delivered", c.delivered).Int("returned", c.rejected).Int("abandoned", c.failed)
	if c.withdrawn > 0 {
		e = e.Int("withdrawn", c.withdrawn)
	}
	if c.endedInCall > 0 {
		e = e.Int("ended_in_call", c.endedInCall)
	}
	for i, n := range c.ends {
		if n > 0 {
			e = e.Int(fmt.Sprintf("end_%s", strings.ReplaceAll(transport.ResultCode(i).String(), " ", "_")), n)
		}
	}
	return e
}

// logCounts logs the counters. The line of the forwarder's own counters includes those of the first frontend.
func (loop *eventLoop) logCounts(dialer *dial.Dialer) {
	log := &loop.telemetry.log
	e := loop.telemetry.counts.write(log.Info()).Int("held", len(loop.messages.byNumber))
	e = writeConnectionStats(e, loop.frontends.open[0].Stats())
	if loop.backlog != nil {
		e = loop.backlog.counts.write(e).Int("backlog", loop.backlog.store.Messages())
	}
	e = writeMemory(e, loop.memory)
	e.Int("lines", dialer.Open()).Int64("most_lines", dialer.Peak.Load()).
		Int64("disk", loop.wal.Used()).Msg("counters since the start")
	for _, l := range loop.frontends.open[1:] {
		writeConnectionStats(log.Info().Str("frontend", l.config.Name), l.Stats()).Msg("connection counters of a frontend")
	}
}

// writeMemory adds what the accounts of memory hold, their peaks and how often something was refused, to a log line.
func writeMemory(e *zerolog.Event, memory *membudget.Budget) *zerolog.Event {
	held, peaks, refusals := zerolog.Dict(), zerolog.Dict(), zerolog.Dict()
	for _, account := range memory.Accounts() {
		held.Int(account.Name(), account.Held())
		peaks.Int(account.Name(), account.Peak())
		refusals.Int(account.Name(), account.Refusals())
	}
	return e.Dict("memory_held", held).Dict("memory_peak", peaks).Dict("memory_refused", refusals)
}

// writeConnectionStats adds a frontend's connection counters to a log line.
func writeConnectionStats(e *zerolog.Event, c transport.ConnectionStats) *zerolog.Event {
	return e.Int("clients", c.Open).Int("most_clients", c.Peak).
		Int("clients_came", c.Accepted).Int("clients_turned_away", c.Refused).
		Ints("clients_closed_for_room", c.Evicted[:]).
		Int("clients_silent", c.NeverSent).Int("clients_quiet", c.Idle).Int("clients_stuck", c.Incomplete)
}
