package forwarder

import (
	"time"

	"spanflow/internal/wal"
	"spanflow/transport"
)

// noticeState holds the receiver of final answers that no caller waits for.
type noticeState struct {
	notifier       transport.Notifier       // if nil, final answers are only logged
	reconfigurable transport.Reconfigurable // the notifier, if its address is configured separately
	unrecorded     unrecordedAnswers
}

// giveFinalAnswer records the final answer of a message that was not delivered, and sends it. retryAfter is in
// milliseconds, 0 if there is none.
func (loop *eventLoop) giveFinalAnswer(m *trackedMessage, answer wal.Answer, retryAfter int) {
	given := givenAnswer{m, answer, retryAfter}
	if loop.recordAnswer(given, time.Now()) {
		loop.sendGivenAnswer(given)
	} else {
		loop.deferAnswer(given)
	}
}

// sendGivenAnswer sends the final answer of a message that was not delivered.
func (loop *eventLoop) sendGivenAnswer(given givenAnswer) {
	m, outcome := given.message, transport.Failed
	if given.answer == wal.Rejected {
		outcome = transport.Rejected
	}
	loop.logNotDelivered(m, outcome)
	loop.countFinalAnswer(m, outcome)
	loop.removeFromLane(m) // its notice may stay unacknowledged for long
	loop.sendFinalAnswer(m, outcome, given.retryAfter)
}

// logNotDelivered logs the final answer of a message that was not delivered, and whether it is in a call that goes on.
func (loop *eventLoop) logNotDelivered(m *trackedMessage, outcome transport.Outcome) {
	line := loop.telemetry.log.Info().Str("id", m.ID).Stringer("outcome", outcome).
		Stringer("reason", m.scheduled.AnswerReason())
	if m.scheduled.InCall() {
		loop.telemetry.counts.endedInCall++
		line = line.Bool("in_call", true)
	}
	line.Msg("not delivered")
}

// sendFinalAnswer sends a final answer to the waiting caller or, if there is none, to the notifier. Without either it
// is only logged.
func (loop *eventLoop) sendFinalAnswer(m *trackedMessage, outcome transport.Outcome, retryAfter int) {
	answer := transport.FinalAnswer{MessageID: m.MessageID, ID: m.ID, Outcome: outcome, RetryAfterMs: retryAfter}
	if m.traced {
		loop.telemetry.log.Info().Str("id", m.ID).Stringer("outcome", outcome).Int("retry_after_ms", retryAfter).
			Msg("trace: final answer")
	}
	loop.clearUntried(m, false)
	switch {
	case m.waitingCaller != nil:
		m.waitingCaller.Complete(answer)
		loop.queue.NoticesAcknowledged([]uint64{m.MessageID})
	case loop.notices.notifier != nil:
		loop.notices.notifier.Notify(answer)
	default:
		loop.telemetry.log.Info().Str("id", m.ID).Stringer("outcome", outcome).Int("retry_after_ms", retryAfter).
			Msg("final answer has no receiver and is only logged")
		loop.queue.NoticesAcknowledged([]uint64{m.MessageID})
	}
}

// releaseAcknowledged removes messages whose notices were acknowledged.
func (loop *eventLoop) releaseAcknowledged(numbers noticesAcknowledged) {
	for _, number := range numbers {
		if m := loop.messages.byNumber[number]; m != nil {
			loop.telemetry.log.Debug().Str("id", m.ID).Msg("notice acknowledged")
			loop.recordDone(m)
			loop.scheduler.NoticeAcknowledged(m.scheduled)
			loop.removeIfFinished(m)
		}
	}
}

// logUnansweredNotices logs the reason why notices have to be sent again.
func (loop *eventLoop) logUnansweredNotices(reason string) {
	if loop.telemetry.mayLog("notices") {
		loop.telemetry.log.Warn().Str("reason", reason).Msg("notices not answered")
	}
}
