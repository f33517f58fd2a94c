package main

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// noticeAnswerLag is the time from the late bytes to the end of a request with notices. It is short enough that the
// forwarder still waits for the answer.
const noticeAnswerLag = 10 * time.Millisecond

// lateNotices makes discovery acknowledge the first request with notices and send late bytes after that. The first
// request behind it is not answered, and counts as not received.
type lateNotices struct {
	late emulator.LateBytes

	mu       sync.Mutex
	requests int
	answered chan time.Time // receives the time of the first answer
	sent     chan struct{}  // closed once the late bytes are sent
}

func newLateNotices(delay time.Duration, lateBytes string) *lateNotices {
	n := &lateNotices{answered: make(chan time.Time, 1), sent: make(chan struct{})}
	n.late = emulator.LateBytes{After: delay, Bytes: lateBytes, Sent: func() { close(n.sent) }}
	if delay == noLateBytes {
		close(n.sent)
	}
	return n
}

func (n *lateNotices) reply([]emulator.Notice) emulator.Reply {
	n.mu.Lock()
	n.requests++
	request := n.requests
	n.mu.Unlock()
	switch request {
	case 1:
		n.answered <- time.Now()
		return emulator.Reply{Late: n.late}
	case 2:
		<-n.sent
		time.Sleep(noticeAnswerLag)
		return emulator.Reply{Break: true}
	}
	return emulator.Reply{}
}

// Guards against lost notices (report 2b03fe): a second copy of an acknowledgement was taken for that of the next
// notices, which were not sent again although discovery had not received them.
func TestLateBytesAcknowledgeNoNotice(t *testing.T) {
	for name, lateBytes := range map[string]string{
		"second copy":    "",
		"another answer": "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"noise":          "\x00\xff noise\r\n\r\n",
	} {
		for _, delay := range append([]time.Duration{noLateBytes}, lateDelays...) { // the first one is the control
			t.Run(fmt.Sprintf("%s after %v", name, delay), func(t *testing.T) {
				t.Parallel()
				noticeBesideLateBytes(t, newLateNotices(delay, lateBytes))
			})
		}
	}
}

// noticeBesideLateBytes makes two messages fail, the second one so that its notice is on its way when the late bytes
// are sent, and requires that both notices arrive.
func noticeBesideLateBytes(t *testing.T, n *lateNotices) {
	h := newHarness(t, "single")
	h.discovery.OnNotices = n.reply
	h.endpoint.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Status: 500} })
	client := h.start()
	defer client.Close()
	h.put(client, noKey, "a", "c=payment,d=20000,dest=7", "+OK")
	require.Equal(t, "a", h.nextNotice().ID)
	answered := awaitNext(h, n.answered, "first request with notices")
	time.Sleep(time.Until(answered.Add(n.late.After - noticeAnswerLag)))
	h.put(client, noKey, "b", "c=payment,d=20000,dest=7", "+OK")
	require.Equal(t, "b", h.nextNotice().ID)
}

// Everything on a watch arrives a second time, the older states of the list behind newer ones. An endpoint that the
// list marks as leaving must not be called because of such a copy.
func TestLateCopyOfListRestoresNoEndpoint(t *testing.T) {
	for _, delay := range lateDelays {
		t.Run(fmt.Sprint("after ", delay), func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, "single")
			h.discovery.CopyAfter = delay
			client := h.start()
			defer client.Close()
			h.put(client, noKey, "a", "c=status,d=20000,dest=7", "+OK")
			require.Equal(t, "a", h.nextCall().ID)
			for _, state := range []string{"leaving", "active", "leaving"} {
				entry := h.activeEntry("s1", 7)
				entry.State = state
				h.discovery.Set(entry)
				time.Sleep(delay / 2)
			}
			time.Sleep(drainGrace)
			h.put(client, noKey, "b", "c=status,d=20000,dest=7", "+OK")
			time.Sleep(delay + settleTime)
			require.Empty(t, h.endpoint.Calls, "a call of an endpoint that leaves")
			entry := h.activeEntry("s1", 7)
			h.discovery.Set(entry)
			require.Equal(t, "b", h.nextCall().ID)
		})
	}
}
