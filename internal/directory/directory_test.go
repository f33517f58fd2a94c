package directory

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/dial"
	"spanflow/seam"
)

type desk struct {
	lists chan *seam.List
	ended chan string
	lost  chan string
	told  chan []uint64
}

func (d *desk) Listed(l *seam.List)    { d.lists <- l }
func (d *desk) WatchEnded(why string)  { d.ended <- why }
func (d *desk) NoticesLost(why string) { d.lost <- why }
func (d *desk) Told(doors []uint64)    { d.told <- doors }

func scene(t *testing.T) (*Directory, *desk, func() (net.Conn, string)) {
	ln, err := net.Listen("tcp", "127.5.0.1:0")
	require.NoError(t, err)
	dialer, err := dial.New("test", 8)
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close(); dialer.Stop() })
	k := &desk{make(chan *seam.List, 9), make(chan string, 9), make(chan string, 9), make(chan []uint64, 9)}
	d := New(dialer, ln.Addr().String(), time.Second, k)
	t.Cleanup(d.Stop)
	return d, k, func() (net.Conn, string) {
		c, err := ln.Accept()
		require.NoError(t, err)
		b := make([]byte, 4000)
		n, err := c.Read(b)
		require.NoError(t, err)
		return c, string(b[:n])
	}
}

const open = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func TestAWatchTellsChangesAndItsEnd(t *testing.T) {
	d, k, accept := scene(t)
	d.Watch(41)
	c, asked := accept()
	require.Contains(t, asked, "GET /v1/endpoints?stream=1&index=41 HTTP/1.1\r\n")
	c.Write([]byte(open + "1\r\n\n\r\n" + "1a\r\n{\"rev\":43,\"all\":false,\"tar\r\n"))
	c.Write([]byte("2d\r\ngets\":[{\"uid\":\"s1\",\"state\":\"left\"}]}\n{\"rev\":\r\n"))
	l := <-k.lists
	require.Equal(t, seam.List{Rev: 43, Targets: []seam.Target{{UID: "s1", State: "left"}}}, *l)
	c.Close()
	<-k.ended
}

func TestALineThatCannotBeReadEndsTheWatchAndTellsNothing(t *testing.T) {
	d, k, accept := scene(t)
	d.Watch(1)
	c, _ := accept()
	c.Write([]byte(open + "5\r\n{bad\n\r\n"))
	require.Contains(t, <-k.ended, "cannot be read")
	d.Watch(1)
	c, _ = accept()
	c.Write([]byte("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"))
	require.Equal(t, "answered 503", <-k.ended)
	require.Empty(t, k.lists)
}

func TestNoticesAreSentAgainUntilAnswered(t *testing.T) {
	d, k, accept := scene(t)
	d.Notify(seam.Final{Door: 1, ID: "a", Outcome: seam.Returned, AfterMs: 500})
	c, said := accept()
	require.Contains(t, said, `{"id":"a","state":"returned","after_ms":500}`+"\n")
	d.Notify(seam.Final{Door: 2, ID: "b", Outcome: seam.Abandoned}) // while a call is out
	c.Close()
	<-k.lost
	c, said = accept()
	require.Contains(t, said, `{"id":"a","state":"returned","after_ms":500}`+"\n"+`{"id":"b","state":"failed"}`+"\n")
	c.Write([]byte("HTTP/1.1 204 None\r\n\r\n"))
	require.Equal(t, []uint64{1, 2}, <-k.told)
}

func TestANoticeOnASilentConnectionIsSentOnANewOne(t *testing.T) {
	d, k, accept := scene(t)
	d.Notify(seam.Final{Door: 1, ID: "a", Outcome: seam.Abandoned})
	accept() // and no word
	require.Equal(t, "no answer", <-k.lost)
	c, _ := accept()
	c.Write([]byte("HTTP/1.1 204 None\r\n\r\n"))
	require.Equal(t, []uint64{1}, <-k.told)
}

func TestASilentWatchEnds(t *testing.T) {
	d, k, accept := scene(t)
	d.Watch(1)
	c, _ := accept()
	c.Write([]byte(open + "1\r\n\n\r\n"))
	require.Equal(t, "silent", <-k.ended)
}

func TestWhereOnlyNoticesGoTheListIsNotAskedForAfterAMove(t *testing.T) {
	d, k, accept := scene(t)
	d.Move(d.addr, 7)
	d.Notify(seam.Final{Door: 1, ID: "a", Outcome: seam.Abandoned})
	c, said := accept()
	require.Contains(t, said, "POST /v1/notices")
	c.Write([]byte("HTTP/1.1 204 None\r\n\r\n"))
	require.Equal(t, []uint64{1}, <-k.told)
	require.Nil(t, d.watch)
}
