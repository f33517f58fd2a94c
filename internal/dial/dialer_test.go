package dial

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestDialerCountsBytesOfAllConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	d, err := New("test", 4)
	require.NoError(t, err)
	defer d.Stop()
	for range 2 {
		h := newEventRecorder()
		conn := d.Dial(ln.Addr().String(), time.Second, h)
		conn.Write([]byte("question"))
		peer, err := ln.Accept()
		require.NoError(t, err)
		_, err = io.ReadFull(peer, make([]byte, len("question")))
		require.NoError(t, err)
		_, err = peer.Write([]byte("answer"))
		require.NoError(t, err)
		require.Equal(t, "answer", <-h.data)
		peer.Close()
		<-h.closed
	}
	require.EqualValues(t, 2*len("question"), d.Sent.Load())
	require.EqualValues(t, 2*len("answer"), d.Received.Load())
}

// Guards against a call that reaches its endpoint after its process has handed over to the successor.
func TestConnectionEstablishedAfterStopCarriesNothing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	d, err := New("test", 4)
	require.NoError(t, err)
	proceed := make(chan struct{})
	d.Connect = func(_ context.Context, addr string) (net.Conn, error) {
		<-proceed
		return net.Dial("tcp", addr)
	}
	h := newEventRecorder()
	d.Dial(ln.Addr().String(), time.Second, h).Write([]byte("question"))
	d.Stop()
	close(proceed)
	peer, err := ln.Accept()
	require.NoError(t, err)
	defer peer.Close()
	require.NoError(t, peer.SetReadDeadline(time.Now().Add(time.Second)))
	text, err := io.ReadAll(peer)
	require.Empty(t, text)
	require.NoError(t, err, "the connection is not closed")
}

// Guards against calls that are still in progress when the successor takes over.
func TestStopClosesConnectionsBeforeReturning(t *testing.T) {
	const connections = 200
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	d, err := New("test", connections)
	require.NoError(t, err)
	var peers []net.Conn
	for range connections {
		d.Dial(ln.Addr().String(), time.Second, newEventRecorder()).Write([]byte("question"))
		peer, err := ln.Accept()
		require.NoError(t, err)
		defer peer.Close()
		_, err = io.ReadFull(peer, make([]byte, len("question")))
		require.NoError(t, err)
		peers = append(peers, peer)
	}
	d.Stop()
	for _, peer := range peers {
		raw, err := peer.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		require.NoError(t, raw.Control(func(fd uintptr) {
			n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_DONTWAIT)
			require.NoError(t, err, "still open")
			require.Zero(t, n)
		}))
	}
}
