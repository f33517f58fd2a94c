package forwarder

import (
	"errors"
	"time"

	"spanflow/internal/backlog"
	"spanflow/internal/backlog/policy"
	"spanflow/internal/wal"
	"spanflow/transport"
)

// admitToBacklog stores or refuses a submitted message as the backlog policy decides. done is false if the message is
// to be queued in memory instead.
func (loop *eventLoop) admitToBacklog(
	r *request, e *wal.Entry, secondsLeft float64,
) (reply transport.Reply, done bool) {
	if loop.backlog == nil {
		return transport.Reply{}, false
	}
	now := time.Now()
	m := loop.storedMessage(e, r.Submission.ReceivedAt)
	decision := loop.placeSubmission(e, m, secondsLeft, now)
	switch decision.Place {
	case policy.Memory:
		return transport.Reply{}, false
	case policy.Refused:
		return loop.backlogRefusal(decision), true
	}
	loop.telemetry.counts.accepted++
	loop.backlog.counts.stored++
	if !r.From.Answer(transport.Reply{Status: transport.StatusAccepted}) {
		loop.discardStored(m) // the caller has disconnected and will submit it again under another id
	}
	return transport.Reply{Status: transport.StatusAccepted}, true
}

// placeSubmission decides whether a new message is queued in memory, stored or refused, and stores it if so decided.
func (loop *eventLoop) placeSubmission(
	e *wal.Entry, m *backlog.Message, secondsLeft float64, now time.Time,
) policy.Decision {
	decisions, size := loop.backlog.policy, int64(m.Size())
	if loop.keyInOtherLane(e) { // if placed in memory or in its own lane, it could be sent first
		return decisions.Refuse(policy.KeyBound, size, now)
	}
	fits, _ := loop.scheduler.Admit(e.Size(), secondsLeft)
	timeLeft := time.Duration(secondsLeft * float64(time.Second))
	decision := decisions.DecideWithDeadline(policyLane(m.Lane), size, timeLeft, fits, now)
	if decision.Place != policy.Store {
		return decision
	}
	if e.CallerWaits { // a waiting caller does not wait for hours
		return decisions.Refuse(policy.NoBound, size, now)
	}
	return loop.storeSubmission(m, now)
}

// storeSubmission stores a new message, or refuses it if it cannot be written.
func (loop *eventLoop) storeSubmission(m *backlog.Message, now time.Time) policy.Decision {
	m.Seq = loop.wal.NextSeq()
	if err := loop.backlog.store.Append(m); err != nil {
		if !errors.Is(err, backlog.ErrFull) {
			loop.logBacklogError(err)
		}
		return loop.backlog.policy.Refuse(policy.DiskBound, int64(m.Size()), now)
	}
	loop.backlog.policy.Stored(policyLane(m.Lane), 1, int64(m.Size()))
	loop.scheduler.CountDemand(loop.destination(m.Lane.Destination))
	return policy.Decision{Place: policy.Store}
}

// discardStored removes a stored message whose caller does not know that it was accepted.
func (loop *eventLoop) discardStored(m *backlog.Message) {
	if err := loop.backlog.store.Release([]backlog.Ref{m.Ref()}); err != nil {
		loop.logBacklogError(err) // it will be sent although its caller submits it again under another id
		return
	}
	loop.backlog.policy.Discarded(policyLane(m.Lane), int64(m.Size()))
}

// backlogRefusal counts and logs a refusal by the policy, and returns the reply to the caller.
func (loop *eventLoop) backlogRefusal(decision policy.Decision) transport.Reply {
	loop.telemetry.counts.refused++
	loop.backlog.counts.refused++
	if loop.telemetry.mayLog("backlog refused") {
		messages, bytes := loop.backlog.policy.StoredAmount()
		loop.telemetry.log.Warn().Stringer("bound", decision.Bound).Int("messages", messages).Int64("bytes", bytes).
			Msg("submission refused by the backlog")
	}
	return overloaded(min(decision.RetryAfter.Seconds(), loop.config.Scheduler.MaxRetryAfter))
}
