// Package peertest lets a test act as the peer of a client's connections and control the client's timers. Only tests
// import it.
package peertest

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Timeout limits waits that would otherwise block forever. Tests do not use it to check how fast something is.
const Timeout = 15 * time.Second

const maxReports = 9 // maximum number of reports that the test has not received yet

// Next waits for the next value from a channel. It fails the test after Timeout.
func Next[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case got := <-from:
		return got
	case <-time.After(Timeout):
		require.FailNow(t, "timed out waiting for the next value")
		panic("unreachable")
	}
}

// Reports are the reports of a client, as text.
type Reports chan string

// NewReports returns reports without any that the test has not received yet.
func NewReports() Reports { return make(Reports, maxReports) }

// Expect waits for the given reports, in this order.
func (r Reports) Expect(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		require.Equal(t, w, Next(t, r))
	}
}

// longestTimer is the longest wait of the timers that StartOnlyShortTimers lets fire.
const longestTimer = 60 * time.Millisecond

// StartOnlyShortTimers replaces time.AfterFunc. Long timers never fire, so that no answer times out on a slow machine.
func StartOnlyShortTimers(wait time.Duration, fire func()) *time.Timer {
	timer := time.AfterFunc(wait, fire)
	if wait > longestTimer {
		timer.Stop()
	}
	return timer
}

// Timer is a timer that fires only when the test calls Fire.
type Timer struct {
	Wait time.Duration
	Fire func()
}

const maxTimers = 99 // maximum number of started timers that the test has not received yet

// Timers collects the timers that a client starts, in the order in which they are started.
type Timers struct{ started chan Timer }

// NewTimers returns Timers without any started timer.
func NewTimers() *Timers { return &Timers{make(chan Timer, maxTimers)} }

// AfterFunc replaces time.AfterFunc. The timer that it returns never fires.
func (s *Timers) AfterFunc(wait time.Duration, fire func()) *time.Timer {
	s.started <- Timer{wait, fire}
	unused := time.NewTimer(time.Hour)
	unused.Stop()
	return unused
}

// Next waits until the client starts the next timer.
func (s *Timers) Next(t *testing.T) Timer {
	t.Helper()
	return Next(t, s.started)
}

// Peer accepts connections and references all of them until the end of the test. The garbage collector would close an
// unreferenced connection, and the client would see the close instead of a silent peer.
type Peer struct {
	Addr     string
	listener *net.TCPListener
	accepted []net.Conn
}

const maxRequest = 4000 // bytes returned by one Read

// NewPeer listens on a free port of host until the end of the test.
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
	require.NoError(t, p.listener.SetDeadline(time.Now().Add(Timeout)))
	conn, err := p.listener.Accept()
	require.NoError(t, err)
	p.accepted = append(p.accepted, conn)
	return conn, Read(t, conn)
}

// Read returns the next bytes that arrive on a connection, at most 4,000.
func Read(t *testing.T, conn net.Conn) string {
	t.Helper()
	b := make([]byte, maxRequest)
	n, err := conn.Read(b)
	require.NoError(t, err)
	return string(b[:n])
}
