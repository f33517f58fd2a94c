// Package forwarder provides the forwarder as a library. Read a Config and pass it to Run, which serves until its
// context is cancelled.
//
// The event loop is the only goroutine that uses the scheduler (package scheduler). Frontends, upstreams and the source
// of the endpoint list (package transport defines the interfaces) push events to its queue. The event loop handles them
// in batches, lets the scheduler reconcile once per batch, and carries out its decisions. It does not depend on any
// wire protocol.
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
	"spanflow/internal/membudget"
	"spanflow/internal/signals"
	"spanflow/internal/statefile"
	"spanflow/internal/upstream"
	"spanflow/internal/wal"
	"spanflow/transport"
)

// ApplyProcessLimits applies the configured limits on cores and memory to the whole process, and sets a readable time
// format for all its log lines. A program that also does other work should set its own limits instead.
func (c *Config) ApplyProcessLimits() {
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	runtime.GOMAXPROCS(max(1, int(c.Cores)))
	debug.SetMemoryLimit(membudget.New(c.MemoryMB, c.upgradesInPlace()).RuntimeLimit())
}

// Run serves with a configuration until ctx is cancelled, then finishes as much work as the shutdown time allows. Each
// signal on reload makes it read the configuration again. If ready is not nil, it is called with the address of the
// first frontend once clients are served. Run does not modify config.
func Run(
	ctx context.Context, config *Config, reload <-chan os.Signal, logTo io.Writer, ready func(addr string),
) error {
	stop := newStopSignal(ctx)
	configCopy := *config
	config = &configCopy
	log := config.Log.logger(logTo, config.Name)
	logging.SetLogger(networkLog{log})
	nbio.MaxOpenFiles = config.Descriptors + 1024 // size of a table that nbio allocates for each engine

	queue := newEventQueue()
	requests := newAdminRequests(config, queue)
	if config.Admin != "" {
		server, err := admin.Open(config.Admin, requests)
		if err != nil {
			return fmt.Errorf("admin: %w", err)
		}
		defer server.Stop()
	}
	if config.upgradesInPlace() {
		listener, err := config.listenInherited()
		if err != nil {
			return err
		}
		defer func() { go listener.Close() }() // see respserver.Server.StopAccepting
		// This process cannot serve until its predecessor has ended, but the platform stops the predecessor only once
		// this process is ready.
		requests.ready.Store(true)
	}
	walLog, err := openWAL(ctx, config, log)
	if err != nil {
		return unlessStopped(ctx, log, err)
	}
	defer walLog.Close()
	dialer, err := dial.New("outlet", (config.Descriptors-reservedDescriptors)/3)
	if err != nil {
		return err
	}
	defer dialer.Stop()

	configured := config.Scheduler
	config.Scheduler.AwaitAcknowledgement = true
	config.enableEndpointPolling()
	loop := newEventLoop(config, log, queue)
	config.Scheduler.MaxStoredBytes = loop.memory.MessageBytes(walLog.Capacity())
	config.Scheduler.MaxCallBytes = transport.MaxBodyBytes - upstream.BatchFramingBytes
	loop.configuredScheduler, loop.wal, loop.telemetry.output = configured, walLog, logTo
	loop.operators = operatorState{
		requests:      requests,
		drains:        drains.New(statefile.ReadDrains(config.Folder)),
		pendingDrains: drains.NewPending(statefile.ReadPendingDrains(config.Folder), uptime()),
	}
	return loop.serve(ctx, stop, reload, dialer, ready)
}

// serve opens everything except the state folder and the operators' address, serves until the process ends, and then
// closes everything.
func (loop *eventLoop) serve(
	ctx context.Context, stop *stopSignal, reload <-chan os.Signal, dialer *dial.Dialer, ready func(addr string),
) error {
	log := loop.telemetry.log
	if err := loop.openBacklog(ctx); err != nil {
		return unlessStopped(ctx, log, err)
	}
	defer loop.closeBacklog()
	if err := loop.connect(dialer); err != nil {
		return err
	}
	defer loop.discovery.source.Stop()
	if err := loop.openRecorder(dialer); err != nil {
		return err
	}
	defer loop.telemetry.recorder.Stop()
	loop.operators.requests.takeOver()
	loop.recoverState(loop.epoch)
	if ctx.Err() != nil { // cancelled before any client was served
		return unlessStopped(ctx, log, nil)
	}
	if err := loop.openConfiguredFrontends(); err != nil {
		return err
	}
	defer loop.closeFrontends()
	loop.restoreClientDrain()
	loop.operators.requests.ready.Store(true)
	loop.logReady()
	if ready != nil {
		ready(loop.frontends.open[0].Addr())
	}
	loop.run(stop, reload, dialer)
	loop.answerRemaining()
	loop.finishStateFiles()
	loop.telemetry.counts.write(log.Info()).Int("owed", len(loop.wal.Pending())).Msg("end")
	return nil
}

// unlessStopped returns the error of a startup step. If the process was stopped during that step it logs this and
// returns nil instead.
func unlessStopped(ctx context.Context, log zerolog.Logger, err error) error {
	if ctx.Err() == nil {
		return err
	}
	log.Info().Msg("stopped before serving")
	return nil
}

// openWAL opens the write-ahead log in the folder. In an upgrade it waits until the predecessor releases the folder.
func openWAL(ctx context.Context, config *Config, log zerolog.Logger) (*wal.Log, error) {
	wait := time.Duration(0)
	if config.upgradesInPlace() {
		wait = handoverTimeout
		if pid := wal.LockHolder(config.Folder); pid != 0 {
			log.Info().Int("pid", pid).Msg("waiting for the folder")
		}
	}
	open := func() (*wal.Log, error) {
		return wal.OpenWhenFree(ctx, config.Folder, int64(config.DiskMB)*1_000_000, wait)
	}
	walLog, err := signals.Interruptible(ctx, open, func(l *wal.Log) { _ = l.Close() })
	if err != nil {
		return nil, fmt.Errorf("PROXY_STATE: %w", err)
	}
	return walLog, nil
}

// openRecorder starts serving metrics if the configuration has an address for them.
func (loop *eventLoop) openRecorder(dialer *dial.Dialer) error {
	config := loop.config
	if config.Metrics == "" {
		return nil
	}
	if config.Recorder == nil {
		return errors.New("metrics: this program does not provide metrics")
	}
	var frontends []string
	for _, f := range config.Frontends {
		frontends = append(frontends, f.Name)
	}
	recorder, err := config.Recorder(config.Metrics, config.Name, frontends, loop.gauges(dialer))
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	loop.telemetry.recorder, loop.telemetry.recording = recorder, true
	return nil
}

// logReady logs the addresses at which clients and metrics are served.
func (loop *eventLoop) logReady() {
	e := loop.telemetry.log.Info()
	for i, l := range loop.frontends.open {
		name := "listen"
		if i > 0 {
			name += "_" + l.config.Name
		}
		e = e.Str(name, l.Addr())
	}
	if loop.telemetry.recording {
		e = e.Str("metrics", loop.telemetry.recorder.Addr())
	}
	if loop.scheduler.AwaitsList() {
		e = e.Bool("awaits_agents_list", true)
	}
	if loop.operators.drainsClients {
		e = e.Bool("lameduck", true)
	}
	e.Int("recovered", loop.telemetry.counts.recovered).Int("dropped_records", loop.wal.DroppedRecords).
		Int("targets", len(loop.endpoints.byNumber)).Msg("ready")
}
