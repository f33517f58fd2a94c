package forward

import (
	"fmt"
	"slices"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/directory"
	"spanflow/seam"
)

// connect makes the outlets, the list's source and the teller that the order asks for.
func (o *owner) connect(dialer *dial.Dialer) error {
	order, x := o.order, o.exchange
	connect := time.Duration(order.Names.Connect * float64(time.Second))
	if connect <= 0 {
		connect = connectAtMost
	}
	terms := Carrier{Connect: connect, KeepIdle: time.Duration(order.Terms.KeepIdle() * float64(time.Second)), Limit: order.Names.Limit,
		Left: order.Names.Left}
	o.outlets = map[string]seam.Outlet{}
	for _, w := range append(slices.Clone(order.Outlets), Outlet{Name: usualCarriage, Protocol: usualCarriage}) {
		if o.outlets[w.Name] != nil { // the order's own in place of the usual
			continue
		}
		t := terms
		if w.Connect > 0 {
			t.Connect = time.Duration(w.Connect * float64(time.Second))
		}
		c := order.carriage(w.Protocol)
		if c == nil {
			return fmt.Errorf("outlets: %s: unknown protocol %q", w.Name, w.Protocol)
		}
		o.outlets[w.Name] = c(dialer, t, x)
	}
	for kind, name := range order.KindOutlet {
		if o.outlets[name] == nil {
			return fmt.Errorf("kinds: %s: unknown outlet %q", kind, name)
		}
	}
	if order.Discovery != "" {
		d := directory.New(dialer, order.Discovery, connect, x)
		o.source, o.moves = d, d
		if order.toldNotices == "" {
			o.teller = d
		}
	} else {
		o.own = &static{board: x}
		if order.Static != nil {
			o.own.list = *order.Static
		}
		order.Known = o.own.list
		o.source = o.own
	}
	if order.toldNotices != "" {
		d := directory.New(dialer, order.toldNotices, connect, x)
		o.teller, o.notices = d, d
	}
	return nil
}
