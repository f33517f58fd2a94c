// Package forward is the forwarder as a library: read an Order, then Run serves by it until its context ends.
//
// One goroutine, the owner, has the module of package choice to itself. Fronts, outlets and the list's source (package
// seam says what each is) leave their news in the Exchange; the owner takes them in batches, lets the module settle
// once, and carries out what it decides. It knows no wire.
package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/rs/zerolog"

	"spanflow/choice"
	"spanflow/internal/admin"
	"spanflow/internal/dial"
	"spanflow/internal/directory"
	"spanflow/internal/ledger"
	"spanflow/internal/rota"
	"spanflow/seam"
)

const (
	killAfter     = 3700 * time.Millisecond // after the word to stop, a forwarder may be killed
	killMargin    = 500 * time.Millisecond  // what is left of it for the end itself
	comingFor     = 500 * time.Millisecond  // new connections may still come for so long
	lookEvery     = 20 * time.Millisecond
	countsEvery   = 10 * time.Second
	learnEvery    = 3 * time.Second
	descriptors   = 32 // for files, pollers and the like
	spareClients  = 4  // connections that are closed to make room while as many come
	connectAtMost = 30 * time.Second
	usualCarriage = "http"
)

// Confine makes the whole process keep to the order's limits and its log lines bear times a person can read. A program
// with other work to do sets its own.
func (o *Order) Confine() {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	runtime.GOMAXPROCS(max(1, int(o.Cores)))
	debug.SetMemoryLimit(int64(o.MemoryMB) << 20 * 6 / 10)
}

// Run serves by an order until ctx ends, then finishes what it can in the time there is. At each word on again the
// order is read anew. ready, if not nil, is called with the address once clients are served.
func Run(ctx context.Context, order *Order, again <-chan os.Signal, logTo io.Writer, ready func(addr string)) error {
	own := *order
	order, asRead := &own, own.Terms
	log := order.Log.to(logTo, order.Name)
	logging.SetLogger(networkLog{log})
	nbio.MaxOpenFiles = order.Sockets + 1024 // it keeps a table of that size for each engine

	x := newExchange()
	operators := &desk{x: x}
	if order.Inherited > 0 {
		operators.lobby.Store(newLobby(order))
	}
	if order.Admin != "" {
		a, err := admin.Open(order.Admin, operators)
		if err != nil {
			return fmt.Errorf("admin: %w", err)
		}
		defer a.Stop()
	}
	wait := time.Duration(0)
	if order.Inherited > 0 {
		l, err := inherit(order.Inherited)
		if err != nil {
			return err
		}
		defer l.Close()
		order.Fronts = slices.Clone(order.Fronts)
		order.Fronts[0].Listener = l
		// It can serve once the process that it replaces has gone, and that one is told to go by this yes.
		operators.ready.Store(true)
		if wait = handOverWait; ledger.Owner(order.Folder) != 0 {
			log.Info().Int("pid", ledger.Owner(order.Folder)).Msg("waiting for the folder")
		}
	}
	led, err := ledger.OpenWaiting(ctx, order.Folder, int64(order.DiskMB)*1_000_000, wait)
	if errors.Is(err, context.Canceled) {
		log.Info().Msg("told to stop while waiting for the folder")
		return nil
	}
	if err != nil {
		return fmt.Errorf("PROXY_STATE: %w", err)
	}
	defer led.Close()
	room := order.Sockets - descriptors
	dialer, err := dial.New("outlet", room/3)
	if err != nil {
		return err
	}
	defer dialer.Stop()
	order.Terms.Keep, order.Terms.Confirmed = led.Room(), true
	order.askForList()
	o := newOwner(order, log, x)
	o.asRead, o.ledger, o.operators, o.rota, o.logTo = asRead, led, operators, rota.New(readOut(order.Folder)), logTo
	if err := o.connect(dialer); err != nil {
		return err
	}
	defer o.source.Stop()
	if order.Metrics != "" {
		if order.Meter == nil {
			return errors.New("metrics: this program has none")
		}
		var fronts []string
		for _, f := range order.Fronts {
			fronts = append(fronts, f.Name)
		}
		m, err := order.Meter(order.Metrics, order.Name, fronts, o.levels(dialer))
		if err != nil {
			return fmt.Errorf("metrics: %w", err)
		}
		o.meter, o.metered = m, true
		defer m.Stop()
	}
	lame := false
	if l := operators.lobby.Load(); l != nil {
		lame = l.leave()
	}
	o.begin(o.epoch)
	most, err := shares(order.Fronts, Clients(order.Sockets))
	if err == nil {
		o.fronts, err = o.open(order.Fronts, most)
	}
	if err != nil {
		return err
	}
	defer func() {
		for _, l := range append(o.fronts, o.leaving...) {
			o.close(l)
		}
	}()
	said := log.Info()
	for i, l := range o.fronts {
		name := "listen"
		if i > 0 {
			name += "_" + l.terms.Name
		}
		said = said.Str(name, l.Addr())
	}
	if o.metered {
		said = said.Str("metrics", o.meter.Addr())
	}
	if lame {
		o.lameduck(true)
	}
	operators.ready.Store(true)
	said.Int("recovered", o.counts.recovered).Int("dropped_records", led.Dropped).Int("targets", len(o.targets)).Msg("ready")
	if ready != nil {
		ready(o.fronts[0].Addr())
	}
	o.serve(ctx, again, dialer)
	o.last()
	o.keepWaits(o.clock(time.Now()))
	o.keepLearnt()
	o.counts.write(log.Info()).Int("owed", len(led.Owed())).Msg("end")
	return nil
}

// askForList tells the module that the list comes by a watch that is asked for, whatever discovery is like.
func (o *Order) askForList() {
	o.Terms.Agent = !o.Terms.AskList && o.Discovery != ""
	o.Terms.AskList = true
}

// newOwner has heard of nothing yet. Its ledger, operators and rota are the caller's to set.
func newOwner(order *Order, log zerolog.Logger, x *Exchange) *owner {
	o := &owner{order: order, asRead: order.Terms, log: log, exchange: x, epoch: time.Now(), docs: map[uint64]*paper{},
		byID: map[string]*paper{}, past: newRecent(), targets: map[uint64]*target{}, byUID: map[string]*target{},
		types: map[string]int{}, dests: map[uint64]*choice.Destination{}, unknown: map[string]bool{},
		trace: newTrace(order.Log), meter: noMeter{}, said: map[string]time.Time{}}
	for i, name := range order.Names.Types {
		o.types[name] = i
	}
	return o
}

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
		d.MostLine = order.ListBytes
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

// levels are the figures that are read when they are asked for.
func (o *owner) levels(dialer *dial.Dialer) []seam.Level {
	return []seam.Level{
		{Name: "held_documents", Read: func() float64 { return float64(o.held.Load()) }},
		{Name: "ledger_bytes", Read: func() float64 { return float64(o.onDisk.Load()) }},
		{Name: "outgoing_connections", Read: func() float64 { return float64(dialer.Open()) }},
	}
}

// serve turns until the module lets the process end.
func (o *owner) serve(ctx context.Context, again <-chan os.Signal, dialer *dial.Dialer) {
	timer := time.NewTimer(0)
	report := time.NewTicker(countsEvery)
	defer report.Stop()
	learn := time.NewTicker(learnEvery)
	defer learn.Stop()
	asked := ctx.Done()
	var coming, end, look <-chan time.Time
	handing, shut := false, false
	var tray <-chan time.Time
	if o.order.Inherited > 0 { // a process that replaces this one may wait and be called
		ticker := time.NewTicker(trayEvery)
		defer ticker.Stop()
		tray = ticker.C
	}
	for {
		if o.wakeAt.IsZero() {
			timer.Stop()
		} else {
			timer.Reset(time.Until(o.wakeAt))
		}
		select {
		case <-o.exchange.bell:
		case <-timer.C:
		case <-report.C:
			o.report(dialer)
			continue
		case <-learn.C:
			o.keepLearnt()
			continue
		case <-tray:
			if handing || !o.emptyTray() { // what is called once this one hands over, its successor takes up
				continue
			}
		case <-again:
			o.reread()
			continue
		case <-asked:
			asked, o.stopping = nil, true
			o.operators.ready.Store(false)
			end = time.After(killAfter - killMargin)
			if handing = o.order.Inherited > 0; handing {
				// Another process takes the clients from the shared socket and what is owed from the folder: its
				// order goes on there once this one has its calls back.
				o.log.Info().Int("held", len(o.docs)).Int("out", o.f.Out()).Msg("handing over")
				o.exchange.leave(stopping(0))
				look = time.Tick(lookEvery)
				break
			}
			o.log.Info().Int("held", len(o.docs)).Msg("stopping")
			coming = time.After(comingFor)
			o.exchange.leave(stopping(killAfter - killMargin))
		case <-coming:
			coming = nil
			for _, l := range o.fronts {
				l.Leave()
			}
			look = time.Tick(lookEvery)
		case <-look: // if the clients have gone
		case <-end:
			return
		}
		clients := 0
		for _, l := range o.fronts {
			clients += l.Clients()
		}
		if len(o.leaving) > 0 {
			o.gone()
		}
		done := o.turn()
		if handing && !shut && o.f.Out() == 0 {
			// Clients are taken and kept for the successor until the calls are back, so that the socket is without
			// anybody who accepts for as short a time as can be: the successor starts once the folder is free.
			shut = true
			for _, l := range o.fronts {
				l.Shut()
				l.Leave()
			}
			continue
		}
		if (done || shut) && coming == nil && clients == 0 {
			return
		}
	}
}

// last answers what callers have asked up to the end. Guards against a command that was read behind the last turn and
// lost with the process: what is read is answered, what is not its client sends once more. No call begins any more.
func (o *owner) last() {
	o.exchange.close() // a front that waits for room does not, so that it can be halted
	for _, l := range append(slices.Clone(o.fronts), o.leaving...) {
		l.Halt()
	}
	o.exchange.leave(stopping(0))
	for again := true; again; again = o.exchange.asked() {
		o.turn()
	}
}

// report writes the counts, the first front's with the forwarder's own.
func (o *owner) report(dialer *dial.Dialer) {
	idle := 0
	for _, by := range o.outlets {
		idle += by.Idle()
	}
	e := tally(o.counts.write(o.log.Info()).Int("held", len(o.docs)), o.fronts[0].Tally())
	e.Int("lines", dialer.Open()).Int64("most_lines", dialer.Peak.Load()).Int("idle_lines", idle).Int64("disk", o.ledger.Used()).Msg("counts")
	for _, l := range o.fronts[1:] {
		tally(o.log.Info().Str("front", l.terms.Name), l.Tally()).Msg("counts of a front")
	}
}

func tally(e *zerolog.Event, c seam.Tally) *zerolog.Event {
	return e.Int("clients", c.Now).Int("most_clients", c.Most).
		Int("clients_came", c.Came).Int("clients_turned_away", c.Turned).Ints("clients_closed_for_room", c.ForRoom[:]).
		Int("clients_silent", c.Silent).Int("clients_quiet", c.Quiet).Int("clients_stuck", c.Stuck)
}

// noMeter counts nothing.
type noMeter struct{}

func (noMeter) Asked(string, seam.Word)           {}
func (noMeter) End(seam.End, time.Duration)       {}
func (noMeter) Final(seam.Outcome, time.Duration) {}
func (noMeter) Turn(int, time.Duration)           {}
func (noMeter) Addr() string                      { return "" }
func (noMeter) Stop()                             {}
