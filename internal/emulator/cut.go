package emulator

import (
	"net"
	"net/http"
	"syscall"
	"time"
)

// CutKind says what becomes of new connections while a discovery service is cut off.
type CutKind int

// Kinds of cuts.
const (
	CutUnreachable CutKind = iota // they are not established
	CutUnanswered                 // they are established, and nothing that is sent on them is answered
)

// fillTimeout is the time for the connection that takes the last room of a listener.
const fillTimeout = 100 * time.Millisecond

// String returns a name for the output of tests.
func (k CutKind) String() string { return [...]string{"unreachable", "unanswered"}[k] }

// Cut cuts discovery off for a time. Open watches stay open and silent for good; requests of the time are not answered.
func (d *Discovery) Cut(kind CutKind, length time.Duration) {
	d.mu.Lock()
	d.cuts++
	d.cutKind, d.cutUntil = kind, time.Now().Add(length)
	d.mu.Unlock()
	if kind == CutUnreachable { // wakes the listener, which waits for a connection
		if conn, err := net.Dial("tcp", d.Addr); err == nil {
			time.AfterFunc(length, func() { _ = conn.Close() })
		}
	}
}

// cutsSoFar returns the number of cuts. A watch that was opened before the latest one is silent.
func (d *Discovery) cutsSoFar() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cuts
}

// remainingCut returns for how long requests (kind CutUnanswered) or connections (CutUnreachable) are still cut off.
func (d *Discovery) remainingCut(kind CutKind) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cutKind != kind {
		return 0
	}
	return time.Until(d.cutUntil)
}

// stayCutOff holds a request that came while discovery was cut off until the cut is over, and then ends its connection.
func (d *Discovery) stayCutOff() {
	if remaining := d.remainingCut(CutUnanswered); remaining > 0 {
		time.Sleep(remaining)
		panic(http.ErrAbortHandler)
	}
}

// cutListener establishes no connection while discovery is unreachable.
type cutListener struct {
	net.Listener
	discovery *Discovery
}

// Accept implements net.Listener. The first connection during a cut is held without a word; there is no room for further
// ones, so that the kernel drops their requests.
func (l cutListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.discovery.remainingCut(CutUnreachable) <= 0 {
			return conn, nil
		}
		setBacklog(l.Listener, 0)
		filler, err := net.DialTimeout("tcp", l.Addr().String(), fillTimeout)
		time.Sleep(l.discovery.remainingCut(CutUnreachable))
		if err == nil { // otherwise another connection has taken the room
			_ = filler.Close()
		}
		_ = conn.Close()
		setBacklog(l.Listener, syscall.SOMAXCONN)
	}
}
