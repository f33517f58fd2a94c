package forwarder

import (
	"fmt"
	"slices"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/notify"
	"spanflow/transport"
)

const (
	connectAtMost   = 30 * time.Second
	defaultUpstream = "http"
)

// connect makes the upstreams, the list's source and the teller that the order asks for.
func (o *owner) connect(dialer *dial.Dialer) error {
	connect := time.Duration(o.order.Names.Connect * float64(time.Second))
	if connect <= 0 {
		connect = connectAtMost
	}
	if err := o.connectOutlets(dialer, connect); err != nil {
		return err
	}
	o.connectSource(dialer, connect)
	return nil
}

// connectOutlets makes the order's upstreams, and the usual one unless the order has its own by that name.
func (o *owner) connectOutlets(dialer *dial.Dialer, connect time.Duration) error {
	order := o.order
	terms := UpstreamSettings{
		Connect:            connect,
		KeepIdle:           time.Duration(order.Scheduler.KeepIdle() * float64(time.Second)),
		ReportedLimitField: order.Names.LimitField,
		ReportedShareField: order.Names.ShareField,
	}
	o.outlets = map[string]transport.Upstream{}
	for _, w := range append(slices.Clone(order.Upstreams), Upstream{Name: defaultUpstream, Protocol: defaultUpstream}) {
		if o.outlets[w.Name] != nil { // the order's own in place of the usual
			continue
		}
		t := terms
		if w.Connect > 0 {
			t.Connect = time.Duration(w.Connect * float64(time.Second))
		}
		c := order.upstreamProtocol(w.Protocol)
		if c == nil {
			return fmt.Errorf("outlets: %s: unknown protocol %q", w.Name, w.Protocol)
		}
		o.outlets[w.Name] = c(dialer, t, o.exchange)
	}
	for kind, name := range order.KindUpstream {
		if o.outlets[name] == nil {
			return fmt.Errorf("kinds: %s: unknown outlet %q", kind, name)
		}
	}
	return nil
}

// connectSource makes the list's source, discovery or the order's own list, and the teller.
func (o *owner) connectSource(dialer *dial.Dialer, connect time.Duration) {
	order, x := o.order, o.exchange
	if order.Discovery != "" {
		d := newControlPlane(dialer, order.Discovery, connect, x)
		d.endpoints.MaxLineBytes = order.ListBytes
		o.source, o.moves = d, d
		if order.noticeAddress == "" {
			o.teller = d
		}
	} else {
		o.own = &staticEndpoints{listener: x}
		if order.StaticEndpoints != nil {
			o.own.list = *order.StaticEndpoints
		}
		order.LastEndpoints = o.own.list
		o.source = o.own
	}
	if order.noticeAddress != "" {
		d := notify.New(dialer, order.noticeAddress, connect, x)
		o.teller, o.notices = d, d
	}
}
