package sim

// stall suspends the forwarder until the given time. A restart does not end the stall.
func (f *forwarder) stall(until float64) {
	f.stalledUntil = max(f.stalledUntil, until)
	f.run.log.ForwarderStalled(f.number, until)
}

func (f *forwarder) isStalled() bool { return f.run.Now() < f.stalledUntil }

// do handles an event in the current process, or drops it if no process is running. Events during a stall are deferred
// to its end. The process then handles all of them before it reconciles once, as the event loop does with a full event
// queue.
func (f *forwarder) do(handle func()) {
	switch {
	case !f.up:
	case f.isStalled():
		if f.deferredEvents = append(f.deferredEvents, handle); len(f.deferredEvents) == 1 {
			f.resumeAfterStall(f.incarnation)
		}
	default:
		handle()
	}
}

// resumeAfterStall handles the deferred events at the end of the stall.
func (f *forwarder) resumeAfterStall(incarnation int) {
	f.run.At(f.stalledUntil, func() {
		switch {
		case f.incarnation != incarnation: // the process has ended, and its deferred events are dropped
		case f.isStalled(): // the stall was extended
			f.resumeAfterStall(incarnation)
		default:
			events := f.deferredEvents
			f.deferredEvents, f.deferReconcile = nil, true
			for _, handle := range events {
				handle()
			}
			f.deferReconcile = false
			f.policy.SetTime(f.run.Now())
			f.reconcile()
		}
	})
}

// kill ends the process and starts another one after restartDelay.
func (f *forwarder) kill() {
	if !f.up {
		return
	}
	run := f.run
	f.up = false
	f.incarnation++
	for _, c := range f.openCalls {
		c.done = true
		c.abort()
	}
	f.openCalls, f.pendingCalls, f.deferredEvents = nil, nil, nil
	run.log.ForwarderRestarted(f.number, run.Now()+restartDelay+recoveryGrace)
	for _, destination := range run.destinations {
		destination.ForwarderRestarted(f.number)
	}
	run.After(restartDelay, f.restart)
}

// restart starts a process after a kill, or at the end of the stall if the forwarder is stalled.
func (f *forwarder) restart() {
	if f.isStalled() {
		f.run.log.ForwarderStalled(f.number, f.stalledUntil+recoveryGrace)
		f.run.At(f.stalledUntil, f.restart)
		return
	}
	f.start()
}
