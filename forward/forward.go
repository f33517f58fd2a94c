// Package forward is the forwarder as a library: read an Order, then Run serves by it until its context ends.
//
// One goroutine, the owner, has the module of package choice to itself. Clients' side, targets' side and discovery's
// side leave their news in the Exchange; the owner takes them in batches, lets the module settle once, and carries
// out what it decides.
package forward

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/rs/zerolog"

	"spanflow/choice"
	"spanflow/internal/dial"
	"spanflow/internal/directory"
	"spanflow/internal/intake"
	"spanflow/internal/ledger"
	"spanflow/internal/outlet"
)

const (
	killAfter     = 3700 * time.Millisecond // after the word to stop, a forwarder may be killed
	killMargin    = 500 * time.Millisecond  // what is left of it for the end itself
	comingFor     = 500 * time.Millisecond  // new connections may still come for so long
	lookEvery     = 20 * time.Millisecond
	countsEvery   = 10 * time.Second
	descriptors   = 32 // for files, pollers and the like
	spareClients  = 4  // connections that are closed to make room while as many come
	connectAtMost = 30 * time.Second
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
	log := zerolog.New(logTo).With().Timestamp().Str("forwarder", order.Name).Logger()
	logging.SetLogger(networkLog{log})
	nbio.MaxOpenFiles = order.Sockets + 1024 // it keeps a table of that size for each engine

	led, err := ledger.Open(order.Folder, int64(order.DiskMB)*1_000_000)
	if err != nil {
		return fmt.Errorf("PROXY_STATE: %w", err)
	}
	defer led.Close()
	connect := time.Duration(order.Fronts.Connect * float64(time.Second))
	if connect <= 0 {
		connect = connectAtMost
	}
	room := order.Sockets - descriptors
	dialer, err := dial.New("outlet", room/3)
	if err != nil {
		return err
	}
	defer dialer.Stop()
	order.Terms.Keep, order.Terms.Confirmed = led.Room(), true
	order.Terms.AskList = true // whatever discovery is like, its list comes by a watch that is asked for
	x := newExchange()
	o := &owner{order: order, asRead: asRead, log: log, exchange: x, ledger: led, epoch: time.Now(),
		docs: map[uint64]*paper{}, byID: map[string]*paper{}, past: newRecent(), targets: map[uint64]*target{}, byUID: map[string]*target{}, types: map[string]int{},
		dests: map[uint64]*choice.Destination{}, unknown: map[string]bool{},
		said: map[string]time.Time{}}
	for i, name := range order.Fronts.Types {
		o.types[name] = i
	}
	o.outlet = outlet.New(dialer, x, outlet.Terms{Connect: connect,
		KeepIdle: time.Duration(order.Terms.KeepIdle() * float64(time.Second))})
	o.dir = directory.New(dialer, order.Discovery, connect, x)
	defer o.dir.Stop()
	o.begin(o.epoch)
	in, err := intake.Open(order.Listen, room-room/3-spareClients, room-room/3,
		intake.Patience{Silent: choice.KeepSilent, Quiet: choice.KeepQuiet}, x)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer in.Stop()
	defer x.close()
	log.Info().Str("listen", in.Addr()).Int("recovered", o.counts.recovered).Int("dropped_records", led.Dropped).
		Int("targets", len(o.targets)).Msg("ready")
	if ready != nil {
		ready(in.Addr())
	}
	o.serve(ctx, again, in, dialer)
	o.counts.write(log.Info()).Int("owed", len(led.Owed())).Msg("end")
	return nil
}

// serve turns until the module lets the process end.
func (o *owner) serve(ctx context.Context, again <-chan os.Signal, in *intake.Intake, dialer *dial.Dialer) {
	timer := time.NewTimer(0)
	report := time.NewTicker(countsEvery)
	defer report.Stop()
	asked := ctx.Done()
	var coming, end, look <-chan time.Time
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
			c := in.Counts()
			o.counts.write(o.log.Info()).Int("held", len(o.docs)).Int("clients", c.Now).Int("most_clients", c.Most).
				Int("clients_came", c.Came).Int("clients_turned_away", c.Turned).Ints("clients_closed_for_room", c.ForRoom[:]).
				Int("clients_silent", c.Silent).Int("clients_quiet", c.Quiet).Int("clients_stuck", c.Stuck).
				Int("lines", dialer.Open()).Int64("most_lines", dialer.Peak.Load()).Int("idle_lines", o.outlet.Idle()).Int64("disk", o.ledger.Used()).Msg("counts")
			continue
		case <-again:
			o.reread()
			continue
		case <-asked:
			asked = nil
			o.log.Info().Int("held", len(o.docs)).Msg("stopping")
			coming, end = time.After(comingFor), time.After(killAfter-killMargin)
			o.exchange.leave(stopping(killAfter - killMargin))
		case <-coming:
			coming = nil
			in.Leave()
			look = time.Tick(lookEvery)
		case <-look: // if the clients have gone
		case <-end:
			o.turn()
			return
		}
		if clients := in.Clients(); o.turn() && coming == nil && clients == 0 {
			return
		}
	}
}
