package dial

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestADialerCountsTheBytesOfAllItsLines(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	d, err := New("test", 4)
	require.NoError(t, err)
	defer d.Stop()
	for range 2 {
		h := heard{make(chan string, 9), make(chan error, 9)}
		l := d.Dial(ln.Addr().String(), time.Second, h)
		l.Write([]byte("question"))
		c, err := ln.Accept()
		require.NoError(t, err)
		_, err = io.ReadFull(c, make([]byte, len("question")))
		require.NoError(t, err)
		_, err = c.Write([]byte("answer"))
		require.NoError(t, err)
		require.Equal(t, "answer", <-h.data)
		c.Close()
		<-h.down
	}
	require.EqualValues(t, 2*len("question"), d.Sent.Load())
	require.EqualValues(t, 2*len("answer"), d.Received.Load())
}
