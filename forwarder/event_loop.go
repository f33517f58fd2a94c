package forwarder

import (
	"time"

	"github.com/rs/zerolog"

	"spanflow/internal/membudget"
	"spanflow/internal/wal"
	"spanflow/scheduler"
)

// eventLoop is the state of the goroutine that runs the scheduler. Each part holds the state of one concern and is
// defined in the file named after it. Code that involves several parts is a method of eventLoop.
type eventLoop struct {
	config              *Config
	memory              *membudget.Budget
	configuredScheduler scheduler.Settings // settings as configured, without those added at the start
	queue               *eventQueue
	wal                 *wal.Log
	scheduler           *scheduler.Scheduler
	epoch               time.Time // start of the scheduler's clock: set to the wall clock here, monotonic afterwards
	wakeAt              time.Time // when the scheduler's timer fires; zero if not set

	messages  messageTable
	endpoints endpointTable
	calls     callBatch
	backlog   *backlogState // nil if messages are queued in memory only
	discovery discoveryState
	notices   noticeState
	frontends frontendState
	operators operatorState
	shutdown  shutdownState
	telemetry telemetry

	stateWriter *stateWriter
	reloading   reloadState
}

// newEventLoop returns an event loop without messages and endpoints. The caller sets its write-ahead log, admin
// requests and drains.
func newEventLoop(config *Config, log zerolog.Logger, queue *eventQueue) *eventLoop {
	stateWriter := newStateWriter(func(file string, err error) { queue.push(stateNotWritten{file, err}) })
	memory := membudget.New(config.MemoryMB, config.upgradesInPlace())
	queue.requestMemory = memory.QueuedRequests
	return &eventLoop{
		config:              config,
		memory:              memory,
		configuredScheduler: config.Scheduler,
		queue:               queue,
		epoch:               time.Now(),
		messages:            newMessageTable(config.Names.Types),
		endpoints:           newEndpointTable(),
		telemetry:           newTelemetry(config.Log, log),
		stateWriter:         stateWriter,
	}
}

// schedulerTime converts a time to seconds on the scheduler's clock.
func (loop *eventLoop) schedulerTime(t time.Time) float64 {
	return float64(loop.epoch.UnixMicro())/1e6 + t.Sub(loop.epoch).Seconds()
}

// timeOf converts seconds on the scheduler's clock to a time.
func (loop *eventLoop) timeOf(seconds float64) time.Time {
	return loop.epoch.Add(time.Duration((seconds - loop.schedulerTime(loop.epoch)) * float64(time.Second)))
}

// micros converts seconds to whole microseconds.
func micros(seconds float64) int64 { return int64(seconds * 1e6) }

// turn handles all queued events, lets the scheduler reconcile once, and carries out its decisions. It reports whether
// the process may end.
func (loop *eventLoop) turn() bool {
	events, since := loop.queue.take()
	start := time.Now()
	loop.scheduler.SetTime(loop.schedulerTime(start))
	for _, ev := range events {
		loop.handle(ev)
	}
	loop.queue.release()
	if !loop.wakeAt.IsZero() && !start.Before(loop.wakeAt) {
		loop.wakeAt = time.Time{}
		loop.scheduler.TimerFired()
	}
	loop.retryAnswers(start)
	loop.moveBacklog(start)
	loop.scheduler.Reconcile()
	loop.calls.send()
	loop.removeCancelled()
	loop.logOverdueList()
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
	case connectionReset:
		loop.handleConnectionReset(ev)
	case callEnded:
		loop.handleCallResult(&ev.CallResult)
	case endpointsUpdated:
		loop.handleEndpointList(ev.EndpointList)
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
