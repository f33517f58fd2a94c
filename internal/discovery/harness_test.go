package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/dial"
	"spanflow/internal/peertest"
	"spanflow/transport"
)

// watchEnd is a reported end of a watch.
type watchEnd struct {
	reason string
	how    transport.WatchEnd
}

// recordingListener holds what a client reported.
type recordingListener struct {
	lists chan *transport.EndpointList
	ends  chan watchEnd
}

func (l *recordingListener) EndpointsUpdated(list *transport.EndpointList) { l.lists <- list }

func (l *recordingListener) WatchEnded(reason string, how transport.WatchEnd) {
	l.ends <- watchEnd{reason, how}
}

// harness is a client of a discovery service that the test emulates. The timers fire when the test says so: a pause
// of the machine changes nothing.
type harness struct {
	*Client
	*recordingListener
	peer   *peertest.Peer
	timers *peertest.Timers
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	dialer, err := dial.New("test", 8)
	require.NoError(t, err)
	t.Cleanup(dialer.Stop)
	h := &harness{
		recordingListener: &recordingListener{make(chan *transport.EndpointList, 9), make(chan watchEnd, 9)},
		peer:              peertest.NewPeer(t, "127.5.0.1"),
		timers:            peertest.NewTimers(),
	}
	h.Client = New(dialer, h.peer.Addr, time.Second, h.recordingListener)
	h.afterFunc = h.timers.AfterFunc
	t.Cleanup(h.Stop)
	return h
}

// nextRevision waits for the next list.
func (h *harness) nextRevision(t *testing.T) int64 {
	t.Helper()
	return peertest.Next(t, h.lists).Revision
}

// nextReason waits for the end of a watch.
func (h *harness) nextReason(t *testing.T) string {
	t.Helper()
	return peertest.Next(t, h.ends).reason
}

// Heads of an answer that stays open.
const (
	answerChunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	answerUnsized = "HTTP/1.1 200 OK\r\n\r\n"
	answerBusy    = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
)
