// Package audit judges the six rules from what receivers and clients wrote down, never from what a forwarder says.
package audit

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"spanflow/lab/receiver"
)

// Rule is one of the rules a forwarder keeps.
type Rule string

const (
	RuleOneAnswer             Rule = "1 one final answer" // for each message taken, before its expiry
	RuleNoDoubleEffect        Rule = "2 no effect twice"  // nor attempts that overlap
	RuleDrainObserved         Rule = "3 drains kept"
	RuleRecoveryNotOverloaded Rule = "4 returns not pushed over"
	RuleKeyOrder              Rule = "5 order per key"
	RuleRetryAfterHeeded      Rule = "6 waits heeded"
)

// Rules are all of them.
var Rules = []Rule{RuleOneAnswer, RuleNoDoubleEffect, RuleDrainObserved, RuleRecoveryNotOverloaded, RuleKeyOrder, RuleRetryAfterHeeded}

// Slack is what is let pass, in seconds.
type Slack struct {
	Answer float64 // after expiry
	Wait   float64 // a call that crosses the telling of a wait
	Drain  float64 // after the list told it
}

// DefaultSlack allows for the way of news and for a forwarder's own pace.
var DefaultSlack = Slack{Answer: 0.3, Wait: 0.1, Drain: 0.1}

// Violation is a rule broken, with the message's history.
type Violation struct {
	Rule    Rule     `json:"Rule"`
	At      float64  `json:"At"`
	Message uint64   `json:"Doc"`
	Reason  string   `json:"What"`
	History []string `json:"History"`
}

// Message is what a client knows of one message.
type Message struct {
	ID             uint64
	FirstID        uint64 // the first handing in of the same effect; its own id if it is the first
	IdempotencyKey uint64
	Key            uint64 // with order
	Type           int
	AtMostOnce     bool
	Keyed          bool
	Destination    int
	Forwarder      int // the forwarder that it was handed in at
	SubmittedAt    float64
	Expiry         float64
	Accepted       bool
	FinalAnswers   []FinalAnswer
	lost           bool // its forwarder was lost with what it owed
}

// FinalAnswer is an answer that a client heard.
type FinalAnswer struct {
	At     float64
	Answer string // delivered, returned, abandoned
}

type arrival struct {
	at                    float64
	destination, endpoint int
	forwarder             int
	message               uint64
}

// Log is what is written down on a day. It is a receiver.Recorder.
type Log struct {
	Clock             receiver.Clock
	Slack             Slack
	messages          map[uint64]*Message
	order             []*Message
	arrivals          []arrival
	executions        []receiver.Execution
	drainingSince     map[[2]int]float64    // endpoints that were told to be leaving, by when
	retryAfters       map[[3]int]retryAfter // by destination, endpoint or -1, forwarder
	limitsPerEndpoint func(dest int) bool
	violations        []Violation
	openAttempts      map[uint64]bool    // attempts that are out, as the receiver's side of the network sees them
	unknownOutcomes   map[uint64]float64 // when an attempt last ended of which nobody can tell whether it runs
	keyCooldown       float64
	unavailableUntil  map[int]float64 // forwarders that could not answer, until when
}

type retryAfter struct{ sentAt, until float64 }

// New begins a day. apart tells which destinations have routes apart; rest is the rest of a key.
func New(clock receiver.Clock, apart func(dest int) bool, rest float64) *Log {
	return &Log{Clock: clock, Slack: DefaultSlack, messages: map[uint64]*Message{}, drainingSince: map[[2]int]float64{}, retryAfters: map[[3]int]retryAfter{}, limitsPerEndpoint: apart,
		openAttempts: map[uint64]bool{}, unknownOutcomes: map[uint64]float64{}, keyCooldown: rest, unavailableUntil: map[int]float64{}}
}

func (l *Log) report(rule Rule, message uint64, format string, v ...any) {
	l.violations = append(l.violations, Violation{Rule: rule, At: l.Clock.Now(), Message: message, Reason: fmt.Sprintf(format, v...)})
}

// Submission says that a client hands a message in.
func (l *Log) MessageSubmitted(d *Message) {
	l.messages[d.ID] = d
	l.order = append(l.order, d)
}

// StatusAccepted says that a client heard that its message is taken on.
func (l *Log) MessageAccepted(id uint64) { l.messages[id].Accepted = true }

// FinalAnswer says that a client heard a final answer.
func (l *Log) FinalAnswer(id uint64, what string) {
	d := l.messages[id]
	d.FinalAnswers = append(d.FinalAnswers, FinalAnswer{l.Clock.Now(), what})
	if len(d.FinalAnswers) > 1 {
		l.report(RuleOneAnswer, id, "a second final answer, %s after %s", what, d.FinalAnswers[0].Answer)
	} else if now := l.Clock.Now(); now > l.answerDeadline(d) {
		l.report(RuleOneAnswer, id, "answered %.2f s after its expiry", now-d.Expiry)
	}
}

// Answered tells if a client heard a final answer.
func (l *Log) Answered(id uint64) bool { return len(l.messages[id].FinalAnswers) > 0 }

// ForwarderStalled says that a forwarder was kept from answering, by a standstill or a restart, until a moment.
func (l *Log) ForwarderStalled(forwarder int, until float64) {
	l.unavailableUntil[forwarder] = math.Max(l.unavailableUntil[forwarder], until)
}

// ForwarderRestarted says that a forwarder's process was killed and may be late until a moment. A restart ends the waits that it
// was told.
func (l *Log) ForwarderRestarted(forwarder int, until float64) {
	l.ForwarderStalled(forwarder, until)
	for k := range l.retryAfters {
		if k[2] == forwarder {
			delete(l.retryAfters, k)
		}
	}
}

// answerDeadline is until when a message has to have its answer.
func (l *Log) answerDeadline(d *Message) float64 {
	return math.Max(d.Expiry, l.unavailableUntil[d.Forwarder]) + l.Slack.Answer
}

// EndpointDraining says that the list has told a forwarder that an endpoint drains.
func (l *Log) EndpointDraining(dest, endpoint int) {
	if _, known := l.drainingSince[[2]int{dest, endpoint}]; !known {
		l.drainingSince[[2]int{dest, endpoint}] = l.Clock.Now()
	}
}

// Came, Ran, EndpointOverloaded, NoticeAcknowledged and RecordAttemptEnd make a log the receivers' record.

func (l *Log) CallReceived(dest, endpoint, from int, messages []receiver.Message) {
	now := l.Clock.Now()
	for _, d := range messages {
		l.arrivals = append(l.arrivals, arrival{now, dest, endpoint, from, d.ID})
		if l.openAttempts[d.ID] {
			l.report(RuleNoDoubleEffect, d.ID, "a transmission began while one was out")
		}
		l.openAttempts[d.ID] = true
	}
	at := endpoint
	if !l.limitsPerEndpoint(dest) {
		at = -1
	}
	first := uint64(0)
	if len(messages) > 0 {
		first = messages[0].ID
	}
	if w, reported := l.retryAfters[[3]int{dest, at, from}]; reported && now > w.sentAt+l.Slack.Wait && now < w.until-0.001 {
		l.report(RuleRetryAfterHeeded, first, "forwarder %d called destination %d %.2f s before the wait it was told was over", from, dest, w.until-now)
	}
	if reported, leaving := l.drainingSince[[2]int{dest, endpoint}]; leaving && now > reported+l.Slack.Drain {
		l.report(RuleDrainObserved, first, "target %d of destination %d was called %.2f s after it was told to be leaving", endpoint, dest, now-reported)
	}
}

// BlockedUntil says that an attempt of a message is out no more: answered, or its connection has ended. LastEndpoints
// tells that its answer says what became of it; else it may still run.
func (l *Log) AttemptClosed(id uint64, known bool) {
	delete(l.openAttempts, id)
	if !known {
		l.unknownOutcomes[id] = l.Clock.Now()
	}
}

func (l *Log) MessageExecuted(r receiver.Execution) { l.executions = append(l.executions, r) }

// maxInformedFraction is the share of what pushed a destination over from which on those are to blame who knew of its outage.
const maxInformedFraction = 2.0 / 3

func (l *Log) EndpointOverloaded(dest, endpoint int, informed float64) {
	if informed >= maxInformedFraction {
		l.report(RuleRecoveryNotOverloaded, 0, "destination %d fell over on its return, %.0f%% of it sent by forwarders that knew of the outage", dest, 100*informed)
	}
}

func (l *Log) RetryAfterSent(dest, endpoint, from int, seconds float64) {
	if !l.limitsPerEndpoint(dest) {
		endpoint = -1
	}
	now := l.Clock.Now()
	l.retryAfters[[3]int{dest, endpoint, from}] = retryAfter{now, now + seconds}
}

func (l *Log) EndpointRecovered(dest, endpoint int) {}

// MessageLost says that a forwarder was lost with all it owed: its messages are judged by their clients alone.
func (l *Log) MessageLost(id uint64) { l.messages[id].lost = true }

// Violations judges the day that has ended.
func (l *Log) Violations() []Violation {
	now := l.Clock.Now()
	for _, d := range l.order {
		if d.Accepted && len(d.FinalAnswers) == 0 && !d.lost && now > l.answerDeadline(d) {
			l.report(RuleOneAnswer, d.ID, "taken and never answered")
		}
	}
	l.checkEffects()
	l.checkKeyOrder()
	for i := range l.violations {
		l.violations[i].History = l.history(l.violations[i].Message)
	}
	slices.SortStableFunc(l.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return l.violations
}

// checkEffects finds effects that took place twice.
func (l *Log) checkEffects() {
	times := map[uint64]int{}
	for _, r := range l.executions {
		d := l.messages[r.Message.ID]
		if d == nil || !r.Effect || !d.AtMostOnce && !d.Keyed {
			continue
		}
		if times[d.FirstID]++; times[d.FirstID] == 2 {
			l.violations = append(l.violations, Violation{Rule: RuleNoDoubleEffect, At: r.EndedAt, Message: d.ID, Reason: "its effect took place twice"})
		}
	}
}

// checkKeyOrder finds messages of a key that were sent before an earlier one was over: it has its final answer, and since a
// attempt of it ended in a time-out, a reset or a cut, the key has rested. Reason such an attempt still does
// later is beyond a forwarder, as the operators' page has it ("the attempt may still be executing; later requests for
// that key shall therefore wait a further KeyCooldown").
func (l *Log) checkKeyOrder() {
	byKey := map[uint64][]*Message{}
	var keys []uint64
	for _, d := range l.order {
		if d.Key != 0 && d.Accepted {
			if byKey[d.Key] == nil {
				keys = append(keys, d.Key)
			}
			byKey[d.Key] = append(byKey[d.Key], d)
		}
	}
	first := map[uint64]float64{}
	for _, c := range l.arrivals {
		if _, known := first[c.message]; !known {
			first[c.message] = c.at
		}
	}
	for _, key := range keys {
		over, before := 0.0, uint64(0)
		for _, d := range byKey[key] {
			if at, sent := first[d.ID]; sent && at < over-1e-9 {
				l.violations = append(l.violations, Violation{Rule: RuleKeyOrder, At: at, Message: d.ID,
					Reason: fmt.Sprintf("came %.3f s before %x of the same key was over", over-at, before)})
			}
			end := 0.0
			if len(d.FinalAnswers) > 0 {
				end = d.FinalAnswers[0].At
			}
			if at, cut := l.unknownOutcomes[d.ID]; cut {
				end = math.Max(end, at+l.keyCooldown)
			}
			if end > over {
				over, before = end, d.ID
			}
		}
	}
}

// history is what is known of a message, in order of time.
func (l *Log) history(id uint64) []string {
	d := l.messages[id]
	if d == nil {
		return nil
	}
	type line struct {
		at   float64
		text string
	}
	lines := []line{{d.SubmittedAt, fmt.Sprintf("handed in for destination %d, expiry %.3f, key %x", d.Destination, d.Expiry, d.Key)}}
	for _, c := range l.arrivals {
		if c.message == id {
			lines = append(lines, line{c.at, fmt.Sprintf("came to target %d from forwarder %d", c.endpoint, c.forwarder)})
		}
	}
	for _, r := range l.executions {
		if r.Message.ID == id {
			lines = append(lines, line{r.EndedAt, fmt.Sprintf("ran at target %d from %.3f on, effect %v", r.Endpoint, r.StartedAt, r.Effect)})
		}
	}
	for _, f := range d.FinalAnswers {
		lines = append(lines, line{f.At, f.Answer})
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	out := make([]string, len(lines))
	for i, one := range lines {
		out[i] = fmt.Sprintf("%.3f %s", one.at, one.text)
	}
	return out
}

// Messages are all messages of the day in the order of their handing in.
func (l *Log) Messages() []*Message { return l.order }
