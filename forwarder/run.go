package forwarder

import (
	"os"
	"time"

	"spanflow/internal/dial"
)

const (
	countsEvery    = 10 * time.Second // between two lines with the counts
	latenciesEvery = 3 * time.Second  // between two writes of the learned latencies
)

// run takes a turn whenever there is something to do, until the process may end. It has the configuration reloaded at
// each signal on reload.
func (loop *eventLoop) run(stop *stopSignal, reload <-chan os.Signal, dialer *dial.Dialer) {
	timer := time.NewTimer(0)
	counts := time.NewTicker(countsEvery)
	defer counts.Stop()
	latencies := time.NewTicker(latenciesEvery)
	defer latencies.Stop()
	var spool <-chan time.Time
	if loop.config.upgradesInPlace() { // the next process may spool commands
		ticker := time.NewTicker(spoolPollInterval)
		defer ticker.Stop()
		spool = ticker.C
	}
	end := &loop.shutdown
	end.requested = stop.done
	for {
		loop.setTimer(timer)
		select {
		case <-loop.queue.wakeups:
		case <-timer.C:
		case <-counts.C:
			loop.setBacklogAges()
			loop.logCounts(dialer)
			continue
		case <-latencies.C:
			if !end.begun {
				loop.writeLatencies()
			}
			loop.retryDone()
			continue
		case <-spool:
			// Once this process hands over, its successor carries out the spooled commands.
			if end.handingOver || !loop.runSpooledCommands() {
				continue
			}
		case <-reload:
			loop.reload()
			continue
		case <-end.requested:
			loop.beginShutdown(stop.at)
		case <-end.drain:
			loop.drainFrontends()
		case <-end.poll: // if the clients have gone
		case <-end.deadlineReached:
			return
		}
		if loop.turnUntilDone() || end.isOverdue() {
			return
		}
	}
}

// setTimer has the timer fire when the scheduler's does or the backlog store is to be looked at.
func (loop *eventLoop) setTimer(timer *time.Timer) {
	at := loop.wakeAt
	if loop.backlog != nil && !loop.backlog.wakeAt.IsZero() && (at.IsZero() || loop.backlog.wakeAt.Before(at)) {
		at = loop.backlog.wakeAt
	}
	if at.IsZero() {
		timer.Stop()
	} else {
		timer.Reset(time.Until(at))
	}
}
