package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEveryMessageGetsOneAnswerBeforeExpiry(t *testing.T) {
	h := start(terms)
	nowhere := h.NewDestination(1)
	doc := h.take(nowhere, ticket, 5)
	h.pass(22)
	require.Empty(t, h.done)
	h.pass(4)
	require.Equal(t, map[*Message]string{doc: "rejected"}, h.done)
	require.Positive(t, h.back[doc])
	require.Empty(t, h.sent)
}

func TestExpiryIsKeptThoughTheCallNeverEnds(t *testing.T) {
	h := start(terms)
	doc := h.take(h.receiver(0, 0), payment, 0)
	h.pass(20.5)
	require.Equal(t, "abandoned", h.done[doc])
	h.ends(doc, TimedOut, 0)
	require.True(t, doc.Finished())
}

// A long line in which each message is sent just too late would make a good endpoint look sick.
func TestAMessageThatCallsMostlyOutlastIsAnsweredNotSent(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	for range 50 {
		h.AttemptEnded(h.out1(d), AttemptResult{Outcome: Delivered, Final: true, Latency: 1})
	}
	d.targets[0].standing = Draining
	late := h.take(d, status, 0)
	h.pass(19.2) // of 20
	d.targets[0].standing = Ready
	sent := len(h.sent)
	h.pass(0.1)
	require.Len(t, h.sent, sent)
	require.Equal(t, "rejected", h.done[late])
	fresh := &Message{Dest: d}
	h.Accept(fresh, status, 0.5)
	h.settle()
	require.Equal(t, fresh, h.sent[sent].doc, "handed in with little time, it is tried at once")
}

func TestWhatIsClosedBeyondItsExpiryIsAnsweredAtOnce(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	first, long := h.take(d, status, 0), h.take(d, status, 0)
	short := &Message{Dest: d, Tenant: 9}
	h.Accept(short, status, 4)
	h.settle()
	h.ends(first, Overloaded, 9)
	h.settle()
	h.ends(long, Overloaded, 0)
	h.ends(short, Overloaded, 0)
	h.settle()
	require.Equal(t, "rejected", h.done[short], "there is no way left before its end")
	require.Empty(t, h.done[long])
}
