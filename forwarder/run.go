package forwarder

import (
	"os"
	"runtime"
	"time"

	"spanflow/internal/dial"
)

const (
	countsInterval    = 10 * time.Second // between log lines with the counters
	latenciesInterval = 3 * time.Second  // between two writes of the learned latencies
)

// run executes turns of the event loop until the process may end. Each signal on reload starts a reload of the
// configuration.
func (loop *eventLoop) run(stop *stopSignal, reload <-chan os.Signal, dialer *dial.Dialer) {
	timer := time.NewTimer(0)
	countsTicker := time.NewTicker(countsInterval)
	defer countsTicker.Stop()
	latenciesTicker := time.NewTicker(latenciesInterval)
	defer latenciesTicker.Stop()
	var spool <-chan time.Time
	if loop.config.upgradesInPlace() { // the successor may put commands into the spool
		ticker := time.NewTicker(spoolPollInterval)
		defer ticker.Stop()
		spool = ticker.C
	}
	shutdown := &loop.shutdown
	shutdown.requested = stop.done
	for {
		loop.setTimer(timer)
		select {
		case <-loop.queue.wakeups:
		case <-timer.C:
		case <-countsTicker.C:
			loop.setBacklogAges()
			loop.logCounts(dialer)
			continue
		case <-latenciesTicker.C:
			if !shutdown.begun {
				loop.writeLatencies()
			}
			loop.retryDone()
			continue
		case <-spool:
			// Once this process hands over, its successor carries out the spooled commands.
			if shutdown.handingOver || !loop.runSpooledCommands() {
				continue
			}
		case <-reload:
			loop.reload()
			continue
		case <-shutdown.requested:
			loop.beginShutdown(stop.at)
		case <-shutdown.drain:
			loop.drainFrontends()
		case <-shutdown.poll: // checks whether all clients have disconnected
		case <-shutdown.deadlineReached:
			return
		}
		if loop.takeTurn() || shutdown.isOverdue() {
			return
		}
		runtime.Gosched() // on one processor, the goroutines that read would otherwise wait while events keep coming
	}
}

// setTimer sets the timer to the earliest of the scheduler's wake-up time, the next check of the backlog store and the next
// try to record final answers.
func (loop *eventLoop) setTimer(timer *time.Timer) {
	at := earlier(loop.wakeAt, loop.notices.unrecorded.retryAt)
	if loop.backlog != nil {
		at = earlier(at, loop.backlog.wakeAt)
	}
	if at.IsZero() {
		timer.Stop()
	} else {
		timer.Reset(time.Until(at))
	}
}

// earlier returns the earlier of two times, where the zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
