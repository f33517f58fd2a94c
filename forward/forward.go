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
	"spanflow/internal/ledger"
	"spanflow/internal/rota"
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
	order.Terms.Agent = !order.Terms.AskList && order.Discovery != ""
	order.Terms.AskList = true // whatever discovery is like, its list comes by a watch that is asked for
	o := &owner{operators: operators, rota: rota.New(readOut(order.Folder)), order: order, asRead: asRead, log: log, exchange: x, ledger: led, epoch: time.Now(),
		docs: map[uint64]*paper{}, byID: map[string]*paper{}, past: newRecent(), targets: map[uint64]*target{}, byUID: map[string]*target{}, types: map[string]int{},
		dests: map[uint64]*choice.Destination{}, unknown: map[string]bool{}, trace: newTrace(order.Log), meter: noMeter{}, logTo: logTo,
		said: map[string]time.Time{}}
	for i, name := range order.Names.Types {
		o.types[name] = i
	}
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
