package dial

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// eventRecorder passes the calls of a Handler to a test.
type eventRecorder struct {
	data   chan string
	closed chan error
}

func (h eventRecorder) Data(b []byte)      { h.data <- string(b) }
func (h eventRecorder) Closed(cause error) { h.closed <- cause }

func newEventRecorder() eventRecorder {
	return eventRecorder{data: make(chan string, 9), closed: make(chan error, 9)}
}

func TestConnectionCarriesBytesBothWaysAndReportsItsEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.3.2.1:0")
	require.NoError(t, err)
	d, err := New("test", 4)
	require.NoError(t, err)
	h := newEventRecorder()
	conn := d.Dial(ln.Addr().String(), time.Second, h)
	conn.Write([]byte("early"))
	peer, err := ln.Accept()
	require.NoError(t, err)
	got := make([]byte, 5)
	_, err = peer.Read(got)
	require.NoError(t, err)
	require.Equal(t, "early", string(got))
	peer.Write([]byte("back"))
	require.Equal(t, "back", <-h.data)
	require.True(t, conn.Sent())
	peer.Close()
	<-h.closed
	require.True(t, conn.Connected())
	require.Zero(t, d.Open())
}

const (
	// starvedAfter is longer than a goroutine waits for a sync.Mutex (1 ms) until the lock is handed to who has waited
	// longest.
	starvedAfter = 2 * time.Millisecond
	closeTimeout = 30 * time.Second // only a connection that is never closed takes so long
)

// A connection that is established between two steps of Abort must not carry what Abort reports as never sent. The
// order is brought about by the connection's lock: Abort waits for it first, and the establishing goroutine is next.
func TestConnectionEstablishedDuringAbortCarriesNothing(t *testing.T) {
	const tries = 100
	ln, err := net.Listen("tcp", "127.3.2.2:0")
	require.NoError(t, err)
	defer ln.Close()
	d, err := New("test", 4)
	require.NoError(t, err)
	defer d.Stop()
	for range tries {
		if connectsDuringAbort(t, d, ln) {
			return
		}
	}
	require.Fail(t, "the connection was never established during Abort", "%d tries", tries)
}

// connectsDuringAbort aborts a connection that is being established and requires that Abort reports truly whether it
// carried anything. inOrder says that the connection was established right after Abort's first hold of the lock; else
// Abort overtook the test.
func connectsDuringAbort(t *testing.T, d *Dialer, ln net.Listener) (inOrder bool) {
	t.Helper()
	establish := make(chan struct{})
	d.Connect = func(_ context.Context, addr string) (net.Conn, error) {
		c, err := net.Dial("tcp", addr)
		<-establish
		return c, err
	}
	conn := d.Dial(ln.Addr().String(), time.Hour, newEventRecorder())
	conn.Write([]byte("call"))
	peer, err := ln.Accept()
	require.NoError(t, err)
	defer peer.Close()
	aborted := make(chan bool, 1)
	conn.mu.Lock()
	go func() { aborted <- conn.Abort() }()
	emulator.AwaitAtLock(t, "dial.(*Conn).Abort(")
	close(establish)
	emulator.AwaitAtLock(t, "dial.(*Conn).connected(")
	time.Sleep(starvedAfter)
	conn.mu.Unlock()
	conn.mu.Lock() // mostly Abort, which was woken, finds it taken again: from then on the lock is handed on in turn
	if inOrder = conn.state == connecting; inOrder {
		emulator.AwaitAtLock(t, "dial.(*Conn).Abort(")
		emulator.AwaitAtLock(t, "dial.(*Conn).connected(")
	}
	conn.mu.Unlock()
	sent := <-aborted
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(closeTimeout)))
	got, err := io.ReadAll(peer)
	require.NoError(t, err, "the connection stays open")
	require.Equal(t, sent, string(got) == "call", "what counts as never sent was sent: %q", got)
	return inOrder
}
