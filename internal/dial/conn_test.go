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

// eventRecorder is a Handler that passes its calls to the test.
type eventRecorder struct {
	data   chan string
	closed chan error
}

func (h eventRecorder) Data(b []byte)      { h.data <- string(b) }
func (h eventRecorder) Closed(cause error) { h.closed <- cause }

func newEventRecorder() eventRecorder {
	return eventRecorder{data: make(chan string, 9), closed: make(chan error, 9)}
}

func TestConnectionExchangesDataAndReportsClose(t *testing.T) {
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
	// mutexStarvationTime is longer than the 1 ms after which sync.Mutex hands the lock to the goroutine that has
	// waited longest.
	mutexStarvationTime = 2 * time.Millisecond
	closeTimeout        = 30 * time.Second // exceeded only if the connection is never closed
)

// Guards against a connection that is established between two steps of Abort and then carries bytes that Abort reports
// as never sent. The connection's lock enforces the order: Abort waits for it first, then the establishing goroutine.
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

// connectsDuringAbort aborts a connection that is being established and requires that Abort reports correctly whether
// the connection carried anything. It returns true if the connection was established right after Abort first released
// the lock, and false if Abort finished before that.
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
	emulator.AwaitBlockedOnLock(t, "dial.(*Conn).Abort(")
	close(establish)
	emulator.AwaitBlockedOnLock(t, "dial.(*Conn).connected(")
	time.Sleep(mutexStarvationTime)
	conn.mu.Unlock()
	conn.mu.Lock() // Abort usually finds the lock taken again; after that, waiters get it in turn
	if inOrder = conn.state == connecting; inOrder {
		emulator.AwaitBlockedOnLock(t, "dial.(*Conn).Abort(")
		emulator.AwaitBlockedOnLock(t, "dial.(*Conn).connected(")
	}
	conn.mu.Unlock()
	sent := <-aborted
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(closeTimeout)))
	got, err := io.ReadAll(peer)
	require.NoError(t, err, "the connection is not closed")
	require.Equal(t, sent, string(got) == "call", "the result of Abort does not match what the peer received: %q", got)
	return inOrder
}
