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

type heard struct {
	data chan string
	down chan error
}

func (h heard) Data(b []byte)      { h.data <- string(b) }
func (h heard) Closed(cause error) { h.down <- cause }

func TestALineCarriesBytesBothWaysAndTellsItsEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.3.2.1:0")
	require.NoError(t, err)
	d, err := New("test", 4)
	require.NoError(t, err)
	h := heard{make(chan string, 9), make(chan error, 9)}
	l := d.Dial(ln.Addr().String(), time.Second, h)
	l.Write([]byte("early"))
	c, err := ln.Accept()
	require.NoError(t, err)
	got := make([]byte, 5)
	_, err = c.Read(got)
	require.NoError(t, err)
	require.Equal(t, "early", string(got))
	c.Write([]byte("back"))
	require.Equal(t, "back", <-h.data)
	require.True(t, l.Sent())
	c.Close()
	<-h.down
	require.True(t, l.Connected())
	require.Zero(t, d.Open())
}

const (
	// starvedAfter is longer than a goroutine waits for a sync.Mutex (1 ms) until the lock is handed to who has waited
	// longest.
	starvedAfter = 2 * time.Millisecond
	endWithin    = 30 * time.Second // only a line that is never closed gets there
)

// A line that comes up between two steps of the cut must not carry what the cut says was never sent. The order is
// brought about by the line's lock: the cut waits for it first, and the line that comes up is next.
func TestALineThatComesUpWhileItIsCutCarriesNothing(t *testing.T) {
	const tries = 100
	ln, err := net.Listen("tcp", "127.3.2.2:0")
	require.NoError(t, err)
	defer ln.Close()
	d, err := New("test", 4)
	require.NoError(t, err)
	defer d.Stop()
	for range tries {
		if comesUpWhileCut(t, d, ln) {
			return
		}
	}
	require.Fail(t, "the line never came up while it was cut", "%d tries", tries)
}

// comesUpWhileCut cuts a line that comes up and requires that the cut tells truly if the line carried anything. inOrder
// tells that the line came up right after the cut's first hold of the lock; else the cut overtook the test.
func comesUpWhileCut(t *testing.T, d *Dialer, ln net.Listener) (inOrder bool) {
	t.Helper()
	up := make(chan struct{})
	d.Connect = func(_ context.Context, addr string) (net.Conn, error) {
		c, err := net.Dial("tcp", addr)
		<-up
		return c, err
	}
	l := d.Dial(ln.Addr().String(), time.Hour, heard{make(chan string, 9), make(chan error, 9)})
	l.Write([]byte("call"))
	c, err := ln.Accept()
	require.NoError(t, err)
	defer c.Close()
	cut := make(chan bool, 1)
	l.mu.Lock()
	go func() { cut <- l.Abort() }()
	emulator.AwaitAtLock(t, "dial.(*Conn).Abort(")
	close(up)
	emulator.AwaitAtLock(t, "dial.(*Conn).connected(")
	time.Sleep(starvedAfter)
	l.mu.Unlock()
	l.mu.Lock() // mostly the cut, which was woken, finds it taken again: from then on the lock is handed on in turn
	if inOrder = !l.over && !l.up; inOrder {
		emulator.AwaitAtLock(t, "dial.(*Conn).Abort(")
		emulator.AwaitAtLock(t, "dial.(*Conn).connected(")
	}
	l.mu.Unlock()
	sent := <-cut
	require.NoError(t, c.SetReadDeadline(time.Now().Add(endWithin)))
	got, err := io.ReadAll(c)
	require.NoError(t, err, "the line stays open")
	require.Equal(t, sent, string(got) == "call", "what counts as never sent was sent: %q", got)
	return inOrder
}
