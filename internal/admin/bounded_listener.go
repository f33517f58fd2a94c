package admin

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// boundedListener keeps a bounded number of connections open. For a new one over the bound it closes the oldest on
// which no request has arrived yet or, if there is none, the new one.
type boundedListener struct {
	net.Listener
	max int

	mu    sync.Mutex
	conns map[net.Conn]*connState
}

// connState is what is known of an open connection.
type connState struct {
	since  time.Time
	active bool // a request has arrived on it
}

func newBoundedListener(l net.Listener, maxConns int) *boundedListener {
	return &boundedListener{Listener: l, max: maxConns, conns: map[net.Conn]*connState{}}
}

// Accept waits for a connection that may stay open.
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

// admit makes room for a connection, if it can, and counts it.
func (b *boundedListener) admit(conn net.Conn) bool {
	b.mu.Lock()
	var oldest net.Conn
	if len(b.conns) >= b.max {
		if oldest = b.oldestIdle(); oldest == nil {
			b.mu.Unlock()
			return false
		}
		delete(b.conns, oldest)
	}
	b.conns[conn] = &connState{since: time.Now()}
	b.mu.Unlock()
	if oldest != nil {
		oldest.Close() // without the lock: the server reports it to track
	}
	return true
}

// oldestIdle returns the connection that has been open longest without a request, nil if there is none. The lock is
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

// track follows the server's view of each connection; see http.Server.ConnState.
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
