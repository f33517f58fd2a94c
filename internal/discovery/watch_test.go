package discovery

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
	"spanflow/internal/peertest"
	"spanflow/transport"
)

func TestWatchReportsChangesAndEnd(t *testing.T) {
	h := newHarness(t)
	h.Watch(41)
	conn, request := h.peer.Accept(t)
	require.Contains(t, request, "GET /v1/endpoints?stream=1&index=41 HTTP/1.1\r\n")
	conn.Write([]byte(answerChunked + "1\r\n\n\r\n" + "1a\r\n{\"rev\":43,\"all\":false,\"tar\r\n"))
	conn.Write([]byte("2d\r\ngets\":[{\"uid\":\"s1\",\"state\":\"left\"}]}\n{\"rev\":\r\n"))
	require.Equal(t, transport.EndpointList{Revision: 41}, *peertest.Next(t, h.lists), "the empty line: no change yet")
	list := peertest.Next(t, h.lists)
	require.Equal(t, transport.EndpointList{Revision: 43, Endpoints: []transport.Endpoint{{UID: "s1", State: "left"}}}, *list)
	conn.Close()
	h.nextReason(t)
}

// Only the first line of a watch tells whether the list has changed since the requested revision.
func TestOnlyFirstEmptyLineConfirmsRevision(t *testing.T) {
	h := newHarness(t)
	h.Watch(41)
	conn, _ := h.peer.Accept(t)
	conn.Write([]byte(answerUnsized + "\n\n\n" + `{"rev":42,"all":false,"targets":[]}` + "\n\n"))
	require.Equal(t, []int64{41, 42}, []int64{h.nextRevision(t), h.nextRevision(t)})
	conn.Close()
	h.nextReason(t)
	require.Empty(t, h.lists)
}

func TestMalformedObjectEndsWatchWithoutUpdate(t *testing.T) {
	h := newHarness(t)
	h.Watch(1)
	conn, _ := h.peer.Accept(t)
	conn.Write([]byte(answerChunked + "5\r\n{bad\n\r\n"))
	require.Contains(t, h.nextReason(t), "cannot be read")
	h.Watch(1)
	conn, _ = h.peer.Accept(t)
	conn.Write([]byte(answerBusy))
	require.Equal(t, "answered 503", h.nextReason(t))
	require.Empty(t, h.lists)
}

func TestWatchEndsWhenSilentAfterFirstLine(t *testing.T) {
	h := newHarness(t)
	h.afterFunc = time.AfterFunc
	h.Watch(1)
	conn, _ := h.peer.Accept(t)
	conn.Write([]byte(answerChunked + "1\r\n\n\r\n"))
	require.Equal(t, watchEnd{"silent", transport.WatchSilent}, peertest.Next(t, h.ends))
}

func TestWatchEndsWhenSilentFromTheStart(t *testing.T) {
	h := newHarness(t)
	h.afterFunc = time.AfterFunc
	h.Watch(1)
	h.peer.Accept(t)
	require.Equal(t, watchEnd{"silent", transport.WatchTimeout}, peertest.Next(t, h.ends))
}

func TestWatchEndsWithoutCompleteLines(t *testing.T) {
	h := newHarness(t)
	h.afterFunc = time.AfterFunc
	h.Watch(1)
	conn, _ := h.peer.Accept(t)
	conn.Write([]byte(answerUnsized + "{\"rev\":1,\"all\":true,\"targets\":[]}\n{"))
	peertest.Next(t, h.lists)
	stop := make(chan struct{})
	go func() {
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				return
			case <-tick.C:
				conn.Write([]byte(" "))
			}
		}
	}()
	defer close(stop)
	require.Equal(t, watchEnd{"silent", transport.WatchSilent}, peertest.Next(t, h.ends))
}

func TestLateTimerDoesNotEndWatch(t *testing.T) {
	h := newHarness(t)
	h.Watch(1)
	conn, _ := h.peer.Accept(t)
	h.mu.Lock()
	w := h.watch
	late := w.timerGeneration
	h.mu.Unlock()
	conn.Write([]byte(answerUnsized + "{\"rev\":1,\"all\":true,\"targets\":[]}\n"))
	peertest.Next(t, h.lists)
	h.mu.Lock() // waits until the reader has restarted the timer
	current := w.timerGeneration
	h.mu.Unlock()
	require.Greater(t, current, late)
	w.timedOut(late)
	require.Empty(t, h.ends)
	conn.Write([]byte("{\"rev\":2,\"all\":false,\"targets\":[]}\n"))
	require.Equal(t, int64(2), h.nextRevision(t))
}

func TestStaleRevisionEndsWatchWithoutUpdate(t *testing.T) {
	for name, lines := range map[string][]string{
		"in answer to the request": {`{"rev":6,"all":false,"targets":[]}`},
		"later":                    {`{"rev":8,"all":false,"targets":[]}`, `{"rev":7,"all":true,"targets":[]}`},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.Watch(7)
			conn, _ := h.peer.Accept(t)
			conn.Write([]byte(answerUnsized + strings.Join(lines, "\n") + "\n"))
			require.Contains(t, h.nextReason(t), "of the list is older than revision")
			require.Len(t, h.lists, len(lines)-1)
		})
	}
}

func TestCompleteListMayResetRevision(t *testing.T) {
	h := newHarness(t)
	h.Watch(7)
	conn, _ := h.peer.Accept(t)
	conn.Write([]byte(answerUnsized + `{"rev":2,"all":true,"targets":[]}` + "\n" + `{"rev":2,"all":false,"targets":[]}` + "\n"))
	require.Equal(t, []int64{2, 2}, []int64{h.nextRevision(t), h.nextRevision(t)}, "a repeated revision is not stale")
}

// A list that the reader of a replaced watch has read but not delivered must not be reported, as the new watch receives
// it again.
func TestReplacedWatchReportsNothingMore(t *testing.T) {
	h := newHarness(t)
	h.Watch(1)
	conn, _ := h.peer.Accept(t)
	h.mu.Lock()
	conn.Write([]byte(answerUnsized + "{\"rev\":2,\"all\":true,\"targets\":[]}\n"))
	emulator.AwaitBlockedOnLock(t, "discovery.(*watch).Data(")
	h.watch.close() // as Watch does, with the lock held
	h.mu.Unlock()
	h.Watch(1)
	conn, _ = h.peer.Accept(t)
	conn.Write([]byte(answerUnsized + "{\"rev\":3,\"all\":true,\"targets\":[]}\n"))
	require.Equal(t, int64(3), h.nextRevision(t))
	require.Empty(t, h.lists)
	require.Empty(t, h.ends)
}

func TestReconfigureStartsNoWatch(t *testing.T) {
	h := newHarness(t)
	h.Reconfigure(h.peer.Addr, 7)
	h.mu.Lock()
	defer h.mu.Unlock()
	require.Nil(t, h.watch)
}

// How a watch ends determines the delay until the next request. Only a request that waited without an answer shows that
// the discovery service is overloaded.
func TestWatchEndDistinguishesOverloadFromBrokenConnection(t *testing.T) {
	const list = answerUnsized + "{\"rev\":2,\"all\":true,\"targets\":[]}\n"
	for name, c := range map[string]struct {
		waited time.Duration // time until the answer
		answer string        // sent before the connection is closed
		want   transport.WatchEnd
	}{
		"rejected at once":      {0, answerBusy, transport.WatchBroken},
		"rejected after a wait": {2 * time.Second, answerBusy, transport.WatchTimeout},
		"reset at once":         {0, "", transport.WatchBroken},
		"reset after a wait":    {2 * time.Second, "", transport.WatchTimeout},
		"ended after an update": {2 * time.Second, list, transport.WatchBroken},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			began := time.Now()
			h.now = func() time.Time { return began }
			h.Watch(1)
			conn, _ := h.peer.Accept(t)
			h.mu.Lock()
			h.now = func() time.Time { return began.Add(c.waited) }
			h.mu.Unlock()
			conn.Write([]byte(c.answer))
			conn.Close()
			require.Equal(t, c.want, peertest.Next(t, h.ends).how)
		})
	}
}

// A service that refuses a connection is down. If no connection is established for another reason, nothing is known of the
// service: it may have changes that the forwarder does not get (review case 6).
func TestEndOfWatchThatCannotConnectTellsWhetherServiceRefused(t *testing.T) {
	for cause, want := range map[error]transport.WatchEnd{
		syscall.ECONNREFUSED:  transport.WatchBroken,
		syscall.ECONNRESET:    transport.WatchBroken,
		syscall.ETIMEDOUT:     transport.WatchFailed,
		syscall.ENETUNREACH:   transport.WatchFailed,
		syscall.EHOSTUNREACH:  transport.WatchFailed,
		syscall.EMFILE:        transport.WatchFailed,
		syscall.EADDRNOTAVAIL: transport.WatchFailed,
	} {
		for _, waited := range []time.Duration{0, 2 * time.Second} {
			t.Run(fmt.Sprint(cause, " after ", waited), func(t *testing.T) {
				h := newHarness(t)
				began := time.Now()
				h.now = func() time.Time { return began }
				h.dialer.Connect = func(context.Context, string) (net.Conn, error) {
					h.mu.Lock()
					defer h.mu.Unlock()
					h.now = func() time.Time { return began.Add(waited) }
					return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", cause)}
				}
				h.Watch(1)
				want := want
				if waited > 0 && want == transport.WatchBroken { // refused only once the service was back
					want = transport.WatchTimeout
				}
				require.Equal(t, want, peertest.Next(t, h.ends).how)
				require.Equal(t, began, peertest.Next(t, h.lastLines), "the list was current when it was requested at the latest")
			})
		}
	}
}

// Guards against a lease of the list that is counted from when the silence is noticed (review case 6).
func TestEndOfWatchTellsWhenLastLineArrived(t *testing.T) {
	h := newHarness(t)
	clock := time.Now()
	h.now = func() time.Time { return clock }
	h.Watch(1)
	conn, _ := h.peer.Accept(t)
	advance := func() {
		h.mu.Lock() // waits until the reader has handled what arrived
		defer h.mu.Unlock()
		clock = clock.Add(time.Second)
	}
	for _, text := range []string{answerUnsized + "\n", "{\"rev\":2,\"all\":true,\"targets\":[]}\n"} {
		advance()
		conn.Write([]byte(text))
		h.nextRevision(t)
	}
	want := clock
	advance()
	h.mu.Lock()
	generation := h.watch.timerGeneration
	w := h.watch
	h.mu.Unlock()
	w.timedOut(generation)
	require.Equal(t, transport.WatchSilent, peertest.Next(t, h.ends).how)
	require.Equal(t, want, peertest.Next(t, h.lastLines))
}

func TestWatchWithoutAnswerTimesOut(t *testing.T) {
	h := newHarness(t)
	h.Watch(1)
	h.peer.Accept(t)
	h.timers.Next(t).Fire()
	require.Equal(t, transport.WatchTimeout, peertest.Next(t, h.ends).how)
}
