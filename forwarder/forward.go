// Package forwarder is the forwarder as a library: read an Config, then Run serves by it until its context ends.
//
// One goroutine, the event loop, has the scheduler of package choice to itself. Frontends, upstreams and the list's
// source (package seam says what each is) leave their news in the Exchange; the event loop takes them in batches, lets
// the scheduler settle once, and carries out what it decides. It knows no wire.
package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"github.com/rs/zerolog"

	"spanflow/internal/admin"
	"spanflow/internal/dial"
	"spanflow/internal/drains"
	"spanflow/internal/statefile"
	"spanflow/internal/wal"
)

// ApplyProcessLimits makes the whole process keep to the order's limits and its log lines bear times a person can read. A program
// with other work to do sets its own.
func (o *Config) ApplyProcessLimits() {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	runtime.GOMAXPROCS(max(1, int(o.Cores)))
	debug.SetMemoryLimit(int64(o.MemoryMB) << 20 * 6 / 10)
}

// Run serves by an order until ctx ends, then finishes what it can in the time there is. At each word on again the
// order is read anew. ready, if not nil, is called with the address once clients are served.
func Run(ctx context.Context, order *Config, again <-chan os.Signal, logTo io.Writer, ready func(addr string)) error {
	own := *order
	order, asRead := &own, own.Scheduler
	log := order.Log.to(logTo, order.Name)
	logging.SetLogger(networkLog{log})
	nbio.MaxOpenFiles = order.Sockets + 1024 // it keeps a table of that size for each engine

	x := newExchange()
	operators := newAdminRequests(order, x)
	if order.Admin != "" {
		a, err := admin.Open(order.Admin, operators)
		if err != nil {
			return fmt.Errorf("admin: %w", err)
		}
		defer a.Stop()
	}
	if order.InheritedListener > 0 {
		l, err := order.listenInherited()
		if err != nil {
			return err
		}
		defer l.Close()
		// It can serve once the process that it replaces has gone, and that one is told to go by this yes.
		operators.ready.Store(true)
	}
	led, err := openLedger(ctx, order, log)
	if errors.Is(err, context.Canceled) {
		log.Info().Msg("told to stop while waiting for the folder")
		return nil
	}
	if err != nil {
		return err
	}
	defer led.Close()
	dialer, err := dial.New("outlet", (order.Sockets-reservedDescriptors)/3)
	if err != nil {
		return err
	}
	defer dialer.Stop()
	order.Scheduler.MaxStoredBytes, order.Scheduler.AwaitAcknowledgement = led.Capacity(), true
	order.enableEndpointPolling()
	o := newOwner(order, log, x)
	o.asRead, o.ledger, o.operators, o.rota, o.logTo = asRead, led, operators, drains.New(statefile.ReadDrains(order.Folder)), logTo
	if err := o.openBacklog(); err != nil {
		return err
	}
	defer o.closeBacklog()
	if err := o.connect(dialer); err != nil {
		return err
	}
	defer o.source.Stop()
	if err := o.openMeter(dialer); err != nil {
		return err
	}
	defer o.meter.Stop()
	lame := operators.takeOver()
	o.begin(o.epoch)
	if err := o.openConfiguredFrontends(); err != nil {
		return err
	}
	defer o.closeFrontends()
	if lame {
		o.lameduck(true)
	}
	operators.ready.Store(true)
	o.logReady()
	if ready != nil {
		ready(o.fronts[0].Addr())
	}
	o.serve(ctx, again, dialer)
	o.last()
	o.writeRetryAfter(o.clock(time.Now()))
	o.writeLatencies()
	o.counts.write(log.Info()).Int("owed", len(led.Pending())).Msg("end")
	return nil
}

// openLedger opens the folder. A process that replaces another waits until that one has left it.
func openLedger(ctx context.Context, order *Config, log zerolog.Logger) (*wal.Log, error) {
	wait := time.Duration(0)
	if order.InheritedListener > 0 {
		wait = handOverTimeout
		if pid := wal.LockHolder(order.Folder); pid != 0 {
			log.Info().Int("pid", pid).Msg("waiting for the folder")
		}
	}
	led, err := wal.OpenWhenFree(ctx, order.Folder, int64(order.DiskMB)*1_000_000, wait)
	if err != nil {
		return nil, fmt.Errorf("PROXY_STATE: %w", err)
	}
	return led, nil
}

// openMeter starts to serve the metrics, if the order asks for them.
func (o *owner) openMeter(dialer *dial.Dialer) error {
	if o.order.Metrics == "" {
		return nil
	}
	if o.order.Recorder == nil {
		return errors.New("metrics: this program has none")
	}
	var fronts []string
	for _, f := range o.order.Frontends {
		fronts = append(fronts, f.Name)
	}
	m, err := o.order.Recorder(o.order.Metrics, o.order.Name, fronts, o.levels(dialer))
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	o.meter, o.metered = m, true
	return nil
}

// logReady logs where clients are served from now on.
func (o *owner) logReady() {
	e := o.log.Info()
	for i, l := range o.fronts {
		name := "listen"
		if i > 0 {
			name += "_" + l.config.Name
		}
		e = e.Str(name, l.Addr())
	}
	if o.metered {
		e = e.Str("metrics", o.meter.Addr())
	}
	e.Int("recovered", o.counts.recovered).Int("dropped_records", o.ledger.DroppedRecords).
		Int("targets", len(o.targets)).Msg("ready")
}
