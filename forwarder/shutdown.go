package forwarder

import (
	"context"
	"slices"
	"time"
)

const (
	killAfter      = 3700 * time.Millisecond // after SIGTERM a forwarder may be killed
	killMargin     = 500 * time.Millisecond  // of it, left for closing after the last turn
	closingTime    = 300 * time.Millisecond  // of killMargin, left for closing what is open after the state files
	acceptFor      = 500 * time.Millisecond  // how long new connections are still expected
	clientsPolling = 20 * time.Millisecond   // between two looks if the clients have gone
)

// shutdownState is the progress of a shutdown. A channel is nil while its event is not waited for.
type shutdownState struct {
	begun            bool
	requested        <-chan struct{}  // closed when the process is to stop
	drain            <-chan time.Time // from then on no new connections are waited for
	poll             <-chan time.Time // to see if the clients have gone
	deadline         time.Time        // from then on nothing is waited for
	deadlineReached  <-chan time.Time
	handingOver      bool // another process takes over
	stoppedAccepting bool // the frontends take no more connections, for the successor
}

// stopSignal says when a context ended, also to an event loop that is busy at that moment or not there yet.
type stopSignal struct {
	at   time.Time     // valid once done is closed
	done chan struct{} // closed when the context has ended
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
func (end *shutdownState) isOverdue() bool { return end.begun && !time.Now().Before(end.deadline) }

// beginShutdown begins the end of the process, which was asked for at a time.
func (loop *eventLoop) beginShutdown(requestedAt time.Time) {
	end, log := &loop.shutdown, &loop.telemetry.log
	end.requested, end.begun = nil, true
	loop.operators.requests.ready.Store(false)
	end.deadline = requestedAt.Add(killAfter - killMargin)
	end.deadlineReached = time.After(time.Until(end.deadline))
	end.handingOver = loop.config.upgradesInPlace()
	held := len(loop.messages.byNumber)
	if end.handingOver {
		// Another process takes over the clients from the shared socket and the messages from the folder, once the
		// calls of this one have ended.
		log.Info().Int("held", held).Int("in_flight", loop.scheduler.CallsInFlight()).Msg("handing over")
		loop.queue.push(stopRequested(0))
		end.poll = time.Tick(clientsPolling)
		loop.writeStateFiles() // and again once its calls have ended: it may be killed before
		return
	}
	log.Info().Int("held", held).Msg("stopping")
	end.drain = time.After(time.Until(requestedAt.Add(acceptFor)))
	loop.queue.push(stopRequested(max(0, time.Until(end.deadline))))
	// Now and not at the end: a file system may hold the files back, and the process with them, as a thread within such
	// a call cannot be ended. What calls still teach is lost; the Retry-After state is read on upgrades alone.
	loop.writeStateFiles()
}

// writeStateFiles has the files written that a successor reads.
func (loop *eventLoop) writeStateFiles() {
	loop.writeRetryAfter(loop.schedulerTime(time.Now()))
	loop.writeLatencies()
	loop.writeEndpointStates()
}

// finishStateFiles waits until the state files are written, as long as there is time for that.
func (loop *eventLoop) finishStateFiles() {
	end := &loop.shutdown
	if end.handingOver && !end.stoppedAccepting { // its calls did not end in time
		loop.writeStateFiles()
	}
	loop.stateWriter.close(end.deadline.Add(killMargin - closingTime))
}

// drainFrontends has clients go elsewhere, as no new connections are waited for any more.
func (loop *eventLoop) drainFrontends() {
	loop.shutdown.drain = nil
	for _, l := range loop.frontends.open {
		l.Drain()
	}
	loop.shutdown.poll = time.Tick(clientsPolling)
}

// turnUntilDone takes a turn. It reports whether the process may end.
func (loop *eventLoop) turnUntilDone() bool {
	end := &loop.shutdown
	clients := 0
	for _, l := range loop.frontends.open {
		clients += l.Clients()
	}
	if len(loop.frontends.leaving) > 0 {
		loop.closeDrainedFrontends()
	}
	done := loop.turn()
	if end.handingOver && !end.stoppedAccepting && loop.scheduler.CallsInFlight() == 0 {
		loop.handOver()
		return false
	}
	return (done || end.stoppedAccepting) && end.drain == nil && clients == 0
}

// handOver leaves new clients to the successor. It happens only once no call is outstanding, so that nobody accepts on
// the shared socket for as short a time as possible: the successor starts when the folder is free.
func (loop *eventLoop) handOver() {
	loop.shutdown.stoppedAccepting = true
	loop.telemetry.log.Info().Int("held", len(loop.messages.byNumber)).
		Msg("all calls have ended, leaving clients to the next process")
	loop.writeStateFiles() // no call is left that could teach more
	for _, l := range loop.frontends.open {
		l.StopAccepting()
		l.Drain()
	}
}

// answerRemaining answers the requests that were read after the last turn. It guards against a command that is read
// and lost with the process: what was read is answered, what was not its client sends again. No call begins any more.
func (loop *eventLoop) answerRemaining() {
	loop.queue.close() // a frontend that waits in Submit can stop reading then
	for _, l := range append(slices.Clone(loop.frontends.open), loop.frontends.leaving...) {
		l.StopReading()
	}
	loop.queue.push(stopRequested(0))
	for {
		loop.turn()
		if !loop.queue.requestsWaiting() {
			return
		}
	}
}
