package forwarder

import (
	"time"

	"github.com/rs/zerolog"

	"spanflow/internal/wal"
	"spanflow/scheduler"
)

// eventLoop is what the one goroutine that runs the scheduler works with. Each part holds the state of one concern, in
// the file that is named for it; what concerns several parts at once is a method here.
type eventLoop struct {
	config              *Config
	configuredScheduler scheduler.Settings // as the configuration has them, without what the event loop adds
	queue               *eventQueue
	wal                 *wal.Log
	scheduler           *scheduler.Scheduler
	epoch               time.Time // the scheduler's clock is the wall clock's at this time, and monotonic from there on
	wakeAt              time.Time // when the scheduler's timer fires; zero: not set

	messages  messageTable
	endpoints endpointTable
	calls     callBatch
	backlog   *backlogState // nil: messages wait in memory alone
	discovery discoveryState
	notices   noticeState
	frontends frontendState
	operators operatorState
	shutdown  shutdownState
	telemetry telemetry

	stateWriter *stateWriter
	reloading   reloadState
}

// newEventLoop returns an event loop that knows of no message and no endpoint. Its write-ahead log, admin requests and
// drains are the caller's to set.
func newEventLoop(config *Config, log zerolog.Logger, queue *eventQueue) *eventLoop {
	stateWriter := newStateWriter(func(file string, err error) { queue.push(stateNotWritten{file, err}) })
	return &eventLoop{
		config:              config,
		configuredScheduler: config.Scheduler,
		queue:               queue,
		epoch:               time.Now(),
		messages:            newMessageTable(config.Names.Types),
		endpoints:           newEndpointTable(),
		telemetry:           newTelemetry(config.Log, log),
		stateWriter:         stateWriter,
	}
}

// schedulerTime is a time on the scheduler's clock, in seconds.
func (loop *eventLoop) schedulerTime(t time.Time) float64 {
	return float64(loop.epoch.UnixMicro())/1e6 + t.Sub(loop.epoch).Seconds()
}

// micros is so many seconds in whole microseconds.
func micros(seconds float64) int64 { return int64(seconds * 1e6) }

// turn handles all waiting events, lets the scheduler reconcile once, and carries out what it decides. It reports
// whether the process may end.
func (loop *eventLoop) turn() bool {
	events, since := loop.queue.take()
	start := time.Now()
	loop.scheduler.SetTime(loop.schedulerTime(start))
	for _, ev := range events {
		loop.handle(ev)
	}
	if !loop.wakeAt.IsZero() && !start.Before(loop.wakeAt) {
		loop.wakeAt = time.Time{}
		loop.scheduler.TimerFired()
	}
	loop.moveBacklog(start)
	loop.scheduler.Reconcile()
	loop.calls.send()
	loop.recordTurn(len(events), since, start)
	return loop.scheduler.Done()
}

// handle passes one event to the method for its type.
func (loop *eventLoop) handle(ev event) {
	switch ev := ev.(type) {
	case *request:
		loop.handleRequest(ev)
	case callerDisconnected:
		loop.withdraw(string(ev))
	case callEnded:
		loop.handleCallResult(&ev.CallResult)
	case endpointsUpdated:
		loop.discovery.listReceived = true
		loop.updateEndpoints(ev.EndpointList, ev.Complete)
	case watchEnded:
		loop.handleWatchEnd(ev)
	case noticesUnanswered:
		loop.logUnansweredNotices(string(ev))
	case noticesAcknowledged:
		loop.releaseAcknowledged(ev)
	case stopRequested:
		loop.scheduler.Stop(time.Duration(ev).Seconds())
	case configRead:
		loop.handleConfigRead(ev)
	case stateNotWritten:
		loop.telemetry.log.Error().Err(ev.err).Msg(stateNotWrittenTexts[ev.file])
	case operatorRequest:
		loop.handleOperatorRequest(ev)
	}
}
