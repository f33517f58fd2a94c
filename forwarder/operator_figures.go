package forwarder

import (
	"fmt"
	"strings"
	"time"

	"spanflow/scheduler"
	"spanflow/transport"
)

// figures holds the counters that operators read at /_vars. They start from 0 in each process, and the event loop
// updates them as events occur.
type figures struct {
	fulfilled, throttled, faulted []int // counts by number of the message type
	relayed                       int   // messages completely written to endpoints
	accepted, invalid             int   // configuration reloads that succeeded, and that failed
	untried, called, expired      int   // messages recovered without a call: all, called since, expired at the start
}

// count increments the counter of a message type.
func (f *figures) count(counts *[]int, typ int) {
	if typ >= len(*counts) {
		*counts = append(*counts, make([]int, typ+1-len(*counts))...)
	}
	(*counts)[typ]++
}

// gaugeFigures holds the figures derived from the event loop's current state.
type gaugeFigures struct {
	unfinished    int // messages without a final answer
	listed        int // endpoints
	outOfRotation int // listed endpoints that are drained by operators or ejected
	drainsClients bool
}

// countFinalAnswer counts a message's final answer for both the operators' figures and the metrics. It is called once
// for each message, where the answer is decided.
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

// operatorFigures returns the figures in the format of /_vars.
func (loop *eventLoop) operatorFigures() string {
	gauges := gaugeFigures{unfinished: loop.messages.unfinished(), drainsClients: loop.operators.drainsClients}
	for _, t := range loop.endpoints.byNumber {
		if !t.isListed() {
			continue
		}
		gauges.listed++
		drained := loop.operators.drains.Drained(t.uid)
		if t.update.State == scheduler.Ready && (drained || t.scheduled.Ejected()) {
			gauges.outOfRotation++
		}
	}
	return loop.telemetry.figures.write(loop.config.Names.Types, gauges)
}

// write formats the figures in statsd's format, one per line, counters before gauges. types are the names of the
// message types.
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
	gauge("open_requests", gauges.unfinished)
	gauge("registry_entries", gauges.listed)
	gauge("out_of_rotation", gauges.outOfRotation)
	gauge("lame_duck", int(boolGauge(gauges.drainsClients)))
	return b.String()
}
