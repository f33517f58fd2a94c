package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

const (
	keyCooldown = 100 * time.Millisecond // KeyRest of the settings

	// timeToLiveAcrossHandover is the time to live of a message whose call is in progress at a handover. It is shorter
	// than the time after which the predecessor has to end (3.2 s), so that the handover takes place right after the
	// call ends.
	timeToLiveAcrossHandover = 2500 * time.Millisecond
)

// keyObserver records, for two messages of one key, when the connections of calls with the earlier message ended and
// when the later message was called.
type keyObserver struct {
	ended chan time.Time
	later chan time.Time
}

// leaveUnanswered makes the endpoint leave the calls with the earlier message unanswered.
func (h *harness) leaveUnanswered(earlier, later string) *keyObserver {
	return h.observeKey(earlier, later, emulator.Reply{Hold: make(chan struct{})})
}

// observeKey makes the endpoint give a reply to the calls with the earlier message, and 200 to all others.
func (h *harness) observeKey(earlier, later string, reply emulator.Reply) *keyObserver {
	k := &keyObserver{ended: make(chan time.Time, 16), later: make(chan time.Time, 16)}
	reply.Ended = func(time.Time) { k.ended <- time.Now() }
	h.endpoint.Do(func(c emulator.Call) emulator.Reply {
		switch c.ID {
		case earlier:
			return reply
		case later:
			k.later <- time.Now()
		}
		return emulator.Reply{}
	})
	return k
}

// gap returns the time from the end of the earlier message's last call to the call of the later message.
func (k *keyObserver) gap(h *harness) time.Duration {
	h.t.Helper()
	later := awaitNext(h, k.later, "call of the later message")
	ended := awaitNext(h, k.ended, "end of the earlier call")
	for len(k.ended) > 0 {
		ended = <-k.ended
	}
	return later.Sub(ended)
}

// After an attempt that got no answer, the next message of the key is sent only after the key's cooldown.
func TestKeyCooldownIsKeptByOneProcess(t *testing.T) {
	h := newOrderedHarness(t)
	h.requireCooldownAfter(emulator.Reply{Hold: make(chan struct{})})
}

// Guards against sending the next message of a key too early after a call that was abandoned because its answer could
// not be read: the endpoint may still run that call.
func TestKeyCooldownIsKeptAfterUnreadableAnswer(t *testing.T) {
	for name, raw := range map[string]string{
		"not HTTP":        "\x00\xff noise\r\n\r\n",
		"incomplete body": "HTTP/1.1 500 Error\r\nContent-Length: 9\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			newOrderedHarness(t).requireCooldownAfter(emulator.Reply{Raw: raw})
		})
	}
}

// requireCooldownAfter makes the endpoint answer the first message of a key with a reply that makes the forwarder
// abandon the call. It requires that the second message is sent only after the cooldown.
func (h *harness) requireCooldownAfter(reply emulator.Reply) {
	h.t.Helper()
	k := h.observeKey("a", "b", reply)
	h.startWithAdmin(h.listenSocket).AwaitReady(h.t)
	h.submitOrderedPair("payment", 1500*time.Millisecond)
	require.GreaterOrEqual(h.t, k.gap(h), keyCooldown)
}

// Guards against a fault (report 54762d) in which, after a handover or a restart, the next message of a key was sent
// before the key's cooldown was over.
func TestKeyCooldownIsKeptAcrossUpgradeAndRestart(t *testing.T) {
	const long = 20 * time.Second
	for _, c := range []struct {
		name        string
		messageType string        // of the earlier message
		timeToLive  time.Duration // of the earlier message
		replace     func(h *harness, predecessor *adminProcess)
	}{
		{"upgrade, call ends before the handover, idempotent", "ticket", timeToLiveAcrossHandover,
			(*harness).upgradeNow},
		{"upgrade, call ends before the handover, at most once", "payment", timeToLiveAcrossHandover,
			(*harness).upgradeNow},
		{"upgrade, call in progress until the end", "payment", long, (*harness).upgradeNow},
		{"upgrade, predecessor killed", "payment", long, (*harness).killDuringUpgrade},
		{"restart after SIGTERM", "payment", long, func(h *harness, _ *adminProcess) {
			h.stop()
			h.restart()
		}},
		{"restart after SIGKILL", "payment", long, func(h *harness, _ *adminProcess) {
			h.kill()
			h.restart()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newOrderedHarness(t)
			k := h.leaveUnanswered("a", "b")
			predecessor := h.startWithAdmin(h.listenSocket)
			predecessor.AwaitReady(t)
			h.submitOrderedPair(c.messageType, c.timeToLive)
			c.replace(h, predecessor)
			require.GreaterOrEqual(t, k.gap(h), keyCooldown)
		})
	}
}

// upgradeNow upgrades with the inherited socket and does nothing else meanwhile.
func (h *harness) upgradeNow(predecessor *adminProcess) {
	h.upgrade(predecessor, h.listenSocket, func() {})
}

// killDuringUpgrade kills the predecessor while the successor waits for its folder.
func (h *harness) killDuringUpgrade(predecessor *adminProcess) {
	successor := h.startSuccessor(h.listenSocket)
	predecessor.Kill()
	successor.AwaitReady(h.t)
}

// restart starts a process that opens a new socket.
func (h *harness) restart() { h.startWithAdmin(nil).AwaitReady(h.t) }

// newOrderedHarness returns a harness with an inherited socket. Payments, which must not run twice, are ordered by key
// too.
func newOrderedHarness(t *testing.T) *harness {
	h := newHarness(t, "single")
	h.replacements = []string{`"Idempotency":"fragile"`, `"Idempotency":"fragile","Sequential":true`}
	h.listenSocket = h.inheritedSocket()
	return h
}

// submitOrderedPair submits two messages of a key and returns once the endpoint has received the call of the first.
func (h *harness) submitOrderedPair(messageType string, timeToLive time.Duration) {
	h.t.Helper()
	c := h.client()
	defer c.Close()
	h.put(c, "5", "a", fmt.Sprintf("c=%s,d=%d,dest=7,k=a", messageType, timeToLive.Milliseconds()), "+OK")
	h.put(c, "5", "b", "c=ticket,d=20000,dest=7,k=b", "+OK")
	require.Equal(h.t, "a", h.nextCall().ID)
}
