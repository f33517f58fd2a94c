package scheduler

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEachRetryAfterOfACallIsHeeded(t *testing.T) {
	h := start(terms)
	d := h.receiver(1, 0, 0)
	a, b := h.take(d, status, 0), h.take(d, status, 0)
	h.settle()
	require.Len(t, h.sent, 2)
	require.Equal(t, 1, h.out)
	h.ends(a, Overloaded, 0.2)
	h.ends(b, Overloaded, 1)
	h.pass(0.98)
	require.Len(t, h.sent, 2)
	h.pass(2)
	require.Greater(t, len(h.sent), 2)
}

func TestWaitBindsOnlyTheRouteWhereRoutesAreApart(t *testing.T) {
	h := start(terms)
	d := h.receiver(2, 0, 0)
	doc := h.take(d, status, 0)
	h.settle()
	h.ends(doc, Overloaded, 5)
	h.pass(0.1)
	require.Len(t, h.sent, 2)
	require.NotEqual(t, h.sent[0].target, h.sent[1].target)
}

func TestRefusalAfterALongRunOfCallsLeavesNoDebt(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	for range 60 {
		h.take(d, status, 0)
		h.settle()
		h.answers(d, Delivered)
		h.pass(0.1)
	}
	doc := h.take(d, status, 0)
	h.settle()
	h.ends(doc, Overloaded, 0)
	h.pass(1.5)
	require.Equal(t, doc, h.sent[len(h.sent)-1].doc)
	require.Equal(t, 2, doc.sent)
}

func TestRefusedAgainASecondLaterRests(t *testing.T) {
	many := terms
	many.Forwarders = 100
	h := start(many)
	d := h.receiver(0, 0)
	doc := h.take(d, status, 0)
	h.settle()
	h.ends(doc, Overloaded, 0)
	h.pass(9)
	require.Equal(t, 2, doc.sent)
	h.ends(doc, Overloaded, 0)
	h.pass(4)
	require.Equal(t, 2, doc.sent)
}

func TestRefusedTogetherDoNotReturnTogether(t *testing.T) {
	var waits []float64
	for seed := range uint64(8) {
		h := start(terms)
		h.dice = newChance(seed)
		doc := h.take(h.receiver(0, 0), status, 0)
		h.settle()
		h.ends(doc, Overloaded, 0)
		for doc.sent < 2 {
			h.pass(0.02)
		}
		waits = append(waits, h.now-100)
	}
	require.Greater(t, slices.Max(waits), slices.Min(waits)+1)
}

func TestTwoRefusalsWhereThereIsNoLimitAreARest(t *testing.T) {
	h := start(terms)
	d := h.receiver(0, 0)
	for range 30 { // few calls: one a second
		h.take(d, status, 0)
		h.pass(1)
		h.answers(d, Delivered)
	}
	n := len(h.sent)
	h.flood(d, status, 2)
	for range 100 { // its queue is full while it hangs
		h.pass(0.02)
		for _, s := range h.sent[n:] {
			if s.doc.call != nil {
				h.AttemptEnded(s.doc, AttemptResult{Outcome: Overloaded, Latency: 0.02, ReportedLimit: -1, ReportedShare: -1})
			}
		}
	}
	require.LessOrEqual(t, len(h.sent)-n, 4, "not at 0.1, 0.3, 0.7 and 1.5 s too")
}

func TestManyWithFewCallsDoNotAskAgainSoon(t *testing.T) {
	asked := 0
	for seed := range uint64(60) { // each has one message more than the destination takes just then
		h := &fake{now: 100, done: map[*Message]string{}, back: map[*Message]float64{}}
		h.Scheduler = New(terms, seed, h.now, h)
		d := h.receiver(0, 0)
		h.take(d, status, 0)
		h.settle()
		h.answers(d, Overloaded)
		for range 25 {
			h.pass(0.2)
			h.answers(d, Overloaded)
		}
		asked += len(h.sent) - 1
	}
	require.Less(t, asked, 60, "five seconds in which a limit could have served others")
	require.Positive(t, asked)
}
