package forwarder

import (
	"fmt"
	"strings"
	"time"

	"spanflow/scheduler"
	"spanflow/transport"
)

// figures are the counts that the operators read at /_vars, each process from 0, kept by the event loop as things
// happen.
type figures struct {
	fulfilled, throttled, faulted []int // by number of the message type
	relayed                       int   // messages written completely to endpoints
	accepted, invalid             int   // configurations that were reloaded, or could not be
	untried, called, expired      int   // recovered before any call: all, called since, expired at the start
}

// count adds one to a count of a message type.
func (f *figures) count(counts *[]int, typ int) {
	if typ >= len(*counts) {
		*counts = append(*counts, make([]int, typ+1-len(*counts))...)
	}
	(*counts)[typ]++
}

// gaugeFigures are the figures that are read from the event loop's state.
type gaugeFigures struct {
	open    int // messages without a final answer
	listed  int // endpoints
	avoided int // of them, those that are drained by operators or ejected
}

// countFinalAnswer counts a message's final answer, once, where it is decided: the one source of the operators' figures
// and of the metrics.
func (loop *eventLoop) countFinalAnswer(m *trackedMessage, outcome transport.Outcome) {
	f := &loop.telemetry.figures
	switch outcome {
	case transport.Delivered:
		f.count(&f.fulfilled, m.typ)
	case transport.Rejected:
		f.count(&f.throttled, m.typ)
	default:
		f.count(&f.faulted, m.typ)
	}
	loop.telemetry.recorder.FinalAnswered(outcome, time.Since(m.receivedAt))
}

// operatorFigures are the figures in the form of /_vars.
func (loop *eventLoop) operatorFigures() string {
	gauges := gaugeFigures{open: loop.messages.unfinished()}
	for _, t := range loop.endpoints.byNumber {
		if !t.isListed() {
			continue
		}
		gauges.listed++
		drained := loop.operators.drains.Drained(t.uid)
		if t.update.State == scheduler.Ready && (drained || t.scheduled.Ejected()) {
			gauges.avoided++
		}
	}
	return loop.telemetry.figures.write(loop.config.Names.Types, gauges)
}

// write writes the figures in statsd's form, one a line: counters, then gauges. types are the names of the message
// types.
func (f *figures) write(types []string, gauges gaugeFigures) string {
	var b strings.Builder
	counter := func(name string, n int) { fmt.Fprintf(&b, "proxy.%s:%d|c\n", name, n) }
	byType := func(name string, counts []int) {
		for typ, typeName := range types {
			n := 0
			if typ < len(counts) {
				n = counts[typ]
			}
			counter(name+"."+typeName, n)
		}
	}
	gauge := func(name string, n int) { fmt.Fprintf(&b, "proxy.%s:%d|g\n", name, n) }

	byType("fulfilled", f.fulfilled)
	byType("throttled", f.throttled)
	byType("faulted", f.faulted)
	counter("recovered_untried", f.untried)
	counter("recovered_called", f.called)
	counter("recovered_expired", f.expired)
	counter("relayed", f.relayed)
	counter("cfg_accepted", f.accepted)
	counter("cfg_invalid", f.invalid)
	gauge("open_requests", gauges.open)
	gauge("registry_entries", gauges.listed)
	gauge("out_of_rotation", gauges.avoided)
	return b.String()
}
