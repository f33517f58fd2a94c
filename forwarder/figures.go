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
	fulfilled, throttled, faulted []int // by type of message
	relayed                       int   // messages written whole to endpoints
	accepted, invalid             int   // orders read again and taken up, or not
	untried, called, expired      int   // of what the start found untried: all, those called since, those out of time then
}

// final counts a message's final answer, once, where it is decided: the one source of the operators' figures and of
// the metrics.
func (o *owner) final(p *paper, outcome transport.Outcome) {
	switch outcome {
	case transport.Delivered:
		o.figures.count(&o.figures.fulfilled, p.typ)
	case transport.Rejected:
		o.figures.count(&o.figures.throttled, p.typ)
	default:
		o.figures.count(&o.figures.faulted, p.typ)
	}
	o.meter.FinalAnswered(outcome, time.Since(p.came))
}

func (f *figures) count(by *[]int, typ int) {
	if typ >= len(*by) {
		*by = append(*by, make([]int, typ+1-len(*by))...)
	}
	(*by)[typ]++
}

// vars are the figures, with gauges read from the event loop's own state.
func (o *owner) vars() string {
	listed, avoided := 0, 0
	for _, t := range o.targets {
		if t.line.State == scheduler.Removed {
			continue
		}
		if listed++; t.line.State == scheduler.Ready && (o.rota.Drained(t.uid) || t.module.Ejected()) {
			avoided++
		}
	}
	open := 0
	for _, p := range o.docs {
		if !p.doc.Finished() {
			open++
		}
	}
	return o.figures.write(o.order.Names.Types, open, listed, avoided)
}

// write writes the figures in statsd's form, one a line: counters, then gauges.
func (f *figures) write(types []string, open, listed, avoided int) string {
	var b strings.Builder
	for _, c := range []struct {
		name string
		by   []int
	}{{"fulfilled", f.fulfilled}, {"throttled", f.throttled}, {"faulted", f.faulted}} {
		for typ, name := range types {
			n := 0
			if typ < len(c.by) {
				n = c.by[typ]
			}
			fmt.Fprintf(&b, "proxy.%s.%s:%d|c\n", c.name, name, n)
		}
	}
	for _, c := range []struct {
		name string
		n    int
	}{{"recovered_untried", f.untried}, {"recovered_called", f.called}, {"recovered_expired", f.expired}} {
		fmt.Fprintf(&b, "proxy.%s:%d|c\n", c.name, c.n)
	}
	fmt.Fprintf(&b, "proxy.relayed:%d|c\nproxy.cfg_accepted:%d|c\nproxy.cfg_invalid:%d|c\n", f.relayed, f.accepted, f.invalid)
	fmt.Fprintf(&b, "proxy.open_requests:%d|g\nproxy.registry_entries:%d|g\nproxy.out_of_rotation:%d|g\n", open, listed, avoided)
	return b.String()
}
