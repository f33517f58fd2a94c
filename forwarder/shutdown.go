package forwarder

import (
	"context"
	"slices"
	"time"
)

const (
	killAfter          = 3700 * time.Millisecond // time from SIGTERM until a forwarder may be killed
	killMargin         = 500 * time.Millisecond  // part of killAfter reserved for closing after the last turn
	closingTime        = 300 * time.Millisecond  // part of killMargin reserved for closing the rest after the state files
	acceptPeriod       = 500 * time.Millisecond  // time after SIGTERM in which new connections are still expected
	clientPollInterval = 20 * time.Millisecond   // between checks whether all clients have disconnected
)

// shutdownState is the progress of a shutdown. A channel is nil while its event is not awaited.
type shutdownState struct {
	begun            bool
	requested        <-chan struct{}  // closed when the process is asked to stop
	drain            <-chan time.Time // fires when new connections are no longer expected
	poll             <-chan time.Time // fires to check whether all clients have disconnected
	deadline         time.Time        // when the process ends even with unfinished work
	deadlineReached  <-chan time.Time
	handingOver      bool // a successor takes over
	stoppedAccepting bool // the frontends leave new connections to the successor
}

// stopSignal records when a context was cancelled, even if the event loop is busy or has not started at that time.
type stopSignal struct {
	at   time.Time     // valid once done is closed
	done chan struct{} // closed when the context is cancelled
}

func newStopSignal(ctx context.Context) *stopSignal {
	s := &stopSignal{done: make(chan struct{})}
	context.AfterFunc(ctx, func() {
		s.at = time.Now()
		close(s.done)
	})
	return s
}

// isOverdue reports whether a shutdown has reached its deadline.
func (shutdown *shutdownState) isOverdue() bool {
	return shutdown.begun && !time.Now().Before(shutdown.deadline)
}

// beginShutdown starts the shutdown that was requested at the given time.
func (loop *eventLoop) beginShutdown(requestedAt time.Time) {
	shutdown, log := &loop.shutdown, &loop.telemetry.log
	shutdown.requested, shutdown.begun = nil, true
	loop.operators.requests.ready.Store(false)
	shutdown.deadline = requestedAt.Add(killAfter - killMargin)
	shutdown.deadlineReached = time.After(time.Until(shutdown.deadline))
	shutdown.handingOver = loop.config.upgradesInPlace()
	held := len(loop.messages.byNumber)
	if shutdown.handingOver {
		// The successor takes over the clients from the shared socket and the messages from the folder once the calls
		// of this process have ended.
		log.Info().Int("held", held).Int("in_flight", loop.scheduler.CallsInFlight()).Msg("handing over")
		loop.queue.push(stopRequested(0))
		shutdown.poll = time.Tick(clientPollInterval)
		loop.writeStateFiles() // written again once the calls have ended, but the process may be killed before that
		return
	}
	log.Info().Int("held", held).Msg("stopping")
	shutdown.drain = time.After(time.Until(requestedAt.Add(acceptPeriod)))
	loop.queue.push(stopRequested(max(0, time.Until(shutdown.deadline))))
	// Written now rather than at the end, because a slow file system may block the files and with them the process: a
	// thread in such a system call cannot be stopped. What is learned from the remaining calls is lost. The retry-after
	// state is read only in upgrades.
	loop.writeStateFiles()
}

// writeStateFiles passes the files that a successor reads to the state writer.
func (loop *eventLoop) writeStateFiles() {
	loop.writeRetryAfter(loop.schedulerTime(time.Now()))
	loop.writeLatencies()
	loop.writeEndpointStates()
}

// finishStateFiles waits until the state files are written or the time for it is over.
func (loop *eventLoop) finishStateFiles() {
	shutdown := &loop.shutdown
	if shutdown.handingOver && !shutdown.stoppedAccepting { // its calls did not end in time
		loop.writeStateFiles()
	}
	loop.stateWriter.close(shutdown.deadline.Add(killMargin - closingTime))
}

// drainFrontends sends the clients elsewhere, as no new connections are expected any more.
func (loop *eventLoop) drainFrontends() {
	loop.shutdown.drain = nil
	for _, l := range loop.frontends.open {
		l.Drain()
	}
	loop.shutdown.poll = time.Tick(clientPollInterval)
}

// takeTurn runs a turn of the event loop, and hands over to the successor once the last call has ended. It reports
// whether the process may end.
func (loop *eventLoop) takeTurn() bool {
	shutdown := &loop.shutdown
	clients := 0
	for _, l := range loop.frontends.open {
		clients += l.Clients()
	}
	if len(loop.frontends.draining) > 0 {
		loop.closeDrainedFrontends()
	}
	done := loop.turn()
	if shutdown.handingOver && !shutdown.stoppedAccepting && loop.scheduler.CallsInFlight() == 0 {
		loop.handOver()
		return false
	}
	return (done || shutdown.stoppedAccepting) && shutdown.drain == nil && clients == 0
}

// handOver leaves new clients to the successor. It is called only once no call is outstanding, to keep the time short
// in which neither process accepts on the shared socket: the successor starts when the folder is released.
func (loop *eventLoop) handOver() {
	loop.shutdown.stoppedAccepting = true
	loop.telemetry.log.Info().Int("held", len(loop.messages.byNumber)).
		Msg("all calls have ended, leaving new clients to the successor")
	loop.writeStateFiles() // no call is outstanding, so there is no more to learn
	for _, l := range loop.frontends.open {
		l.StopAccepting()
		l.Drain()
	}
}

// answerRemaining answers the requests that were read after the last turn, so that no command is read and then lost
// with the process. Commands that were not read are sent again by their clients. No new call begins, and calls that are
// not sent yet are cancelled.
func (loop *eventLoop) answerRemaining() {
	loop.queue.close() // unblocks frontends in Submit, so that they can stop reading
	for _, l := range append(slices.Clone(loop.frontends.open), loop.frontends.draining...) {
		l.StopReading()
	}
	loop.queue.push(stopRequested(0))
	loop.scheduler.CancelUnsentCalls()
	loop.turn()
	for loop.queue.requestsWaiting() {
		loop.turn()
	}
	loop.turn() // the results of the cancelled calls, which are recorded as not sent
}
