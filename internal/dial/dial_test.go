package dial

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type heard struct {
	data chan string
	down chan error
}

func (h heard) Data(b []byte)    { h.data <- string(b) }
func (h heard) Down(cause error) { h.down <- cause }

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
	require.True(t, l.Up())
	require.Zero(t, d.Open())
}

func TestALineThatComesUpWhileItIsCutCarriesNothing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.3.2.2:0")
	require.NoError(t, err)
	defer ln.Close()
	d, err := New("test", 4)
	require.NoError(t, err)
	defer d.Stop()
	up := make(chan struct{})
	d.Connect = func(_ context.Context, addr string) (net.Conn, error) {
		c, err := net.Dial("tcp", addr)
		<-up
		return c, err
	}
	l := d.Dial(ln.Addr().String(), time.Minute, heard{make(chan string, 9), make(chan error, 9)})
	l.Write([]byte("call"))
	c, err := ln.Accept()
	require.NoError(t, err)
	// Those who want the line's lock queue: first the cut, then the line that comes up, which gets it as soon as the cut
	// lets go of it.
	l.mu.Lock()
	cut := make(chan bool)
	go func() { cut <- l.Cut() }()
	queued(t, 1)
	close(up)
	queued(t, 2)
	l.mu.Unlock()
	l.mu.Lock() // who was woken finds it taken again, and from then on it is handed to who waits, in turn
	queued(t, 2)
	l.mu.Unlock()
	sent := <-cut
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	got, _ := io.ReadAll(c)
	require.Equal(t, sent, string(got) == "call", "what counts as never sent was sent: %q", got)
}

// queued waits until so many goroutines stand at a line's lock, and for long enough that the lock is handed on in turn.
func queued(t *testing.T, n int) {
	t.Helper()
	standing := func() int {
		b := make([]byte, 1<<20)
		return strings.Count(string(b[:runtime.Stack(b, true)]), "dial.(*Line).finish(") +
			strings.Count(string(b[:runtime.Stack(b, true)]), "dial.(*Line).Sent(") +
			strings.Count(string(b[:runtime.Stack(b, true)]), "dial.(*Line).connected(")
	}
	require.Eventually(t, func() bool { return standing() >= n }, 5*time.Second, 2*time.Millisecond)
	for began := time.Now(); time.Since(began) < 3*time.Millisecond; { // then a lock goes to who has waited longest
		runtime.Gosched()
	}
}
