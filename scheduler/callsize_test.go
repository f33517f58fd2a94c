package scheduler

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// calls groups the attempts of the host by call.
func (h *harness) calls() (calls [][]*Message) {
	for i, s := range h.sent {
		if i > 0 && h.sent[i-1].call == s.call {
			calls[len(calls)-1] = append(calls[len(calls)-1], s.message)
		} else {
			calls = append(calls, []*Message{s.message})
		}
	}
	return calls
}

// requireCallsWithinLimits requires that no call has more messages or bytes than the settings allow. It removes the messages
// that were called from accepted.
func (h *harness) requireCallsWithinLimits(t *testing.T, accepted map[*Message]bool) {
	t.Helper()
	for _, call := range h.calls() {
		bytes := 0
		for _, message := range call {
			bytes += message.CallBytes
			delete(accepted, message)
		}
		require.LessOrEqual(t, len(call), h.settings.KindBatchSize[call[0].Dest.kind])
		require.True(t, len(call) == 1 || bytes <= h.settings.MaxCallBytes, "a call of %d messages and %d bytes", len(call), bytes)
	}
}

// Guards against review case 7: messages were joined by their number alone, and the destination turned the call away for
// its size.
func TestCallsAreLimitedInMessagesAndBytes(t *testing.T) {
	const limit = 1000
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 1))
		settings := testSettings
		settings.MaxCallBytes, settings.QueueCapacity = limit, 100
		h := newSeededHarness(settings, seed)
		d := h.addDestination(1, 0)
		accepted := map[*Message]bool{}
		for range 60 {
			message := &Message{Dest: d, Tenant: 9, CallBytes: 1 + random.IntN(1+random.IntN(limit+200))}
			h.Accept(message, status, 20)
			accepted[message] = true
		}
		for range 900 {
			h.advance(0.02)
			outcome := Delivered
			if random.IntN(6) == 0 {
				outcome = ServerError
			}
			h.endAttempts(d, outcome)
		}
		h.requireCallsWithinLimits(t, accepted)
		require.Empty(t, accepted, "seed %d: each message is called", seed)
	}
}

// The messages, the kind's number of messages in a call and the limit in bytes are drawn; no call exceeds either, and no
// message is forgotten.
func FuzzCallLimits(f *testing.F) {
	for seed := range uint64(30) {
		f.Add(seed, uint8(9), uint16(1000))
	}
	f.Add(uint64(30), uint8(0), uint16(1000))
	f.Add(uint64(31), uint8(1), uint16(1))
	f.Add(uint64(32), uint8(255), uint16(50000))
	f.Fuzz(func(t *testing.T, seed uint64, batchBelow uint8, limitBelow uint16) {
		const messages, turns = 60, 1250 // more than their life
		batchSize, limit := int(batchBelow)+1, int(limitBelow)+1
		random := rand.New(rand.NewPCG(seed, 1))
		settings := testSettings
		settings.KindBatchSize = []int{1, batchSize}
		settings.MaxCallBytes, settings.QueueCapacity = limit, 100
		h := newSeededHarness(settings, seed)
		destinations := []*Destination{h.addDestination(0, 0), h.addDestination(1, 0)}
		accepted := map[*Message]bool{}
		for range messages {
			bytes := 1 + random.IntN(1+random.IntN(limit+limit/5+1)) // some are too large to be joined
			message := &Message{Dest: destinations[random.IntN(2)], Tenant: 9, Key: random.Uint64N(5), CallBytes: bytes}
			h.Accept(message, random.IntN(len(settings.Types)), 20)
			accepted[message] = true
		}
		for range turns {
			h.advance(0.02)
			for _, d := range destinations {
				outcome := Delivered
				if random.IntN(6) == 0 {
					outcome = ServerError
				}
				h.endAttempts(d, outcome)
			}
		}
		h.requireCallsWithinLimits(t, accepted)
		for message := range h.answers {
			delete(accepted, message)
		}
		require.Empty(t, accepted, "each message is called or has its final answer")
		for i := 1; i < len(h.sent); i++ { // hosts put messages for an endpoint in one turn into one call, up to the batch size
			sent, before := h.sent[i], h.sent[i-1]
			oneTurn := sent.at == before.at && sent.endpoint == before.endpoint
			require.False(t, oneTurn && sent.call != before.call && settings.KindBatchSize[sent.message.Dest.kind] > 1)
		}
	})
}

func TestSmallMessagesFillCalls(t *testing.T) {
	settings := testSettings
	settings.MaxCallBytes = 1000
	h := newHarness(settings)
	d := h.addDestination(1, 0)
	for range 30 {
		h.Accept(&Message{Dest: d, Tenant: 9, CallBytes: 100}, status, 20)
	}
	h.reconcile()
	require.Len(t, h.calls()[0], 10)
}

// A message that does not fit is neither lost nor overtaken for good by smaller ones.
func TestMessageThatDoesNotFitIsFirstInNextCall(t *testing.T) {
	settings := testSettings
	settings.MaxCallBytes = 1000
	h := newHarness(settings)
	d := h.addDestination(1, 0)
	var messages []*Message
	for _, bytes := range []int{600, 1200, 100, 100} {
		messages = append(messages, &Message{Dest: d, Tenant: 9, CallBytes: bytes})
		h.Accept(messages[len(messages)-1], status, 20)
	}
	for range 5 {
		h.advance(0.02)
		h.endAttempts(d, Delivered)
	}
	require.Equal(t, [][]*Message{{messages[0]}, {messages[1]}, {messages[2], messages[3]}}, h.calls())
}

// Guards against review case 7 where the destination takes less than the protocol allows: its messages were joined again in
// the same way until no attempt was left.
func TestRefusedCallIsSplitWithoutCostOfAttempts(t *testing.T) {
	for _, outcome := range []Outcome{CallUnreadable, CallTooLarge} {
		for _, most := range []int{1, 2, 3, 7} { // messages that the destination takes in a call
			h := newHarness(testSettings)
			d := h.addDestination(1, 0)
			held := map[*Message]bool{}
			for range 38 { // below the number at which load is shed
				held[h.accept(d, status, 0)] = true
			}
			refused := 0
			for range 400 {
				before := len(h.sent)
				h.advance(0.02)
				call := h.sent[before:]
				for _, s := range call {
					if len(call) > most {
						h.endAttempt(s.message, outcome, 0)
						continue
					}
					require.Equal(t, 1, s.message.attempts, "the refused calls count as no attempts")
					h.endAttempt(s.message, Delivered, 0)
					delete(held, s.message)
				}
				if len(call) > most {
					refused++
				}
			}
			require.Empty(t, h.answers)
			require.Empty(t, held, "%d a call", most)
			require.Empty(t, h.answers)
			require.LessOrEqual(t, refused, 4+40/most/callsToGrow)
		}
	}
}

// A destination that has taken smaller calls for a while is tried with larger ones.
func TestCallsGrowAgainAfterRefusal(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(1, 0)
	h.flood(d, status, 10)
	h.reconcile()
	h.endAttempts(d, CallTooLarge)
	largest := 0
	for range 10 * callsToGrow {
		h.flood(d, status, max(0, 20-d.queued))
		before := len(h.sent)
		h.advance(0.02)
		largest = max(largest, len(h.sent)-before)
		h.endAttempts(d, Delivered)
	}
	require.Equal(t, 10, largest)
}

// A single message that the destination turns away for its size is answered at once; one that it cannot read may be sent
// again, as something on the way may have spoilt it.
func TestSingleMessageThatIsTooLargeIsRejectedAtOnce(t *testing.T) {
	for outcome, want := range map[Outcome]string{CallTooLarge: "rejected", CallUnreadable: ""} {
		h := newHarness(testSettings)
		d := h.addDestination(1, 0)
		message := h.accept(d, payment, 0)
		h.reconcile()
		h.endAttempts(d, outcome)
		h.advance(0.02)
		require.Equal(t, want, h.answers[message])
		if outcome == CallTooLarge {
			require.Equal(t, TooLarge, message.AnswerReason())
			require.Len(t, h.sent, 1)
		}
	}
}

// Guards against a message that must not run twice and fails with most of its time left, because its call had the timeout of
// another message with little time (found by the second review).
func TestJoinedCallTakesNoTimeFromItsMessages(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(1, 0)
	short, long := &Message{Dest: d, Tenant: 9}, &Message{Dest: d, Tenant: 9}
	alone := newHarness(testSettings)
	e := alone.addDestination(1, 0)
	alone.Accept(&Message{Dest: e, Tenant: 9}, payment, 20)
	alone.reconcile()
	h.Accept(short, status, 0.7)
	h.Accept(long, payment, 20)
	h.reconcile()
	require.Len(t, h.calls(), 1, "they are joined")
	for _, s := range h.sent {
		require.InDelta(t, alone.sent[0].timeout, s.timeout, 1e-9, "as long as that of a call with the long one alone")
	}
	h.advance(0.75)
	require.Equal(t, "rejected", h.answers[short], "at its own deadline")
	require.Empty(t, h.answers[long])
	h.endAttempts(d, Delivered)
	h.advance(0.1)
	require.Empty(t, h.answers[long])
}

// A repeat whose key is soon forgotten has to end early, so it has a call of its own.
func TestRepeatThatEndsWithItsKeyIsNotJoined(t *testing.T) {
	settings := testSettings
	settings.Types = append([]MessageType{}, settings.Types...)
	settings.Types[ticket].DeduplicationWindow = 1.5
	h := newHarness(settings)
	d := h.addDestination(1, 0)
	repeat := &Message{Dest: d, Tenant: 9, Key: 5}
	h.Recover(repeat, ticket, 20, RecoveredState{Attempts: 1, FirstRanAt: h.now - 0.2})
	once := h.accept(d, payment, 0)
	for range 5 {
		h.advance(0.02)
	}
	require.Len(t, h.calls(), 2)
	for _, s := range h.sent {
		if s.message == repeat {
			require.LessOrEqual(t, s.at+s.timeout, repeat.firstRanAt+1.5)
		} else {
			require.Equal(t, once, s.message)
			require.Greater(t, s.timeout, 1.5)
		}
	}
}
