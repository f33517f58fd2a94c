// Package audit judges the six rules by what receivers and clients recorded, never by what a forwarder says.
package audit

import (
	"fmt"
	"math"

	"spanflow/lab/receiver"
)

// Message is what a client knows of one message.
type Message struct {
	ID             uint64
	FirstID        uint64 // of the first submission of the same effect; its own id if it is the first
	IdempotencyKey uint64
	Key            uint64 // ordering key; 0: it has none
	Type           int
	AtMostOnce     bool
	Keyed          bool // it has an idempotency key
	Destination    int
	Forwarder      int // that it was submitted to
	SubmittedAt    float64
	Expiry         float64
	Accepted       bool
	FinalAnswers   []FinalAnswer
}

// FinalAnswer is an answer that a client got.
type FinalAnswer struct {
	At     float64
	Answer string // delivered, returned, abandoned
}

// arrival is one message of a call that a receiver got.
type arrival struct {
	at                    float64
	destination, endpoint int
	forwarder             int
	message               uint64
}

type endpointKey struct{ destination, endpoint int }

// retryAfterKey names what a retry-after applies to; endpoint is anyEndpoint where a destination's endpoints share
// their limits.
type retryAfterKey struct{ destination, endpoint, forwarder int }

const anyEndpoint = -1

type retryAfter struct{ sentAt, until float64 }

// Log is the record of one run, which Violations judges. It is a receiver.Recorder. It is not safe for concurrent use.
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
	openAttempts      map[uint64]bool    // by message, as the receiver's side of the network sees them
	unknownOutcomes   map[uint64]float64 // by message: when an attempt last ended that may still be executed
	keyCooldown       float64
	unavailableUntil  map[int]float64 // by forwarder: until when it could not answer
}

// New makes the log of a run. limitsPerEndpoint tells which destinations have limits of their own at each endpoint;
// keyCooldown is how many seconds an ordering key waits after an attempt of unknown outcome.
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

// Messages are all messages of the run in the order of their submission. The log owns them.
func (l *Log) Messages() []*Message { return l.order }

// MessageSubmitted says that a client submits a message. The log owns it from here on.
func (l *Log) MessageSubmitted(m *Message) {
	l.messages[m.ID] = m
	l.order = append(l.order, m)
}

// MessageAccepted says that a client got the answer that its message is accepted.
func (l *Log) MessageAccepted(id uint64) { l.messages[id].Accepted = true }

// FinalAnswer says that a client got a final answer: delivered, returned or abandoned.
func (l *Log) FinalAnswer(id uint64, answer string) {
	m := l.messages[id]
	m.FinalAnswers = append(m.FinalAnswers, FinalAnswer{l.Clock.Now(), answer})
	if len(m.FinalAnswers) > 1 {
		l.report(RuleOneAnswer, id, "a second final answer, %s after %s", answer, m.FinalAnswers[0].Answer)
	} else if now := l.Clock.Now(); now > l.answerDeadline(m) {
		l.report(RuleOneAnswer, id, "answered %.2f s after its expiry", now-m.Expiry)
	}
}

// Answered tells whether a client got a final answer.
func (l *Log) Answered(id uint64) bool { return len(l.messages[id].FinalAnswers) > 0 }

// ForwarderStalled says that a forwarder was kept from answering, by a stall or a restart, until a moment.
func (l *Log) ForwarderStalled(forwarder int, until float64) {
	l.unavailableUntil[forwarder] = math.Max(l.unavailableUntil[forwarder], until)
}

// ForwarderRestarted says that a forwarder's process was killed and may be late until a moment. A restart ends the
// retry-afters that it was sent.
func (l *Log) ForwarderRestarted(forwarder int, until float64) {
	l.ForwarderStalled(forwarder, until)
	for key := range l.retryAfters {
		if key.forwarder == forwarder {
			delete(l.retryAfters, key)
		}
	}
}

// answerDeadline is the moment by which a message has to have its final answer.
func (l *Log) answerDeadline(m *Message) float64 {
	return math.Max(m.Expiry, l.unavailableUntil[m.Forwarder]) + l.Slack.Answer
}

// EndpointDraining says that the endpoint list has informed forwarders that an endpoint drains or leaves.
func (l *Log) EndpointDraining(destination, endpoint int) {
	key := endpointKey{destination, endpoint}
	if _, known := l.drainingSince[key]; !known {
		l.drainingSince[key] = l.Clock.Now()
	}
}

// CallReceived says that an endpoint got a call, and judges whether it may have been sent.
func (l *Log) CallReceived(destination, endpoint, forwarder int, messages []receiver.Message) {
	now := l.Clock.Now()
	for _, m := range messages {
		l.arrivals = append(l.arrivals, arrival{now, destination, endpoint, forwarder, m.ID})
		if l.openAttempts[m.ID] {
			l.report(RuleNoDoubleEffect, m.ID, "a transmission began while one was out")
		}
		l.openAttempts[m.ID] = true
	}
	first := uint64(0)
	if len(messages) > 0 {
		first = messages[0].ID
	}
	wait, blocked := l.retryAfters[l.retryAfterKey(destination, endpoint, forwarder)]
	if blocked && now > wait.sentAt+l.Slack.Wait && now < wait.until-0.001 {
		l.report(RuleRetryAfterHeeded, first, "forwarder %d called destination %d %.2f s before the wait it was told was over",
			forwarder, destination, wait.until-now)
	}
	since, draining := l.drainingSince[endpointKey{destination, endpoint}]
	if draining && now > since+l.Slack.Drain {
		l.report(RuleDrainObserved, first, "target %d of destination %d was called %.2f s after it was told to be leaving",
			endpoint, destination, now-since)
	}
}

func (l *Log) retryAfterKey(destination, endpoint, forwarder int) retryAfterKey {
	if !l.limitsPerEndpoint(destination) {
		endpoint = anyEndpoint
	}
	return retryAfterKey{destination, endpoint, forwarder}
}

// AttemptClosed says that an attempt of a message is over: answered, or its connection has ended. known tells that its
// answer says what became of it; else it may still be executed.
func (l *Log) AttemptClosed(id uint64, known bool) {
	delete(l.openAttempts, id)
	if !known {
		l.unknownOutcomes[id] = l.Clock.Now()
	}
}

// MessageExecuted says that a receiver executed a message.
func (l *Log) MessageExecuted(e receiver.Execution) { l.executions = append(l.executions, e) }

// maxInformedFraction is the fraction of calls by forwarders that knew of an outage from which on they are to blame for
// an endpoint that was overloaded in its slow start.
const maxInformedFraction = 2.0 / 3

// EndpointOverloaded says that calls in its slow start made an endpoint fail; informed is the fraction of them that
// came from forwarders which had seen the outage.
func (l *Log) EndpointOverloaded(destination, _ int, informed float64) {
	if informed >= maxInformedFraction {
		l.report(RuleRecoveryNotOverloaded, 0,
			"destination %d fell over on its return, %.0f%% of it sent by forwarders that knew of the outage", destination, 100*informed)
	}
}

// RetryAfterSent says that an endpoint answered a forwarder to wait for so many seconds.
func (l *Log) RetryAfterSent(destination, endpoint, forwarder int, seconds float64) {
	now := l.Clock.Now()
	l.retryAfters[l.retryAfterKey(destination, endpoint, forwarder)] = retryAfter{now, now + seconds}
}

// EndpointRecovered says that an endpoint answers again; no rule needs it.
func (l *Log) EndpointRecovered(int, int) {}
