package forwarder

import (
	"spanflow/scheduler"
	"spanflow/transport"
)

// handleCallResult takes in the result of a call.
func (loop *eventLoop) handleCallResult(result *transport.CallResult) {
	for _, delivered := range [...]bool{true, false} { // delivered ones first: the scheduler judges a call by the first end
		for i := range result.Call.Messages {
			if (result.Codes[i] == transport.ResultOK) == delivered {
				loop.handleAttemptEnd(result.Call.Messages[i].MessageID, result.Codes[i], result)
			}
		}
	}
	if result.Reason != "" {
		loop.telemetry.log.Info().Str("target", result.Call.Address).Stringer("end", result.Codes[0]).
			Dur("took_ms", result.Latency).Str("why", result.Reason).Msg("call failed")
	}
}

// handleAttemptEnd takes in how the attempt of one message of a call ended.
func (loop *eventLoop) handleAttemptEnd(number uint64, code transport.ResultCode, result *transport.CallResult) {
	loop.telemetry.counts.ends[code]++
	loop.telemetry.recorder.AttemptEnded(code, result.Latency)
	m := loop.messages.byNumber[number]
	if m == nil {
		return
	}
	if m.traced {
		loop.telemetry.log.Info().Str("id", m.ID).Stringer("end", code).Dur("took_ms", result.Latency).
			Msg("trace: end of a transmission")
	}
	if code.Written() {
		loop.telemetry.figures.relayed++
	}
	outcome, final := code.Outcome()
	loop.scheduler.AttemptEnded(m.scheduled, scheduler.AttemptResult{
		Outcome:       outcome,
		Final:         final,
		Latency:       result.Latency.Seconds(),
		RetryAfter:    result.RetryAfter,
		ReportedLimit: result.ReportedLimit,
		ReportedShare: result.ReportedShare,
	})
	switch {
	case final && m.scheduled.AwaitingAcknowledgement(): // owed until that is heard, so it stays recorded
	case final:
		loop.completeMessage(m, outcome)
	default:
		if err := loop.wal.RecordAttemptEnd(number, code.MayHaveRun()); err != nil {
			loop.logWALError(err)
		}
	}
	loop.noteReachability(m.scheduled.Dest)
	loop.removeIfFinished(m)
}

// completeMessage records and tells the final answer of a message whose last attempt gave it.
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
