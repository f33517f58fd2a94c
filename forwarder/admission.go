package forwarder

import (
	"time"

	"spanflow/internal/wal"
	"spanflow/scheduler"
	"spanflow/transport"
)

const (
	maxLoggedNameBytes = 64          // of an unknown option's name
	maxRetryAfterMs    = 9_999_999   // upper limit of the retry-after in a reply, in milliseconds
	firstListDelay     = time.Second // expected time from a start until the first list from discovery
	maxUnknownOptions  = 16          // limit on the unknown option names that are logged
)

// handleRequest answers a caller's request.
func (loop *eventLoop) handleRequest(r *request) {
	switch {
	case r.Ping && loop.operators.drainsClients: // a health check by PING fails, so that clients go elsewhere
		r.From.Answer(invalid("lameduck: this forwarder is being emptied"))
	case r.Ping:
		r.From.Answer(transport.Reply{Status: transport.StatusAlive})
	case r.Submission != nil:
		loop.handleSubmission(r)
	default:
		if loop.telemetry.mayLog("bad command") {
			loop.telemetry.log.Warn().Str("answer", r.Malformed).Msg("malformed command rejected")
		}
		r.From.Answer(transport.Reply{Status: transport.StatusMalformed, Reason: r.Malformed, Close: r.Close})
	}
}

// handleSubmission admits or refuses a submitted message and answers its caller.
func (loop *eventLoop) handleSubmission(r *request) {
	reply := loop.admit(r)
	loop.telemetry.recorder.SubmissionAnswered(r.from.frontend, reply.Status)
	if typ, known := loop.messages.types[r.Submission.Type]; known && reply.Status == transport.StatusOverloaded {
		loop.telemetry.figures.count(&loop.telemetry.figures.throttled, typ)
	}
	if reply.Status == transport.StatusAccepted {
		return
	}
	if loop.telemetry.mayLog("refused") {
		loop.logRefusal(r.Submission, reply)
	}
	r.From.Answer(reply)
}

// logRefusal logs the answer to a submission that was not accepted, and, if space was lacking, the figures that led to
// the refusal.
func (loop *eventLoop) logRefusal(s *transport.Submission, reply transport.Reply) {
	line := loop.telemetry.log.Info().Str("id", s.ID).Uint64("destination", s.Destination).
		Float64("left_s", s.SecondsLeft).Int("refused", loop.telemetry.counts.refused).
		Int("held", len(loop.messages.byNumber)).Int64("disk", loop.wal.Used())
	if reply.Reason != "" {
		line = line.Str("reason", reply.Reason)
	}
	line.Int("retry_after_ms", reply.RetryAfter).Msg("submission refused")
}

// admit accepts a message and answers its caller if the scheduler has capacity for it. If the returned reply is not
// StatusAccepted, the caller has not been answered yet.
func (loop *eventLoop) admit(r *request) transport.Reply {
	submission := r.Submission
	typ, known := loop.messages.types[submission.Type]
	if !known {
		return invalid("unknown type of document")
	}
	if reply, ok := loop.checkSubmission(submission, typ); !ok {
		return reply
	}
	if r.From.Disconnected() { // nobody reads the answer, so the message must not be accepted
		return transport.Reply{Status: transport.StatusOverloaded}
	}
	entry := loop.newEntry(r)
	secondsLeft := submission.SecondsLeft - time.Since(submission.ReceivedAt).Seconds()
	loop.logUnknownOption(submission.UnknownOption)
	if reply, done := loop.admitToBacklog(r, entry, secondsLeft); done {
		return reply
	}
	if admitted, retryAfter := loop.scheduler.Admit(entry.Size(), secondsLeft); !admitted {
		loop.telemetry.counts.refused++
		return overloaded(retryAfter)
	}
	if err := loop.wal.Append(entry); err != nil {
		loop.logWALError(err)
		return transport.Reply{Status: transport.StatusOverloaded}
	}
	loop.accept(r, entry, typ, secondsLeft)
	return transport.Reply{Status: transport.StatusAccepted}
}

// checkSubmission validates a submission. If ok is false, reply is the answer to its caller.
func (loop *eventLoop) checkSubmission(s *transport.Submission, typ int) (reply transport.Reply, ok bool) {
	_, listed := loop.endpoints.destinations[s.Destination]
	switch {
	case loop.messages.byID[s.ID] != nil || loop.messages.recentIDs.has(s.ID) || loop.backlog.hasID(s.ID):
		return invalid("a document with this id was taken on"), false
	case loop.config.Scheduler.Types[typ].Idempotency == scheduler.IdempotentWithKey && s.IdempotencyKey == "":
		return invalid("k is missing, by which a repeat is known"), false
	case !listed && loop.discovery.listReceived:
		return invalid("unknown destination"), false
	case !listed: // the last known list may be outdated
		return overloaded(min(firstListDelay.Seconds(), loop.config.Scheduler.MaxRetryAfter)), false
	}
	return transport.Reply{}, true
}

// invalid returns the reply to a request that can never be accepted.
func invalid(why string) transport.Reply {
	return transport.Reply{Status: transport.StatusInvalid, Reason: why}
}

// overloaded returns the reply to a message that may be submitted again after retryAfter seconds.
func overloaded(retryAfter float64) transport.Reply {
	return transport.Reply{Status: transport.StatusOverloaded, RetryAfter: min(int(retryAfter*1000), maxRetryAfterMs)}
}

// newEntry returns the write-ahead log entry for a submission.
func (loop *eventLoop) newEntry(r *request) *wal.Entry {
	submission := r.Submission
	_, callerWaits := r.From.(transport.WaitingCaller)
	return &wal.Entry{
		Key:            submission.Key,
		Destination:    submission.Destination,
		Tenant:         index(loop.config.Names.Tenants, submission.Tenant),
		Type:           submission.Type,
		ID:             submission.ID,
		IdempotencyKey: submission.IdempotencyKey,
		Body:           submission.Body,
		Expiry:         submission.ReceivedAt.UnixMicro() + micros(submission.SecondsLeft),
		Frontend:       r.from.walName,
		CallerWaits:    callerWaits,
	}
}

// logUnknownOption logs the name of an unknown option of a submission, once for each name.
func (loop *eventLoop) logUnknownOption(name string) {
	name = name[:min(len(name), maxLoggedNameBytes)]
	logged := loop.messages.unknownOptions
	if name != "" && !logged[name] && len(logged) < maxUnknownOptions {
		logged[name] = true
		loop.telemetry.log.Warn().Str("name", name).Msg("unknown submission option ignored")
	}
}

// accept passes a message that is in the write-ahead log to the scheduler, and answers its caller.
func (loop *eventLoop) accept(r *request, entry *wal.Entry, typ int, secondsLeft float64) {
	submission := r.Submission
	m := loop.track(entry, typ)
	m.waitingCaller, _ = r.From.(transport.WaitingCaller)
	m.receivedAt = submission.ReceivedAt
	m.scheduled.AnsweredByNotice = m.scheduled.AnsweredByNotice && m.waitingCaller == nil
	loop.scheduler.Accept(m.scheduled, typ, secondsLeft)
	loop.addToLane(m)
	if r.Connection != 0 {
		m.connection, m.repliedAt = connectionReset{r.from, r.Connection}, time.Now()
	}
	if !r.From.Answer(transport.Reply{Status: transport.StatusAccepted}) {
		// The caller has disconnected and will submit the message again under another id.
		loop.scheduler.Withdraw(m.scheduled)
		loop.recordDone(m)
		loop.removeIfFinished(m)
		return
	}
	if m.traced {
		loop.telemetry.log.Info().Str("id", m.ID).Uint64("destination", submission.Destination).
			Str("type", submission.Type).Float64("left_s", secondsLeft).Msg("trace: accepted")
	}
	loop.telemetry.counts.accepted++
}
