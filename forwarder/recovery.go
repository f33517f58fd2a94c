package forwarder

import (
	"time"

	"spanflow/internal/statefile"
	"spanflow/internal/wal"
	"spanflow/scheduler"
	"spanflow/transport"
)

// recoverState gives the scheduler the last known list of endpoints and the messages that an earlier process left
// unfinished.
func (loop *eventLoop) recoverState(now time.Time) {
	loop.scheduler = scheduler.New(loop.config.Scheduler, loop.config.Seed, loop.schedulerTime(now), loop)
	loop.scheduler.PauseKeys()
	loop.readLearnedState(now)
	loop.takeEndpointStates()
	loop.updateEndpoints(&loop.config.LastEndpoints, true)
	loop.runSpooledCommands()
	owed := loop.wal.Pending()
	overtaking := loop.restoreBacklog()
	for _, e := range owed {
		loop.recoverMessage(e, now, overtaking[e.Seq])
	}
	loop.scheduler.Reconcile()
	loop.calls.send()
}

// readLearnedState reads what an earlier process has learned of endpoints and destinations, for when these are known.
func (loop *eventLoop) readLearnedState(now time.Time) {
	config, log := loop.config, &loop.telemetry.log
	if config.upgradesInPlace() { // a restart ends a Retry-After
		loop.endpoints.restoredRetryAfter = statefile.ReadRetryAfter(config.Folder, loop.schedulerTime(now))
	}
	loop.endpoints.restoredLatencies = readLatencies(config.Folder, config.latencyDeployment(), log)
	if destinations := len(loop.endpoints.restoredLatencies); destinations > 0 {
		log.Info().Int("destinations", destinations).Msg("learned latencies restored")
	}
}

// recoverMessage gives the scheduler a message that an earlier process left unfinished. One that would overtake stored
// ones is answered without a call.
func (loop *eventLoop) recoverMessage(e *wal.Entry, now time.Time, overtaking bool) {
	typ, known := loop.messages.types[e.Type]
	if !known {
		loop.telemetry.log.Error().Str("id", e.ID).Str("type", e.Type).Msg("recovered message of an unknown type")
		typ = 0
	}
	recovered := loop.recoveredAttempts(e)
	m := loop.track(e, typ)
	switch {
	case e.CallerWaits: // its caller's connection died with that process: nobody gets an answer
		loop.telemetry.counts.withdrawn++
	case e.Answer == wal.Rejected:
		loop.sendFinalAnswer(m, transport.Rejected, e.RetryAfter)
	case e.Answer == wal.Failed:
		loop.sendFinalAnswer(m, transport.Failed, 0)
	}
	secondsLeft := float64(e.Expiry)/1e6 - loop.schedulerTime(now)
	if overtaking && !recovered.Answered && !recovered.CallerGone {
		loop.scheduler.AnswerWithoutCall(m.scheduled, typ, secondsLeft, recovered)
	} else {
		loop.scheduler.Recover(m.scheduled, typ, secondsLeft, recovered)
		loop.discountWindow(m)
	}
	if !recovered.Answered {
		loop.noteInMemory(m)
	}
	loop.telemetry.counts.recovered++
	if recovered.Attempts == 0 && !recovered.Answered && !recovered.CallerGone {
		loop.noteUntried(m, secondsLeft)
	}
	if m.withdrawn = e.CallerWaits; m.withdrawn {
		loop.removeIfFinished(m)
	}
}

// discountWindow takes a recovered message off its destination's demand where a backlog store is used, or where that
// demand was handed over. Otherwise a start that finds the windows of many unreachable destinations would take them for
// demand and try each often.
func (loop *eventLoop) discountWindow(m *trackedMessage) {
	if loop.backlog != nil || m.scheduled.Dest.InheritsDemand() {
		loop.scheduler.UncountDemand(m.scheduled.Dest)
	}
}

// recoveredAttempts are a message's earlier attempts. One that was outstanding when that process ended counts as ended
// with it, and may have run.
func (loop *eventLoop) recoveredAttempts(e *wal.Entry) scheduler.RecoveredState {
	if e.AttemptBegan > 0 {
		if err := loop.wal.RecordAttemptEnd(e.Seq, true); err != nil {
			loop.logWALError(err)
		}
	}
	return scheduler.RecoveredState{
		Attempts:   e.Attempts,
		FirstRanAt: float64(e.FirstRanAt) / 1e6,
		Zone:       e.FirstRanZone,
		Answered:   e.Answer != wal.NoAnswer,
		CallerGone: e.CallerWaits,
	}
}

// noteUntried counts a recovered message for which no call has begun.
func (loop *eventLoop) noteUntried(m *trackedMessage, secondsLeft float64) {
	m.untried = true
	loop.messages.untried++
	loop.telemetry.figures.untried++
	if secondsLeft <= 0 {
		loop.telemetry.figures.expired++
	}
}

// noteTried takes a message off the count of the untried recovered ones, if it is among them: it is sent (called), or
// has ended without a call. With the last of them it logs how many there were.
func (loop *eventLoop) noteTried(m *trackedMessage, called bool) {
	if !m.untried {
		return
	}
	m.untried = false
	loop.messages.untried--
	f := &loop.telemetry.figures
	if called {
		f.called++
	}
	if loop.messages.untried == 0 {
		loop.telemetry.log.Info().Int("recovered", loop.telemetry.counts.recovered).Int("untried", f.untried).
			Int("called", f.called).Int("uncalled", f.untried-f.called).Int("expired_before", f.expired).
			Msg("recovered messages settled")
	}
}
