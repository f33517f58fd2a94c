package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	shortTime = 1.0 // seconds until the deadline of the message that ends first
	longTime  = 15.0
)

// joinedPair is a call with two messages, of which the first has less time.
type joinedPair struct {
	*harness
	short, long *Message
}

// newJoinedPair begins the call. The second message has the given type.
func newJoinedPair(t *testing.T, messageType int) joinedPair {
	h := newHarness(testSettings)
	d := h.addDestination(1, 0)
	p := joinedPair{h, &Message{ID: 1, Dest: d, AnsweredByNotice: true}, &Message{ID: 2, Dest: d, Key: 5, AnsweredByNotice: true}}
	h.Accept(p.short, status, shortTime)
	h.Accept(p.long, messageType, longTime)
	h.reconcile()
	require.Len(t, h.calls(), 1, "they are joined")
	return p
}

// answer ends the attempts of both messages with a final result, and carries out what follows.
func (p joinedPair) answer(outcome Outcome) {
	for _, message := range []*Message{p.short, p.long} {
		p.AttemptEnded(message, AttemptResult{Outcome: outcome, Final: true, Latency: 0.1})
	}
	p.reconcile()
}

// Guards against a message that is taken for delivered by an answer that came after another message of its call had ended
// (report 8af0d7).
func TestAnswerBehindEndOfAnotherMessageIsInDoubt(t *testing.T) {
	const wait = shortTime + 2*deadlineGrace
	for _, c := range []struct {
		name        string
		messageType int
		outcome     Outcome
		wait        float64
		want        string // the answer to the message with more time; empty if it counts as delivered
	}{
		{"at most once", payment, Delivered, wait, "abandoned"},
		{"idempotent", status, Delivered, wait, "rejected"},
		{"known by its key", ticket, Delivered, wait, "rejected"},
		{"known in one zone by its key", zoned, Delivered, wait, "abandoned"},
		{"never ran", payment, NotSent, wait, "rejected"},
		{"within the margin of clocks", status, Delivered, shortTime - noticeMargin/2, "rejected"},
		{"in time", status, Delivered, shortTime - 2*noticeMargin, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newJoinedPair(t, c.messageType)
			p.advance(c.wait)
			p.answer(c.outcome)
			require.Equal(t, c.want, p.answers[p.long])
			require.True(t, p.long.answered, "it is not sent again")
			require.Equal(t, c.want != "", p.long.reason == AnswerInDoubt)
		})
	}
}

// A message that is sent in order is followed by the next one of its key once its notice is acknowledged.
func TestKeyWaitsForNoticeOfMessageInDoubt(t *testing.T) {
	settings := testSettings
	settings.AwaitAcknowledgement = true
	h := newHarness(settings)
	d := h.addDestination(1, 0)
	short, first := &Message{ID: 1, Dest: d, AnsweredByNotice: true}, &Message{ID: 2, Dest: d, Key: 5, AnsweredByNotice: true}
	h.Accept(short, status, shortTime)
	h.Accept(first, ticket, longTime)
	next := h.accept(d, ticket, 5)
	h.advance(shortTime + 2*deadlineGrace)
	p := joinedPair{h, short, first}
	p.answer(Delivered)
	h.advance(1)
	require.Nil(t, next.call)
	h.NoticeAcknowledged(first)
	h.advance(1)
	require.NotNil(t, next.call)
}

func TestAnswerBehindDepartureOfAnotherClientIsInDoubt(t *testing.T) {
	p := newJoinedPair(t, ticket)
	p.ClientReset(p.short, clientPatience/2)
	p.advance(0.1)
	p.answer(Delivered)
	require.Equal(t, "rejected", p.answers[p.long])
	require.Empty(t, p.answers[p.short], "its own answer is not in doubt")
}

func TestAnswerBehindWithdrawalOfAnotherMessageIsInDoubt(t *testing.T) {
	p := newJoinedPair(t, payment)
	p.Withdraw(p.short)
	p.advance(0.1)
	p.answer(Delivered)
	require.Equal(t, "abandoned", p.answers[p.long])
}

// A message whose idempotency key may be forgotten must not be submitted again.
func TestMessageInDoubtFailsBehindItsDeduplicationWindow(t *testing.T) {
	p := newJoinedPair(t, ticket)
	messageType := *p.long.messageType
	messageType.DeduplicationWindow = shortTime / 2
	p.long.messageType = &messageType
	p.advance(shortTime + 2*deadlineGrace)
	p.answer(Delivered)
	require.Equal(t, "abandoned", p.answers[p.long])
}

// A message that was taken out of its call before the first byte is unknown to the endpoint.
func TestMessageTakenOutOfItsCallCastsNoDoubt(t *testing.T) {
	p := newJoinedPair(t, payment)
	p.unsent = map[*Message]bool{p.short: true}
	p.advance(shortTime + 2*deadlineGrace)
	require.Equal(t, []*Message{p.short}, p.withdrawn)
	p.AttemptEnded(p.long, AttemptResult{Outcome: Delivered, Final: true, Latency: 0.1})
	p.reconcile()
	require.Empty(t, p.answers[p.long])
}

// A caller that waits for the final answer is told what the endpoint has answered.
func TestAnswerToWaitingCallerIsNotInDoubt(t *testing.T) {
	p := newJoinedPair(t, payment)
	p.long.AnsweredByNotice = false
	p.advance(shortTime + 2*deadlineGrace)
	p.answer(Delivered)
	require.Empty(t, p.answers[p.long])
	require.True(t, p.long.Finished())
}
