package forwarder

import (
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"spanflow/internal/dial"
	"spanflow/transport"
)

// counts are for the log.
type counts struct {
	taken, refused, delivered, returned, abandoned, recovered, withdrawn int
	ends                                                                 [transport.ResultCancelled + 1]int
}

func (c *counts) write(e *zerolog.Event) *zerolog.Event {
	e = e.Int("taken", c.taken).Int("recovered", c.recovered).Int("refused", c.refused).Int("delivered", c.delivered).
		Int("returned", c.returned).Int("abandoned", c.abandoned)
	if c.withdrawn > 0 {
		e = e.Int("withdrawn", c.withdrawn)
	}
	for i, n := range c.ends {
		if n > 0 {
			e = e.Int(fmt.Sprintf("end_%s", strings.ReplaceAll(transport.ResultCode(i).String(), " ", "_")), n)
		}
	}
	return e
}

// levels are the figures that are read when they are asked for.
func (o *owner) levels(dialer *dial.Dialer) []transport.Gauge {
	levels := []transport.Gauge{
		{Name: "held_documents", Read: func() float64 { return float64(o.held.Load()) }},
		{Name: "ledger_bytes", Read: func() float64 { return float64(o.onDisk.Load()) }},
		{Name: "outgoing_connections", Read: func() float64 { return float64(dialer.Open()) }},
	}
	return append(levels, o.backlogGauges()...)
}

// report writes the counts, the first frontend's with the forwarder's own.
func (o *owner) report(dialer *dial.Dialer) {
	idle := 0
	for _, by := range o.outlets {
		idle += by.IdleConnections()
	}
	e := tally(o.counts.write(o.log.Info()).Int("held", len(o.docs)), o.fronts[0].Stats())
	if o.stored != nil {
		e = o.stored.counts.write(e).Int("backlog", o.stored.store.Messages())
	}
	e.Int("lines", dialer.Open()).Int64("most_lines", dialer.Peak.Load()).Int("idle_lines", idle).
		Int64("disk", o.ledger.Used()).Msg("counts")
	for _, l := range o.fronts[1:] {
		tally(o.log.Info().Str("front", l.config.Name), l.Stats()).Msg("counts of a front")
	}
}

func tally(e *zerolog.Event, c transport.ConnectionStats) *zerolog.Event {
	return e.Int("clients", c.Open).Int("most_clients", c.Peak).
		Int("clients_came", c.Accepted).Int("clients_turned_away", c.Refused).Ints("clients_closed_for_room", c.Evicted[:]).
		Int("clients_silent", c.NeverSent).Int("clients_quiet", c.Idle).Int("clients_stuck", c.Incomplete)
}

// noMeter counts nothing.
type noMeter struct{}

func (noMeter) SubmissionAnswered(string, transport.Status)      {}
func (noMeter) AttemptEnded(transport.ResultCode, time.Duration) {}
func (noMeter) FinalAnswered(transport.Outcome, time.Duration)   {}
func (noMeter) LoopTurn(int, time.Duration)                      {}
func (noMeter) Addr() string                                     { return "" }
func (noMeter) Stop()                                            {}
