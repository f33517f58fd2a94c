package admin

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// boundedListener limits the number of open connections. For a new connection over the limit it closes the oldest one
// on which no request has arrived yet or, if there is none, the new one.
type boundedListener struct {
	net.Listener
	maxConns int

	mu    sync.Mutex
	conns map[net.Conn]*connState
}

// connState is the state of an open connection.
type connState struct {
	since  time.Time
	active bool // a request has arrived on it
}

func newBoundedListener(l net.Listener, maxConns int) *boundedListener {
	return &boundedListener{Listener: l, maxConns: maxConns, conns: map[net.Conn]*connState{}}
}

// Accept returns the next connection within the limit and closes those over it.
func (b *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if b.admit(conn) {
			return conn, nil
		}
		conn.Close()
	}
}

// admit registers a connection, closing an older one if necessary. It returns false if there is no room for it.
func (b *boundedListener) admit(conn net.Conn) bool {
	b.mu.Lock()
	var oldest net.Conn
	if len(b.conns) >= b.maxConns {
		if oldest = b.oldestIdle(); oldest == nil {
			b.mu.Unlock()
			return false
		}
		delete(b.conns, oldest)
	}
	b.conns[conn] = &connState{since: time.Now()}
	b.mu.Unlock()
	if oldest != nil {
		oldest.Close() // after unlocking, because the server then calls track, which locks
	}
	return true
}

// oldestIdle returns the connection that has been open longest without a request, or nil if there is none. The lock is
// held.
func (b *boundedListener) oldestIdle() net.Conn {
	var oldest net.Conn
	for conn, state := range b.conns {
		if !state.active && (oldest == nil || state.since.Before(b.conns[oldest].since)) {
			oldest = conn
		}
	}
	return oldest
}

// track records the state changes of connections; it is the http.Server's ConnState hook.
func (b *boundedListener) track(conn net.Conn, state http.ConnState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch state {
	case http.StateActive:
		if s := b.conns[conn]; s != nil {
			s.active = true
		}
	case http.StateClosed, http.StateHijacked:
		delete(b.conns, conn)
	}
}
