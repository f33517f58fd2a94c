package forwarder

import (
	"time"

	"spanflow/internal/wal"
)

// answerRetryInterval is the time between two tries to record final answers that the write-ahead log has refused.
const answerRetryInterval = 50 * time.Millisecond

// givenAnswer is the scheduler's final answer for a message that was not delivered.
type givenAnswer struct {
	message    *trackedMessage
	answer     wal.Answer
	retryAfter int // milliseconds
}

// unrecordedAnswers holds final answers that could not be recorded, for example on a full disk, and are not sent yet. If the
// process were killed after it had sent one, its successor would take the message for unanswered and send it.
type unrecordedAnswers struct {
	answers []givenAnswer
	retryAt time.Time // zero if there are none
}

// recordAnswer records a final answer, and reports whether it may be sent: it is recorded, or a successor would not send the
// message any more.
func (loop *eventLoop) recordAnswer(given givenAnswer, now time.Time) bool {
	m := given.message
	err := loop.wal.RecordAnswer(m.MessageID, given.answer, given.retryAfter)
	if err != nil {
		loop.logWALError(err)
	}
	return err == nil || !now.Before(loop.timeOf(m.scheduled.LatestStart()))
}

// deferAnswer keeps a final answer until it can be recorded.
func (loop *eventLoop) deferAnswer(given givenAnswer) {
	unrecorded := &loop.notices.unrecorded
	unrecorded.answers = append(unrecorded.answers, given)
	if unrecorded.retryAt.IsZero() {
		unrecorded.retryAt = time.Now().Add(answerRetryInterval)
	}
}

// retryAnswers tries again to record the final answers that could not be recorded, and sends those that are recorded or due.
func (loop *eventLoop) retryAnswers(now time.Time) {
	unrecorded := &loop.notices.unrecorded
	if unrecorded.retryAt.IsZero() || now.Before(unrecorded.retryAt) {
		return
	}
	answers := unrecorded.answers
	*unrecorded = unrecordedAnswers{}
	for _, given := range answers {
		if loop.recordAnswer(given, now) {
			loop.sendGivenAnswer(given)
		} else {
			loop.deferAnswer(given)
		}
	}
}
