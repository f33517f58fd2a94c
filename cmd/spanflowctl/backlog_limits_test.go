package main

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// putUntilRejected submits up to limit messages and stops when one is rejected. It returns the number of accepted
// messages and the last answer.
func (h *backlogHarness) putUntilRejected(c *emulator.Client, s submission, limit int) (accepted int, answer string) {
	for ; accepted < limit; accepted++ {
		s.number++
		if answer = h.put(c, s); answer != "+OK" {
			return accepted, answer
		}
	}
	return accepted, answer
}

// requireRetryAfter requires that an answer rejects a message and contains a time after which to submit it again.
func requireRetryAfter(t *testing.T, answer string) {
	t.Helper()
	status, retryAfter, _ := strings.Cut(answer, " ")
	require.Equal(t, "-BUSY", status)
	ms, err := strconv.Atoi(retryAfter)
	require.NoError(t, err)
	require.Positive(t, ms, "the time after which to submit the message again")
}

func TestFullBacklogRejectsWithRetryAfterAndLosesNoMessage(t *testing.T) {
	t.Parallel()
	h := newBacklogHarness(t, 2).writeConfig("disk = \"2MiB\"\nwindow = 8\nbehind = 16")
	h.setReplies(reject)
	h.start()
	c := h.client()
	m := submission{typ: "status", destination: 1, key: 1, number: -1, body: strings.Repeat("x", 4000)}
	accepted, answer := h.putUntilRejected(c, m, 2000)
	requireRetryAfter(t, answer)
	require.Greater(t, accepted, 100)
	m.number = accepted
	for range 20 {
		requireRetryAfter(t, h.put(c, m))
	}
	h.kill() // the backlog is still full afterwards
	h.start()
	c = h.client()
	requireRetryAfter(t, h.put(c, m))
	h.endpoints[1].Do(h.history.deliver)
	require.Equal(t, "+OK", h.put(c, submission{typ: "status", destination: 2, key: 2}),
		"the other destination has no stored messages")
	h.setReplies(h.history.deliver)
	h.awaitAnswers(time.Minute)
	require.Equal(t, "+OK", h.put(h.client(), m), "there is space again")
	h.awaitAnswers(time.Minute)
	h.terminate()
}

func TestReloadChangesBacklogLimits(t *testing.T) {
	t.Parallel()
	const (
		wide  = "disk = \"8MiB\"\nwindow = 8\nbehind = 16"
		tight = "disk = \"8MiB\"\ndestination = \"20kB\"\nwindow = 4\nbehind = 8"
		small = "disk = \"2MiB\"\nwindow = 8\nbehind = 16"
	)
	h := newBacklogHarness(t, 2).writeConfig(wide)
	h.setReplies(reject)
	h.start()
	c := h.client()
	m := submission{typ: "status", destination: 1, key: 1, number: -1, body: body300}
	accepted, answer := h.putUntilRejected(c, m, 400)
	require.Equal(t, []any{400, "+OK"}, []any{accepted, answer})
	h.reload(tight)
	m.number = accepted
	requireRetryAfter(t, h.put(c, m))
	other := submission{typ: "status", destination: 2, key: 2}
	require.Equal(t, "+OK", h.put(c, other), "the other destination is below its limit")
	h.reload(wide)
	require.Equal(t, "+OK", h.put(c, m))
	h.reload(small)
	m.number++
	require.Equal(t, "+OK", h.put(c, m), "the backlog is also below the reduced limit")
	h.reload(tight)
	m.number++
	requireRetryAfter(t, h.put(c, m))
	h.setReplies(h.history.deliver)
	h.awaitAnswers(time.Minute)
	require.Equal(t, "+OK", h.put(h.client(), m), "there is space again")
	h.awaitAnswers(time.Minute)
	h.terminate()
}

func TestBacklogTenantLimitLeavesSpaceForOtherTenants(t *testing.T) {
	t.Parallel()
	h := newBacklogHarness(t, 2).writeConfig("disk = \"8MiB\"\ntenant = \"100kB\"\nwindow = 8\nbehind = 16")
	h.setReplies(reject)
	h.start()
	c := h.client()
	flood := submission{typ: "status", destination: 1, tenant: "red", key: 1, number: -1, body: body300}
	accepted, answer := h.putUntilRejected(c, flood, 2000)
	requireRetryAfter(t, answer)
	require.Greater(t, accepted, 100)
	flood.destination, flood.key = 2, 2
	_, answer = h.putUntilRejected(c, flood, 100)
	requireRetryAfter(t, answer)
	for _, destination := range []int{1, 2} {
		calm := submission{typ: "status", destination: destination, tenant: "green", key: 10 + destination,
			number: -1, body: body300}
		accepted, answer = h.putUntilRejected(c, calm, 100)
		require.Equal(t, []any{100, "+OK"}, []any{accepted, answer}, "the other tenant is below its limit")
	}
	h.setReplies(h.history.deliver)
	h.awaitAnswers(time.Minute)
	h.terminate()
}
