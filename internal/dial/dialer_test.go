package dial

import (
	"io"
	"net"
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
