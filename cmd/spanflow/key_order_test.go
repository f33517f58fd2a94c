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

	// lifeAcrossHandOver is the time to live of a message whose call is out on a hand-over: it ends before the first
	// process has to end (3.2 s), so that the hand-over follows the end of the call at once.
	lifeAcrossHandOver = 2500 * time.Millisecond
)

// hangingKey has the endpoint leave the calls of one message without an answer, and records when the connection of the
// latest of them ended and when the key's later message was called.
type hangingKey struct {
	ended chan time.Time
	later chan time.Time
}

func (h *harness) hangOn(earlier, later string) *hangingKey {
	return h.replyOn(earlier, later, emulator.Reply{Hold: make(chan struct{})})
}

// replyOn is hangOn with another reply to the calls of the earlier message.
func (h *harness) replyOn(earlier, later string, reply emulator.Reply) *hangingKey {
	k := &hangingKey{ended: make(chan time.Time, 16), later: make(chan time.Time, 16)}
	reply.Ended = func() { k.ended <- time.Now() }
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

// gap is the time from the end of the earlier message's last call to the call of the later one.
func (k *hangingKey) gap(h *harness) time.Duration {
	h.t.Helper()
	later := next(h, k.later, "call of the later message")
	ended := next(h, k.ended, "end of the earlier call")
	for len(k.ended) > 0 {
		ended = <-k.ended
	}
	return later.Sub(ended)
}

// Within one life the later message of a key waits out the cooldown after an attempt that got no answer.
func TestCooldownOfKeyIsKeptWithinALife(t *testing.T) {
	h := newOrderedHarness(t)
	h.requireCooldownAfter(emulator.Reply{Hold: make(chan struct{})})
}

// Guards against a key that goes on though its call, given up over an unreadable answer, may still run.
func TestCooldownOfKeyIsKeptAfterAnAnswerThatCannotBeRead(t *testing.T) {
	for name, raw := range map[string]string{
		"no HTTP":      "\x00\xff noise\r\n\r\n",
		"never ending": "HTTP/1.1 500 Error\r\nContent-Length: 9\r\n\r\nx",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			newOrderedHarness(t).requireCooldownAfter(emulator.Reply{Raw: raw})
		})
	}
}

// requireCooldownAfter has the endpoint give a reply to the first message of a key, which is given up then, and
// requires that the second one waits out the cooldown.
func (h *harness) requireCooldownAfter(reply emulator.Reply) {
	h.t.Helper()
	k := h.replyOn("a", "b", reply)
	h.startWithAdmin(h.listenSocket).AwaitReady(h.t)
	h.submitKeyInOrder("payment", 1500*time.Millisecond)
	require.GreaterOrEqual(h.t, k.gap(h), keyCooldown)
}

// Guards against report 54762d: after a hand-over or restart a key went on before its cooldown was over.
func TestCooldownOfKeyIsKeptByTheProcessThatTakesOver(t *testing.T) {
	const long = 20 * time.Second
	for _, c := range []struct {
		name    string
		class   string        // of the earlier message
		life    time.Duration // of the earlier message
		replace func(h *harness, first *adminProcess)
	}{
		{"upgrade, call ends before, may be repeated", "ticket", lifeAcrossHandOver, (*harness).upgradeNow},
		{"upgrade, call ends before, at most once", "payment", lifeAcrossHandOver, (*harness).upgradeNow},
		{"upgrade, call out to the end", "payment", long, (*harness).upgradeNow},
		{"upgrade, first process killed", "payment", long, (*harness).killInUpgrade},
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
			k := h.hangOn("a", "b")
			first := h.startWithAdmin(h.listenSocket)
			first.AwaitReady(t)
			h.submitKeyInOrder(c.class, c.life)
			c.replace(h, first)
			require.GreaterOrEqual(t, k.gap(h), keyCooldown)
		})
	}
}

// upgradeNow replaces the first process by a second one on the same socket.
func (h *harness) upgradeNow(first *adminProcess) { h.upgrade(first, h.listenSocket, func() {}) }

// killInUpgrade kills the first process while a second one waits for its folder.
func (h *harness) killInUpgrade(first *adminProcess) {
	second := h.startBeside(h.listenSocket)
	first.Kill()
	second.AwaitReady(h.t)
}

// restart starts a process on a socket of its own.
func (h *harness) restart() { h.startWithAdmin(nil).AwaitReady(h.t) }

// newOrderedHarness is a harness with a handed-down socket, in which payments, which must not run twice, are in order
// by key too.
func newOrderedHarness(t *testing.T) *harness {
	h := newHarness(t, "single")
	h.replacements = []string{`"Idempotency":"fragile"`, `"Idempotency":"fragile","Sequential":true`}
	h.listenSocket = h.inheritedSocket()
	return h
}

// submitKeyInOrder submits two messages of a key, and returns once the endpoint has the call of the first.
func (h *harness) submitKeyInOrder(class string, life time.Duration) {
	h.t.Helper()
	c := h.client()
	defer c.Close()
	h.put(c, "5", "a", fmt.Sprintf("c=%s,d=%d,dest=7,k=a", class, life.Milliseconds()), "+OK")
	h.put(c, "5", "b", "c=ticket,d=20000,dest=7,k=b", "+OK")
	require.Equal(h.t, "a", h.nextCall().ID)
}
