// Package peertest lets a test be the other end of a client's connections, and its clock. Only tests import it.
package peertest

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Patience limits waits that would otherwise hang; no test measures against it.
const Patience = 15 * time.Second

// Next waits for the next value.
func Next[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(Patience):
		require.FailNow(t, "nothing came")
		panic("unreachable")
	}
}

// Timer is a timer that fires when the test calls Fire, and at no time of its own.
type Timer struct {
	Wait time.Duration
	Fire func()
}

const maxTimers = 99 // started and not yet taken by the test

// Timers are the timers that a client started, in their order.
type Timers struct{ started chan Timer }

// NewTimers returns an empty Timers.
func NewTimers() *Timers { return &Timers{make(chan Timer, maxTimers)} }

// AfterFunc takes the place of time.AfterFunc.
func (s *Timers) AfterFunc(wait time.Duration, fire func()) *time.Timer {
	s.started <- Timer{wait, fire}
	unused := time.NewTimer(time.Hour)
	unused.Stop()
	return unused
}

// Next waits for the next timer to be started.
func (s *Timers) Next(t *testing.T) Timer {
	t.Helper()
	return Next(t, s.started)
}

// Peer accepts connections. It holds all of them until the test is over: one that a test lets go of would be closed by
// the garbage collector, and the client would see its end in place of silence.
type Peer struct {
	Addr     string
	listener *net.TCPListener
	accepted []net.Conn
}

const maxRequest = 4000 // bytes

// NewPeer listens at a free port of an address until the test is over.
func NewPeer(t *testing.T, host string) *Peer {
	t.Helper()
	l, err := net.Listen("tcp", host+":0")
	require.NoError(t, err)
	p := &Peer{Addr: l.Addr().String(), listener: l.(*net.TCPListener)}
	t.Cleanup(func() {
		l.Close()
		for _, c := range p.accepted {
			c.Close()
		}
	})
	return p
}

// Accept waits for the next connection and returns it with the first bytes of its request.
func (p *Peer) Accept(t *testing.T) (conn net.Conn, request string) {
	t.Helper()
	require.NoError(t, p.listener.SetDeadline(time.Now().Add(Patience)))
	conn, err := p.listener.Accept()
	require.NoError(t, err)
	p.accepted = append(p.accepted, conn)
	return conn, Read(t, conn)
}

// Read returns the bytes that come next on a connection.
func Read(t *testing.T, conn net.Conn) string {
	t.Helper()
	b := make([]byte, maxRequest)
	n, err := conn.Read(b)
	require.NoError(t, err)
	return string(b[:n])
}
