package scheduler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Stories of what sockets add: the room at the door, restarts, stops, answers that must be heard.

func onSockets() Settings {
	t := terms
	t.MaxStoredBytes, t.AwaitAcknowledgement = 1000, true
	return t
}

func admits(h *fake, size int, left float64) bool {
	taken, back := h.Admit(size, left)
	if !taken {
		h.back[nil] = back
	}
	return taken
}

func TestAMessageIsTakenOnWhileThereIsRoomAndTime(t *testing.T) {
	h := start(onSockets())
	d := h.receiver(0, 0)
	require.True(t, admits(h, 1000, 8))
	require.False(t, admits(h, 1001, 8), "no room on disk")
	require.Equal(t, 2.0, h.back[nil])
	require.False(t, admits(h, 10, 0.01), "no time")
	doc := &Message{Dest: d, Size: 600}
	h.Accept(doc, status, 8)
	require.False(t, admits(h, 600, 8))
	h.settle()
	h.ends(doc, Delivered, 0)
	require.True(t, admits(h, 600, 8))
	h.flood(d, status, h.terms.QueueCapacity)
	require.False(t, admits(h, 10, 8), "no room")
}

func TestRoomOnDiskIsFreeOnceTheAnswerIsHeard(t *testing.T) {
	h := start(onSockets())
	doc := &Message{Dest: h.NewDestination(1), Size: 600}
	h.Accept(doc, status, 1)
	h.pass(1.1)
	require.Equal(t, "rejected", h.done[doc])
	require.False(t, admits(h, 600, 8))
	h.NoticeAcknowledged(doc)
	require.True(t, doc.Finished())
	require.True(t, admits(h, 600, 8))
}

func TestTheNextOfAKeyWaitsUntilAnAnswerIsHeard(t *testing.T) {
	h := start(onSockets())
	d := h.receiver(0, 0)
	first := &Message{Dest: d, Key: 5}
	h.Accept(first, ticket, 0.5)
	h.list(d.targets[0], Draining)
	second := &Message{Dest: d, Key: 5}
	h.Accept(second, ticket, 20)
	h.pass(0.6)
	require.Equal(t, "rejected", h.done[first])
	h.list(d.targets[0], Ready)
	h.pass(1)
	require.Empty(t, h.sent)
	h.NoticeAcknowledged(first)
	h.pass(0.1)
	require.Equal(t, second, h.sent[0].doc)
}

func TestWhatWasOutWhenTheProcessEndedIsTreatedAsIfItHadRun(t *testing.T) {
	h := start(onSockets())
	d := h.receiver(0, 0, 0)
	recover := func(typ int, left float64, past RecoveredState) *Message {
		doc := &Message{Dest: d, Key: 5}
		h.Recover(doc, typ, left, past)
		return doc
	}
	binding := recover(payment, 10, RecoveredState{Attempts: 1, FirstRanAt: h.now - 2})
	unsent := recover(payment, 10, RecoveredState{Attempts: 1})
	numbered := recover(ticket, 20, RecoveredState{Attempts: 1, FirstRanAt: h.now - 2})
	behind := recover(ticket, 20, RecoveredState{})
	forgotten := recover(ticket, 20, RecoveredState{Attempts: 1, FirstRanAt: h.now - 16})
	spent := recover(status, 10, RecoveredState{Attempts: 6})
	late := recover(status, -1, RecoveredState{})
	h.settle()
	require.Equal(t, map[*Message]string{binding: "abandoned", forgotten: "abandoned", spent: "rejected", late: "rejected"}, h.done)
	h.pass(0.1)
	var sent []*Message
	for _, s := range h.sent {
		sent = append(sent, s.doc)
	}
	require.ElementsMatch(t, []*Message{unsent, numbered}, sent)
	require.Equal(t, 2, numbered.sent)
	h.ends(numbered, Delivered, 0)
	h.pass(0.1)
	require.Equal(t, behind, h.sent[len(h.sent)-1].doc)
}

func TestWhatWasAnsweredBeforeARestartIsOnlyWaitedFor(t *testing.T) {
	h := start(onSockets())
	d := h.receiver(0, 0)
	doc := &Message{Dest: d, Key: 5, Size: 10}
	h.Recover(doc, ticket, 20, RecoveredState{Attempts: 1, Answered: true})
	behind := &Message{Dest: d, Key: 5}
	h.Recover(behind, ticket, 20, RecoveredState{})
	h.pass(1)
	require.Empty(t, h.sent)
	require.Empty(t, h.done)
	h.NoticeAcknowledged(doc)
	h.pass(0.1)
	require.Equal(t, behind, h.sent[0].doc)
}

func TestAStopBeginsNoCallThatWouldBeCutOff(t *testing.T) {
	h := start(onSockets())
	d := h.receiver(0, 0)
	soon := h.take(d, status, 0)
	h.settle()
	h.Stop(3)
	require.False(t, h.Done())
	h.ends(soon, Delivered, 0)
	require.True(t, h.Done())
	h.take(d, status, 0)
	h.pass(0.5)
	require.Len(t, h.sent, 2, "there is time for a call")
	h.answers(d, Delivered)
	h.pass(2.2)
	h.take(d, status, 0)
	h.pass(0.2)
	require.Len(t, h.sent, 2)
	require.Empty(t, h.done, "it stays owed")
}

func TestCallsNotYetBegunAreTakenBackWhenARetryAfterComesOrAnEndpointDrains(t *testing.T) {
	h := start(onSockets())
	d := h.receiver(0, 0, 0)
	first, other := h.take(d, status, 0), h.take(d, status, 0)
	h.settle()
	h.ends(first, Overloaded, 1)
	h.settle()
	require.Equal(t, []*Endpoint{other.call.target}, h.recalled)
	h.UpdateEndpoints(false, []EndpointUpdate{{Endpoint: other.call.target, Destination: d, State: Draining}})
	h.settle()
	require.Len(t, h.recalled, 2)
}

func TestARetryAfterToldWithADeliveryBindsToo(t *testing.T) {
	h := start(onSockets())
	d := h.receiver(1, 0)
	doc := h.take(d, status, 0)
	h.settle()
	h.ends(doc, Delivered, 1)
	h.take(d, status, 0)
	h.pass(0.9)
	require.Len(t, h.sent, 1)
	h.pass(0.3)
	require.Len(t, h.sent, 2)
}

func TestNeitherKeysNorNamesOfDestinationsPileUp(t *testing.T) {
	h := start(onSockets())
	d := h.receiver(0, 0)
	for key := range 500 {
		doc := h.take(d, ticket, uint64(key+1))
		h.settle()
		h.AttemptEnded(doc, AttemptResult{Outcome: Cancelled, Final: true}) // its key rests on
		h.pass(0.2)
	}
	require.Less(t, len(h.chains), 70)
	unheard := h.NewDestination(99)
	doc := h.take(unheard, status, 0)
	h.settle()
	require.False(t, h.Forget(unheard))
	h.Withdraw(doc)
	h.pass(0.1)
	require.True(t, h.Forget(unheard))
	require.False(t, h.Forget(d))
}

// Endpoints are replaced all day: those that are gone are let go of once no call to them is out, however they went.
func TestEndpointsThatAreGoneDoNotPileUp(t *testing.T) {
	h := start(onSockets())
	d := h.receiver(0, 0)
	out := h.take(d, status, 0)
	h.settle()
	first := d.targets[0]
	for range 1000 {
		next := &Endpoint{ID: d.targets[len(d.targets)-1].ID + 1}
		h.UpdateEndpoints(true, []EndpointUpdate{{Endpoint: next, Destination: d, State: Ready}})
		h.settle()
		require.Contains(t, d.targets, first, "a call to it is out")
		require.LessOrEqual(t, len(d.targets), 2)
	}
	require.Len(t, h.released, 999)
	h.ends(out, Delivered, 0)
	h.settle()
	require.NotContains(t, d.targets, first)
}

// Reason callers of an earlier process waited for is not sent. Where it may still run, its key rests.
func TestWhatACallerThatLeftWaitedForIsNotSentAndLetsItsKeyRest(t *testing.T) {
	for _, sent := range []int{0, 1} {
		h := start(terms)
		d := h.receiver(0, 0)
		left := &Message{Key: 5, Dest: d, Tenant: 9}
		h.Recover(left, ticket, 20, RecoveredState{Attempts: sent, FirstRanAt: h.now - 1, CallerGone: true})
		require.True(t, left.Finished())
		after := h.take(d, ticket, 5)
		h.settle()
		require.Equal(t, sent == 0, len(h.sent) == 1, "a key with nothing sent rests not")
		h.pass(0.2)
		require.Len(t, h.sent, 1)
		require.Same(t, after, h.sent[0].doc)
		require.Empty(t, h.done[left])
	}
}
