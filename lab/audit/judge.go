package audit

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Violations checks the run after its end and returns the violations in order of time. It must be called only once.
func (l *Log) Violations() []Violation {
	now := l.Clock.Now()
	for _, m := range l.order {
		if m.Accepted && len(m.FinalAnswers) == 0 && now > l.answerDeadline(m) {
			l.report(RuleOneAnswer, m.ID, "accepted and never answered")
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

// checkEffects reports effects that took place twice.
func (l *Log) checkEffects() {
	effects := map[uint64]int{}
	for _, e := range l.executions {
		m := l.messages[e.Message.ID]
		if m == nil || !e.Effect || !m.AtMostOnce && !m.Keyed {
			continue
		}
		if effects[m.FirstID]++; effects[m.FirstID] == 2 {
			l.violations = append(l.violations,
				Violation{Rule: RuleNoDoubleEffect, At: e.EndedAt, Message: m.ID, Reason: "its effect took place twice"})
		}
	}
}

// orderTolerance is the number of seconds by which a message may arrive early, to allow for rounding errors.
const orderTolerance = 1e-9

// checkKeyOrder reports messages of an ordering key that were sent while an earlier message still blocked the key. A
// message blocks its key until its final answer and, if one of its attempts ended with an unknown outcome (a time-out,
// a reset, a malformed answer or a broken connection), until the key's cooldown after that attempt has passed. A
// forwarder cannot control what such an attempt does afterwards, as the operators' page states ("the attempt may still
// be executing; later requests for that key shall therefore wait a further KeyCooldown").
func (l *Log) checkKeyOrder() {
	byKey := map[uint64][]*Message{}
	var keys []uint64
	for _, m := range l.order {
		if m.Key != 0 && m.Accepted {
			if byKey[m.Key] == nil {
				keys = append(keys, m.Key)
			}
			byKey[m.Key] = append(byKey[m.Key], m)
		}
	}
	firstArrival := map[uint64]float64{}
	for _, a := range l.arrivals {
		if _, known := firstArrival[a.message]; !known {
			firstArrival[a.message] = a.at
		}
	}
	for _, key := range keys {
		l.checkOrderOf(byKey[key], firstArrival)
	}
}

// checkOrderOf checks the messages of one key. They must be in the order of their submission.
func (l *Log) checkOrderOf(messages []*Message, firstArrival map[uint64]float64) {
	keyBlockedUntil, blockingID := 0.0, uint64(0)
	for _, m := range messages {
		if at, sent := firstArrival[m.ID]; sent && at < keyBlockedUntil-orderTolerance {
			l.violations = append(l.violations, Violation{Rule: RuleKeyOrder, At: at, Message: m.ID,
				Reason: fmt.Sprintf("received %.3f s before message %x of the same key stopped blocking the key", keyBlockedUntil-at, blockingID)})
		}
		end := 0.0
		if len(m.FinalAnswers) > 0 {
			end = m.FinalAnswers[0].At
		}
		if at, unknown := l.unknownOutcomes[m.ID]; unknown {
			end = math.Max(end, at+l.keyCooldown)
		}
		if end > keyBlockedUntil {
			keyBlockedUntil, blockingID = end, m.ID
		}
	}
}

// history returns the recorded events of a message in order of time, or nil for an unknown id.
func (l *Log) history(id uint64) []string {
	m := l.messages[id]
	if m == nil {
		return nil
	}
	type line struct {
		at   float64
		text string
	}
	lines := []line{{m.SubmittedAt, fmt.Sprintf("submitted for destination %d, expiry %.3f, key %x", m.Destination, m.Expiry, m.Key)}}
	for _, a := range l.arrivals {
		if a.message == id {
			lines = append(lines, line{a.at, fmt.Sprintf("received at endpoint %d from forwarder %d", a.endpoint, a.forwarder)})
		}
	}
	for _, e := range l.executions {
		if e.Message.ID == id {
			lines = append(lines, line{e.EndedAt, fmt.Sprintf("execution at endpoint %d ended, started at %.3f, effect %v", e.Endpoint, e.StartedAt, e.Effect)})
		}
	}
	for _, f := range m.FinalAnswers {
		lines = append(lines, line{f.At, f.Answer})
	}
	slices.SortStableFunc(lines, func(a, b line) int { return cmp.Compare(a.at, b.at) })
	texts := make([]string, len(lines))
	for i, l := range lines {
		texts[i] = fmt.Sprintf("%.3f %s", l.at, l.text)
	}
	return texts
}
