package scheduler

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHonorsEachRetryAfterOfACall(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(1, 0, 0)
	a, b := h.accept(d, status, 0), h.accept(d, status, 0)
	h.reconcile()
	require.Len(t, h.sent, 2)
	require.Equal(t, 1, h.callsInFlight)
	h.endAttempt(a, Overloaded, 0.2)
	h.endAttempt(b, Overloaded, 1)
	h.advance(0.98)
	require.Len(t, h.sent, 2)
	h.advance(2)
	require.Greater(t, len(h.sent), 2)
}

func TestRetryAfterBlocksOnlyItsRoute(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(2, 0, 0)
	message := h.accept(d, status, 0)
	h.reconcile()
	h.endAttempt(message, Overloaded, 5)
	h.advance(0.1)
	require.Len(t, h.sent, 2)
	require.NotEqual(t, h.sent[0].endpoint, h.sent[1].endpoint)
}

func TestRejectionAfterManyCallsLeavesNoDebt(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	for range 60 {
		h.accept(d, status, 0)
		h.reconcile()
		h.endAttempts(d, Delivered)
		h.advance(0.1)
	}
	message := h.accept(d, status, 0)
	h.reconcile()
	h.endAttempt(message, Overloaded, 0)
	h.advance(1.5)
	require.Equal(t, message, h.sent[len(h.sent)-1].message)
	require.Equal(t, 2, message.attempts)
}

func TestPersistentRejectionsCauseCooldown(t *testing.T) {
	settings := testSettings
	settings.Forwarders = 100
	h := newHarness(settings)
	d := h.addDestination(0, 0)
	message := h.accept(d, status, 0)
	h.reconcile()
	h.endAttempt(message, Overloaded, 0)
	h.advance(9)
	require.Equal(t, 2, message.attempts)
	h.endAttempt(message, Overloaded, 0)
	h.advance(4)
	require.Equal(t, 2, message.attempts)
}

func TestForwardersRejectedTogetherDoNotReturnTogether(t *testing.T) {
	var waits []float64
	for seed := range uint64(8) {
		h := newHarness(testSettings)
		h.random = newRandomSource(seed)
		message := h.accept(h.addDestination(0, 0), status, 0)
		h.reconcile()
		h.endAttempt(message, Overloaded, 0)
		for message.attempts < 2 {
			h.advance(0.02)
		}
		waits = append(waits, h.now-100)
	}
	require.Greater(t, slices.Max(waits), slices.Min(waits)+1)
}

func TestTwoRejectionsWithoutLimitCauseCooldown(t *testing.T) {
	h := newHarness(testSettings)
	d := h.addDestination(0, 0)
	for range 30 { // one call per second
		h.accept(d, status, 0)
		h.advance(1)
		h.endAttempts(d, Delivered)
	}
	before := len(h.sent)
	h.flood(d, status, 2)
	for range 100 { // the destination hangs and its queue is full
		h.advance(0.02)
		for _, s := range h.sent[before:] {
			if s.message.call != nil {
				h.AttemptEnded(s.message, AttemptResult{Outcome: Overloaded, Latency: 0.02,
					ReportedLimit: -1, ReportedShare: -1})
			}
		}
	}
	require.LessOrEqual(t, len(h.sent)-before, 4, "no further retries at 0.1, 0.3, 0.7 and 1.5 s")
}

func TestLowVolumeBacksOffLonger(t *testing.T) {
	retries := 0
	for seed := range uint64(60) { // each forwarder has one message beyond the current limit of the destination
		h := newSeededHarness(testSettings, seed)
		d := h.addDestination(0, 0)
		h.accept(d, status, 0)
		h.reconcile()
		h.endAttempts(d, Overloaded)
		for range 25 {
			h.advance(0.2)
			h.endAttempts(d, Overloaded)
		}
		retries += len(h.sent) - 1
	}
	require.Less(t, retries, 60, "in five seconds, retries must not use up a limit that others need")
	require.Positive(t, retries)
}
