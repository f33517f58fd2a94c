package dial

import (
	"net"
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
