package forwarder

import (
	"time"

	"spanflow/internal/wal"
	"spanflow/scheduler"
	"spanflow/transport"
)

// handleCallResult handles the result of a call, which has one code for each of its messages.
func (loop *eventLoop) handleCallResult(result *transport.CallResult) {
	// Delivered messages come first because the scheduler judges a call by the first result of a message that was sent.
	for _, delivered := range [...]bool{true, false} {
		for i := range result.Call.Messages {
			if (result.Codes[i] == transport.ResultOK) == delivered {
				loop.handleAttemptEnd(result.Call.Messages[i].MessageID, result.Codes[i], result)
			}
		}
	}
	loop.logFailedCall(result)
	loop.logSurplusBytes(result)
	if result.RetryAfter > 0 && loop.shutdown.handingOver {
		loop.writeRetryAfter(loop.schedulerTime(time.Now())) // the process may be killed before all calls have ended
	}
}

// logFailedCall logs a call that did not deliver all its messages, with the result code of the first one not delivered.
func (loop *eventLoop) logFailedCall(result *transport.CallResult) {
	var failed []string
	code := transport.ResultOK
	for i, message := range result.Call.Messages {
		if result.Codes[i] == transport.ResultOK {
			continue
		}
		if len(failed) == 0 {
			code = result.Codes[i]
		}
		failed = append(failed, message.ID)
	}
	if len(failed) == 0 {
		return
	}
	line := loop.telemetry.log.Info().Str("endpoint", result.Call.Address).Strs("ids", failed).
		Stringer("result", code).Dur("took_ms", result.Latency)
	if result.SentAfter > 0 {
		line = line.Dur("sent_after_ms", result.SentAfter)
	}
	if result.Reason != "" {
		line = line.Str("reason", result.Reason)
	}
	if result.RetryAfter > 0 {
		line = line.Float64("retry_after_s", result.RetryAfter)
	}
	line.Msg("call failed")
}

// logSurplusBytes logs a call whose answer was followed by other bytes, which were discarded. They show that the endpoint,
// or something on the way to it, sends what was not asked for.
func (loop *eventLoop) logSurplusBytes(result *transport.CallResult) {
	if result.SurplusBytes == 0 {
		return
	}
	loop.telemetry.log.Info().Str("endpoint", result.Call.Address).Str("id", result.Call.Messages[0].ID).
		Int("bytes", result.SurplusBytes).Msg("bytes after an answer discarded")
}

// handleAttemptEnd handles the end of the attempt for one message of a call.
func (loop *eventLoop) handleAttemptEnd(number uint64, code transport.ResultCode, result *transport.CallResult) {
	loop.telemetry.counts.ends[code]++
	loop.telemetry.recorder.AttemptEnded(code, result.Latency)
	m := loop.messages.byNumber[number]
	if m == nil {
		return
	}
	if m.traced {
		loop.telemetry.log.Info().Str("id", m.ID).Stringer("result", code).Dur("took_ms", result.Latency).
			Msg("trace: attempt ended")
	}
	if code.Written() {
		loop.telemetry.figures.relayed++
	}
	outcome, final := code.Outcome()
	attempts := m.scheduled.Attempts()
	loop.scheduler.AttemptEnded(m.scheduled, scheduler.AttemptResult{
		Outcome:       outcome,
		Final:         final,
		Latency:       result.Latency.Seconds(),
		RetryAfter:    result.RetryAfter,
		ReportedLimit: result.ReportedLimit,
		ReportedShare: result.ReportedShare,
	})
	switch {
	case final && m.scheduled.AwaitingAcknowledgement(): // it stays recorded as pending until its notice is acknowledged
	case final:
		loop.completeMessage(m, outcome)
	default:
		counted := m.scheduled.Attempts() == attempts
		if err := loop.wal.RecordAttemptEnd(number, attemptEnd(code, counted)); err != nil {
			loop.logWALError(err)
		}
	}
	loop.updateReachability(m.scheduled.Dest)
	loop.removeIfFinished(m)
}

// attemptCancelled records that a message was taken out of its call before anything of the call was sent.
func (loop *eventLoop) attemptCancelled(m *trackedMessage) {
	waited := time.Since(m.attemptAt)
	loop.telemetry.counts.ends[transport.ResultCancelled]++
	loop.telemetry.recorder.AttemptEnded(transport.ResultCancelled, waited)
	loop.telemetry.log.Info().Str("id", m.ID).Dur("waited_ms", waited).
		Msg("message taken out of its call before that was sent")
	if err := loop.wal.RecordAttemptEnd(m.MessageID, wal.AttemptUncounted); err != nil {
		loop.logWALError(err)
	}
	loop.calls.cancelled = append(loop.calls.cancelled, m)
}

// removeCancelled removes those messages that were taken out of their calls in this turn and have no further end to wait for.
func (loop *eventLoop) removeCancelled() {
	for _, m := range loop.calls.cancelled {
		loop.removeIfFinished(m)
	}
	clear(loop.calls.cancelled)
	loop.calls.cancelled = loop.calls.cancelled[:0]
}

// attemptEnd returns how an attempt has ended. counted is false if the scheduler does not count it.
func attemptEnd(code transport.ResultCode, counted bool) wal.AttemptEnd {
	switch {
	case code.MayHaveRun():
		return wal.AttemptMayHaveRun
	case !counted:
		return wal.AttemptUncounted
	}
	return wal.AttemptNotRun
}

// completeMessage records the final answer given by a message's last attempt, and sends it to a waiting caller.
func (loop *eventLoop) completeMessage(m *trackedMessage, outcome scheduler.Outcome) {
	loop.recordDone(m)
	final := transport.Failed
	if outcome == scheduler.Delivered {
		final = transport.Delivered
		loop.telemetry.counts.delivered++
	}
	loop.countFinalAnswer(m, final)
	if m.waitingCaller != nil && !m.withdrawn {
		m.waitingCaller.Complete(transport.FinalAnswer{MessageID: m.MessageID, ID: m.ID, Outcome: final})
	}
}
