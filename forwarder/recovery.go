package forwarder

import (
	"time"

	"spanflow/internal/statefile"
	"spanflow/internal/wal"
	"spanflow/scheduler"
	"spanflow/transport"
)

// recoverState loads the last known endpoint list and the messages that an earlier process left unfinished into the
// scheduler.
func (loop *eventLoop) recoverState(now time.Time) {
	loop.scheduler = scheduler.New(loop.config.Scheduler, loop.config.Seed, loop.schedulerTime(now), loop)
	loop.scheduler.PauseKeys()
	loop.readLearnedState(now)
	loop.loadEndpointStates()
	loop.restoreLease()
	loop.updateEndpoints(&loop.config.LastEndpoints, true)
	loop.runSpooledCommands()
	for _, id := range loop.wal.TakeRecentlyDone() { // also an ID of an earlier process runs only once
		loop.messages.recentIDs.add(id)
	}
	pending := loop.wal.Pending()
	overtaking := loop.restoreBacklog()
	for _, e := range pending {
		loop.recoverMessage(e, now, overtaking[e.Seq])
	}
	loop.scheduler.Reconcile()
	loop.calls.send()
}

// readLearnedState reads what an earlier process learned about endpoints and destinations. It is applied once these are
// known.
func (loop *eventLoop) readLearnedState(now time.Time) {
	config, log := loop.config, &loop.telemetry.log
	if config.upgradesInPlace() { // a restart that is not an upgrade ends a Retry-After
		loop.endpoints.restoredRetryAfter = statefile.ReadRetryAfter(config.Folder, loop.schedulerTime(now))
	}
	loop.endpoints.restoredLatencies = readLatencies(config.Folder, config.latencyDeployment(), log)
	if destinations := len(loop.endpoints.restoredLatencies); destinations > 0 {
		log.Info().Int("destinations", destinations).Msg("learned latencies restored")
	}
}

// recoverMessage passes a message that an earlier process left unfinished to the scheduler. A message that would
// overtake stored ones is answered without a call.
func (loop *eventLoop) recoverMessage(e *wal.Entry, now time.Time, overtaking bool) {
	typ, known := loop.messages.types[e.Type]
	if !known {
		loop.telemetry.log.Error().Str("id", e.ID).Str("type", e.Type).Msg("recovered message of an unknown type")
		typ = 0
	}
	recovered := loop.recoveredAttempts(e)
	m := loop.track(e, typ)
	switch {
	case e.CallerWaits: // its caller's connection ended with that process, so there is nobody to answer
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
		loop.excludeFromDemand(m)
	}
	if !recovered.Answered {
		loop.addToLane(m)
	}
	loop.telemetry.counts.recovered++
	if recovered.Attempts == 0 && !recovered.Answered && !recovered.CallerGone {
		loop.countUntried(m, secondsLeft)
	}
	if m.withdrawn = e.CallerWaits; m.withdrawn {
		loop.removeIfFinished(m)
	}
}

// excludeFromDemand excludes a recovered message from its destination's demand if a backlog store is used or if that
// demand was handed over. Otherwise a start that recovers the messages in memory for many unreachable destinations
// would count them as demand and call each of these destinations often.
func (loop *eventLoop) excludeFromDemand(m *trackedMessage) {
	if loop.backlog != nil || m.scheduled.Dest.InheritsDemand() {
		loop.scheduler.UncountDemand(m.scheduled.Dest)
	}
}

// recoveredAttempts returns a message's earlier attempts. An attempt that was outstanding when that process ended
// counts as ended at that time, and may have run.
func (loop *eventLoop) recoveredAttempts(e *wal.Entry) scheduler.RecoveredState {
	if e.AttemptStartedAt > 0 {
		if err := loop.wal.RecordAttemptEnd(e.Seq, wal.AttemptMayHaveRun); err != nil {
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

// countUntried counts a recovered message for which no call has begun.
func (loop *eventLoop) countUntried(m *trackedMessage, secondsLeft float64) {
	m.untried = true
	loop.messages.untried++
	loop.telemetry.figures.untried++
	if secondsLeft <= 0 {
		loop.telemetry.figures.expired++
	}
}

// clearUntried removes a message from the count of untried recovered messages, if it is one of them. called is true if
// it is being sent, and false if it ended without a call. After the last of them the totals are logged.
func (loop *eventLoop) clearUntried(m *trackedMessage, called bool) {
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
