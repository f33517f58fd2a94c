package discovery

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/dial"
	"spanflow/internal/peertest"
	"spanflow/transport"
)

// watchEnd holds the arguments of EndpointListener.WatchEnded, without the time of the last line.
type watchEnd struct {
	reason string
	how    transport.WatchEnd
}

// recordingListener passes the reports of a client to the test.
type recordingListener struct {
	lists     chan *transport.EndpointList
	ends      chan watchEnd
	lastLines chan time.Time
}

func (l *recordingListener) EndpointsUpdated(list *transport.EndpointList) { l.lists <- list }

func (l *recordingListener) WatchEnded(reason string, how transport.WatchEnd, lastLine time.Time) {
	l.lastLines <- lastLine
	l.ends <- watchEnd{reason, how}
}

// harness is a client with an emulated discovery service. The test fires the timers, so that a pause of the machine has
// no effect.
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
		recordingListener: &recordingListener{make(chan *transport.EndpointList, 9), make(chan watchEnd, 9), make(chan time.Time, 9)},
		peer:              peertest.NewPeer(t, "127.5.0.1"),
		timers:            peertest.NewTimers(),
	}
	h.Client = New(dialer, h.peer.Addr, time.Second, h.recordingListener)
	h.afterFunc = h.timers.AfterFunc
	t.Cleanup(h.Stop)
	return h
}

// nextRevision waits for the next list and returns its revision.
func (h *harness) nextRevision(t *testing.T) int64 {
	t.Helper()
	return peertest.Next(t, h.lists).Revision
}

// nextReason waits for the end of a watch and returns its reason.
func (h *harness) nextReason(t *testing.T) string {
	t.Helper()
	return peertest.Next(t, h.ends).reason
}

// Answers of the service. The first two stay open; the body follows.
const (
	answerChunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	answerUnsized = "HTTP/1.1 200 OK\r\n\r\n"
	answerBusy    = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
)
