package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

const (
	limitCalls        = 3
	limitWindow       = 500 * time.Millisecond
	retryAfter        = time.Second
	inFlightAllowance = retryAfter / 2 // time for earlier calls to reach the endpoint
)

// rateLimit provides the reply of an endpoint that runs limitCalls calls within limitWindow and rejects others with
// Retry-After.
type rateLimit struct {
	mu     sync.Mutex
	h      *backlogHarness
	since  time.Time // start of the current window
	calls  int       // calls in the current window
	sentAt time.Time // when the latest Retry-After was first sent
	until  time.Time // end of the latest Retry-After
	early  int       // calls received too early, that is, before a Retry-After was over
	sent   int       // number of times that a new Retry-After was sent
}

func (l *rateLimit) reply(c emulator.Call) emulator.Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Before(l.until) && now.After(l.sentAt.Add(inFlightAllowance)) {
		l.early++
	}
	if now.Sub(l.since) > limitWindow {
		l.since, l.calls = now, 0
	}
	if l.calls++; l.calls > limitCalls {
		if now.After(l.until) {
			l.sentAt, l.until = now, now.Add(retryAfter)
			l.sent++
		}
		left := strconv.FormatFloat(l.until.Sub(now).Seconds(), 'f', 3, 64)
		return emulator.Reply{Status: 429, Fields: map[string]string{"Retry-After": left}}
	}
	return l.h.history.deliver(c)
}

func TestRecoveringDestinationsKeepRetryAfterAndDelayNoOthers(t *testing.T) {
	const destinations = 200
	t.Parallel()
	each := sizeFromEnvironment(t, backlogVariable, 50)
	h := newBacklogHarness(t, destinations+1)
	h.writeConfig(fmt.Sprintf("disk = \"%dMiB\"\nwindow = 4\nbehind = 8", max(64, each/2)))
	h.setReplies(reject)
	h.endpoints[destinations].Do(h.history.deliver)
	h.start()
	var all []submission
	for destination := 1; destination <= destinations; destination++ {
		all = append(all, submissions("status", destination, "", each, 5)...)
	}
	h.putAll(all)
	out, code := spanflow("backlog", "stat", "-c", h.configFile)
	require.Equal(t, 0, code, out)
	limits := make([]*rateLimit, destinations)
	for i := range limits {
		limits[i] = &rateLimit{h: h}
		h.endpoints[i].Do(limits[i].reply)
	}
	// Meanwhile, messages for the other destination are submitted, each after the previous one was delivered.
	c := h.client()
	before, fresh := h.history.answered(), 0
	for ; h.history.answered() < before+destinations*each/2 && fresh < 200; fresh++ {
		s := submission{typ: "status", destination: destinations + 1, key: 9, number: fresh}
		h.putDelivered(c, s)
	}
	require.Greater(t, fresh, 20)
	h.awaitAnswers(2 * time.Minute)
	early, sent := 0, 0
	for _, l := range limits {
		early += l.early
		sent += l.sent
	}
	t.Logf("%d stored, %d Retry-After times, %d new messages for another destination meanwhile; %s",
		destinations*each, sent, fresh, strings.Join(strings.Fields(strings.Split(out, "\n")[0]), " "))
	require.Positive(t, sent)
	require.Zero(t, early, "calls before Retry-After was over")
	h.terminate()
}

func TestMassExpiryIsAnsweredInTimeAndDelaysNoOthers(t *testing.T) {
	const count, timeToLive = 2000, 8 * time.Second
	t.Parallel()
	h := newBacklogHarness(t, 2).writeConfig("disk = \"8MiB\"\nwindow = 8\nbehind = 16")
	h.endpoints[0].Do(reject)
	h.start()
	all := submissions("status", 1, "", count, 50)
	end := time.Now().Add(timeToLive)
	for i := range all {
		all[i].timeToLive = time.Until(end) - time.Duration(i%1000)*time.Millisecond
	}
	h.putAll(all)
	deadline := time.Now().Add(timeToLive) // of the message that was submitted last
	c := h.client()
	fresh := 0
	for ; h.history.answered() < count+fresh; fresh++ {
		s := submission{typ: "status", destination: 2, key: 2, number: fresh}
		h.putDelivered(c, s)
		require.True(t, time.Now().Before(deadline), "%d of %d answered", h.history.answered()-fresh, count)
	}
	require.Greater(t, fresh, 100)
	h.awaitAnswers(time.Second)
	// The forwarder repeats a notice that is not answered in time, so the test counts messages instead of notices.
	require.Equal(t, count, h.history.messagesWithNotice())
	h.history.requireNoViolations(t)
	h.history.requireInTime(t)
	h.terminate()
}

// The windows of all failing destinations together exceed the memory limit. A healthy destination must still be served.
func TestManyFailingDestinationsLeaveMemoryForHealthyOnes(t *testing.T) {
	const failing, each = 40, 100
	t.Parallel()
	h := newBacklogHarness(t, failing+1).writeConfig("disk = \"64MiB\"\nwindow = 64\nbehind = 128")
	h.setReplies(reject)
	h.endpoints[failing].Do(h.history.deliver)
	h.start()
	var all []submission
	for destination := 1; destination <= failing; destination++ {
		all = append(all, submissions("status", destination, "", each, 5)...)
	}
	h.putAll(all)
	c := h.client()
	for fresh := range 20 {
		s := submission{typ: "status", destination: failing + 1, key: 9, number: fresh}
		h.putDelivered(c, s)
	}
}

// Two destinations reject calls, and the backlog has its default limits. A healthy destination must still be served.
func TestTwoOverloadedDestinationsLeaveMemoryForHealthyOne(t *testing.T) {
	const each = 1100
	t.Parallel()
	h := newBacklogHarness(t, 3).writeConfig("")
	h.setReplies(reject)
	h.endpoints[2].Do(h.history.deliver)
	h.start()
	h.putAll(append(submissions("status", 1, "", each, 50), submissions("status", 2, "", each, 50)...))
	c := h.client()
	for fresh := range 20 {
		s := submission{typ: "status", destination: 3, key: 9, number: fresh}
		h.putDelivered(c, s)
	}
}
