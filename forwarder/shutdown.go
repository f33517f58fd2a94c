package forwarder

import (
	"slices"
	"time"
)

const (
	killAfter      = 3700 * time.Millisecond // after the word to stop, a forwarder may be killed
	killMargin     = 500 * time.Millisecond  // what is left of it for the end itself
	acceptFor      = 500 * time.Millisecond  // new connections may still come for so long
	clientsPolling = 20 * time.Millisecond   // between two looks if the clients have gone
)

// shutdownState is how far the end of a process has come. A channel is nil while its event is not waited for.
type shutdownState struct {
	begun       bool
	requested   <-chan struct{}  // the word to stop
	drain       <-chan time.Time // from then on no new connections are waited for
	poll        <-chan time.Time // to see if the clients have gone
	deadline    <-chan time.Time // from then on nothing is waited for
	handingOver bool             // another process takes over
	handedOver  bool             // and the frontends are shut for it
}

// beginShutdown begins the end of the process.
func (loop *eventLoop) beginShutdown() {
	end, log := &loop.shutdown, &loop.telemetry.log
	end.requested, end.begun = nil, true
	loop.operators.requests.ready.Store(false)
	end.deadline = time.After(killAfter - killMargin)
	end.handingOver = loop.config.InheritedListener > 0
	held := len(loop.messages.byNumber)
	if end.handingOver {
		// Another process takes the clients from the shared socket and what is owed from the folder: its serving goes on
		// there once this one has its calls back.
		log.Info().Int("held", held).Int("out", loop.scheduler.CallsInFlight()).Msg("handing over")
		loop.queue.push(stopRequested(0))
		end.poll = time.Tick(clientsPolling)
		return
	}
	log.Info().Int("held", held).Msg("stopping")
	end.drain = time.After(acceptFor)
	loop.queue.push(stopRequested(killAfter - killMargin))
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
	if end.handingOver && !end.handedOver && loop.scheduler.CallsInFlight() == 0 {
		loop.handOver()
		return false
	}
	return (done || end.handedOver) && end.drain == nil && clients == 0
}

// handOver leaves new clients to the process that takes over. They are taken and kept for it until the calls are back,
// so that the socket is without anybody who accepts for as short a time as can be: the successor starts once the folder
// is free.
func (loop *eventLoop) handOver() {
	loop.shutdown.handedOver = true
	for _, l := range loop.frontends.open {
		l.StopAccepting()
		l.Drain()
	}
}

// answerRemaining answers what callers have asked up to the end. Guards against a command that was read behind the last
// turn and lost with the process: what is read is answered, what is not its client sends once more. No call begins any
// more.
func (loop *eventLoop) answerRemaining() {
	loop.queue.close() // a frontend that waits for room does not any more, so that it can stop reading
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
