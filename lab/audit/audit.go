// Package audit checks whether forwarders keep the six rules. It uses the records of receivers and clients and never
// relies on reports of the forwarders themselves.
package audit

import (
	"fmt"
	"math"

	"spanflow/lab/receiver"
)

// Message is a client's record of one message.
type Message struct {
	ID             uint64
	FirstID        uint64 // ID of the first submission of the same effect; equals ID for the first submission itself
	IdempotencyKey uint64
	Key            uint64 // ordering key; 0 means none
	Type           int
	AtMostOnce     bool
	Keyed          bool // the message has an idempotency key
	Destination    int
	Forwarder      int // number of the forwarder that the message was submitted to
	SubmittedAt    float64
	Expiry         float64
	Accepted       bool
	FinalAnswers   []FinalAnswer
}

// FinalAnswer is a final answer that a client received.
type FinalAnswer struct {
	At     float64
	Answer string // "delivered", "returned" (rejected) or "abandoned" (failed)
}

// arrival is one message of a call that a receiver received.
type arrival struct {
	at                    float64
	destination, endpoint int
	forwarder             int
	message               uint64
}

type endpointKey struct{ destination, endpoint int }

// retryAfterKey identifies the scope of a Retry-After. endpoint is anyEndpoint if the destination's endpoints share
// their limits.
type retryAfterKey struct{ destination, endpoint, forwarder int }

const anyEndpoint = -1

type retryAfter struct{ sentAt, until float64 }

// Log records one run for Violations to check. It implements receiver.Recorder and is not safe for concurrent use.
type Log struct {
	Clock receiver.Clock
	Slack Slack

	messages   map[uint64]*Message
	order      []*Message
	arrivals   []arrival
	executions []receiver.Execution
	violations []Violation

	drainingSince     map[endpointKey]float64
	retryAfters       map[retryAfterKey]retryAfter
	limitsPerEndpoint func(destination int) bool
	openAttempts      map[uint64]bool    // by message ID, as seen by the receiver
	unknownOutcomes   map[uint64]float64 // end of the latest attempt that may still be executing, by message ID
	keyCooldown       float64            // seconds
	unavailableUntil  map[int]float64    // end of the time during which a forwarder could not answer, by forwarder
}

// New returns an empty log. limitsPerEndpoint reports whether each endpoint of a destination has its own limits.
// keyCooldown is the time in seconds for which an ordering key is blocked after an attempt with an unknown outcome.
func New(clock receiver.Clock, limitsPerEndpoint func(destination int) bool, keyCooldown float64) *Log {
	return &Log{
		Clock:             clock,
		Slack:             DefaultSlack,
		messages:          map[uint64]*Message{},
		drainingSince:     map[endpointKey]float64{},
		retryAfters:       map[retryAfterKey]retryAfter{},
		limitsPerEndpoint: limitsPerEndpoint,
		openAttempts:      map[uint64]bool{},
		unknownOutcomes:   map[uint64]float64{},
		keyCooldown:       keyCooldown,
		unavailableUntil:  map[int]float64{},
	}
}

func (l *Log) report(rule Rule, message uint64, format string, v ...any) {
	l.violations = append(l.violations, Violation{Rule: rule, At: l.Clock.Now(), Message: message, Reason: fmt.Sprintf(format, v...)})
}

// Messages returns all messages of the run in the order of their submission. The log keeps ownership of them.
func (l *Log) Messages() []*Message { return l.order }

// MessageSubmitted records that a client submits a message. The log takes ownership of the message.
func (l *Log) MessageSubmitted(m *Message) {
	l.messages[m.ID] = m
	l.order = append(l.order, m)
}

// MessageAccepted records that a client received the answer that its message is accepted.
func (l *Log) MessageAccepted(id uint64) { l.messages[id].Accepted = true }

// FinalAnswer records that a client received a final answer: "delivered", "returned" or "abandoned". It reports a
// violation if the answer is late or not the first one.
func (l *Log) FinalAnswer(id uint64, answer string) {
	m := l.messages[id]
	m.FinalAnswers = append(m.FinalAnswers, FinalAnswer{l.Clock.Now(), answer})
	if len(m.FinalAnswers) > 1 {
		l.report(RuleOneAnswer, id, "a second final answer, %s after %s", answer, m.FinalAnswers[0].Answer)
	} else if now := l.Clock.Now(); now > l.answerDeadline(m) {
		l.report(RuleOneAnswer, id, "answered %.2f s after its expiry", now-m.Expiry)
	}
}

// Answered reports whether the client of a message has received a final answer.
func (l *Log) Answered(id uint64) bool { return len(l.messages[id].FinalAnswers) > 0 }

// Ended reports whether a message is over for its client: it has a final answer, or its time is up. An endpoint may take a call
// to be over with any of its messages, so that a later answer counts for none of them.
func (l *Log) Ended(id uint64) bool {
	m := l.messages[id]
	if m == nil {
		return false
	}
	return l.Answered(id) || l.Clock.Now() > math.Max(m.Expiry, l.unavailableUntil[m.Forwarder])+l.Slack.Expiry
}

// ForwarderStalled records that a stall or a restart keeps a forwarder from answering until the given time.
func (l *Log) ForwarderStalled(forwarder int, until float64) {
	l.unavailableUntil[forwarder] = math.Max(l.unavailableUntil[forwarder], until)
}

// ForwarderRestarted records that a forwarder's process was killed and may answer late until the given time. The
// forwarder no longer has to heed any Retry-After that it received before the restart.
func (l *Log) ForwarderRestarted(forwarder int, until float64) {
	l.ForwarderStalled(forwarder, until)
	for key := range l.retryAfters {
		if key.forwarder == forwarder {
			delete(l.retryAfters, key)
		}
	}
}

// answerDeadline returns the time by which the client must have received the final answer.
func (l *Log) answerDeadline(m *Message) float64 {
	return math.Max(m.Expiry, l.unavailableUntil[m.Forwarder]) + l.Slack.Answer
}

// EndpointDraining records that the endpoint list has informed forwarders that an endpoint drains or is removed.
func (l *Log) EndpointDraining(destination, endpoint int) {
	key := endpointKey{destination, endpoint}
	if _, known := l.drainingSince[key]; !known {
		l.drainingSince[key] = l.Clock.Now()
	}
}

// CallReceived records that an endpoint received a call, and reports a violation if the call should not have been sent.
func (l *Log) CallReceived(destination, endpoint, forwarder int, messages []receiver.Message) {
	now := l.Clock.Now()
	for _, m := range messages {
		l.arrivals = append(l.arrivals, arrival{now, destination, endpoint, forwarder, m.ID})
		if l.openAttempts[m.ID] {
			l.report(RuleNoDoubleEffect, m.ID, "an attempt began while another was in progress")
		}
		l.openAttempts[m.ID] = true
	}
	first := uint64(0)
	if len(messages) > 0 {
		first = messages[0].ID
	}
	wait, blocked := l.retryAfters[l.retryAfterKey(destination, endpoint, forwarder)]
	if blocked && now > wait.sentAt+l.Slack.Wait && now < wait.until-0.001 {
		l.report(RuleRetryAfterHeeded, first, "forwarder %d called destination %d %.2f s before the end of its Retry-After",
			forwarder, destination, wait.until-now)
	}
	since, draining := l.drainingSince[endpointKey{destination, endpoint}]
	if draining && now > since+l.Slack.Drain {
		l.report(RuleDrainObserved, first, "endpoint %d of destination %d was called %.2f s after it was listed as draining or removed",
			endpoint, destination, now-since)
	}
}

func (l *Log) retryAfterKey(destination, endpoint, forwarder int) retryAfterKey {
	if !l.limitsPerEndpoint(destination) {
		endpoint = anyEndpoint
	}
	return retryAfterKey{destination, endpoint, forwarder}
}

// AttemptClosed records that an attempt of a message was answered or that its connection ended. known is false if the
// message may still be executed.
func (l *Log) AttemptClosed(id uint64, known bool) {
	delete(l.openAttempts, id)
	if !known {
		l.unknownOutcomes[id] = l.Clock.Now()
	}
}

// MessageExecuted records that a receiver executed a message.
func (l *Log) MessageExecuted(e receiver.Execution) { l.executions = append(l.executions, e) }

// violationFraction is the threshold for a violation. The overload of an endpoint in slow start counts as one if at
// least this fraction of the calls came from forwarders that knew of the outage.
const violationFraction = 2.0 / 3

// EndpointOverloaded records that an endpoint failed because it received too many calls in its slow start. informed is
// the fraction of these calls that came from forwarders that had seen the outage.
func (l *Log) EndpointOverloaded(destination, _ int, informed float64) {
	if informed >= violationFraction {
		l.report(RuleRecoveryNotOverloaded, 0,
			"destination %d was overloaded in its slow start, with %.0f%% of the calls from forwarders that knew of the outage", destination, 100*informed)
	}
}

// RetryAfterSent records that an endpoint answered a forwarder with a Retry-After, in seconds.
func (l *Log) RetryAfterSent(destination, endpoint, forwarder int, seconds float64) {
	now := l.Clock.Now()
	l.retryAfters[l.retryAfterKey(destination, endpoint, forwarder)] = retryAfter{now, now + seconds}
}

// EndpointRecovered does nothing, as no rule depends on the recovery of an endpoint.
func (l *Log) EndpointRecovered(int, int) {}
