package sim

// stall makes the forwarder, whichever process it has, stand still until a moment.
func (f *forwarder) stall(until float64) {
	f.stalledUntil = max(f.stalledUntil, until)
	f.run.log.ForwarderStalled(f.number, until)
}

func (f *forwarder) isStalled() bool { return f.run.Now() < f.stalledUntil }

// do runs a function in the process as it is now; without a process it is dropped. During a stall all that comes waits;
// then the process handles all of it before it decides once, as the forwarder's event loop handles what lies in its
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

// resumeAfterStall handles what waited, once the process no longer stalls.
func (f *forwarder) resumeAfterStall(incarnation int) {
	f.run.At(f.stalledUntil, func() {
		switch {
		case f.incarnation != incarnation: // that process is gone, with what waited
		case f.isStalled(): // for longer than it was then
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

// kill ends the process; it starts again with what it left unanswered.
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

// restart starts the process after a kill. One that would start during a stall starts at its end.
func (f *forwarder) restart() {
	if f.isStalled() {
		f.run.log.ForwarderStalled(f.number, f.stalledUntil+recoveryGrace)
		f.run.At(f.stalledUntil, f.restart)
		return
	}
	f.start()
}
