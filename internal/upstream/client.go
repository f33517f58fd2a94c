// Package upstream sends calls to endpoints over reused HTTP/1.1 connections and reports how each call ended. It makes
// no decisions: which call goes where, and what follows from its result, is the scheduler's.
//
// A Client owns its connections. Each carries one call at a time and is either idle, listed under its endpoint, or has
// a call; see connectionState. The package alone closes them: an idle one when its idle time is over, when room is
// needed or when CloseIdle asks for it, one with a call when the call fails or its answer forbids reuse. One lock,
// Client.mu, guards the client and all its connections; it is taken before the lock of a dial.Conn, never after.
package upstream

import (
	"sync"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/http1"
	"spanflow/transport"
)

const (
	maxAnswerBytes    = 64 << 10         // of an answer's body
	unreadBufferBytes = 4 << 10          // read at once from a connection whose call is about to time out
	dataHandoverTime  = time.Millisecond // within which bytes that were read reach connection.Data

	// defaultReuseProof is the silence after an answer that lets a connection be reused: without it a second copy of the
	// answer, or stray bytes after it, could be taken for the answer to the next call. It delays calls that follow each
	// other closely on a connection.
	defaultReuseProof = 3 * time.Millisecond
)

// Settings are the client's timeouts and the fields of load reports that it reads.
type Settings struct {
	ConnectTimeout time.Duration // limit for establishing a connection
	IdleTimeout    time.Duration // idle connections are closed after this time
	LimitField     string        // field of a load report that has the limit in calls a second
	ShareField     string        // field of a load report that has the remaining share of the limit
	ReuseDelay     time.Duration // how long a connection must be silent after an answer before its reuse; 0: 3 ms
}

// Client holds the connections to all endpoints and the calls on them. It is safe for concurrent use.
type Client struct {
	dialer   *dial.Dialer
	results  transport.ResultListener
	settings Settings

	mu   sync.Mutex
	idle map[uint64][]*connection // by endpoint ID, the most recently used last
	// maybeUnsent has the connections with a call of which perhaps nothing has been written.
	maybeUnsent map[*connection]struct{}
}

// New returns a client without connections. It dials through d, which stays the caller's to stop, and reports the end
// of each call to results.
func New(d *dial.Dialer, results transport.ResultListener, settings Settings) *Client {
	if settings.ReuseDelay == 0 {
		settings.ReuseDelay = defaultReuseProof
	}
	return &Client{
		dialer:      d,
		results:     results,
		settings:    settings,
		idle:        map[uint64][]*connection{},
		maybeUnsent: map[*connection]struct{}{},
	}
}

// Send begins a call, on the most recently used idle connection to its endpoint or else on a new one. The result is
// reported to the listener; the call must not be changed until then.
func (cl *Client) Send(call *transport.Call) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	conn := cl.takeIdle(call.EndpointID)
	if conn == nil {
		conn = cl.connect(call)
	}
	conn.begin(call)
}

// CancelUnsent ends the calls to an endpoint of which nothing has been written, with ResultCancelled: their connection
// is not established, or not proven silent.
func (cl *Client) CancelUnsent(endpointID uint64) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for conn := range cl.maybeUnsent {
		if conn.endpointID != endpointID {
			continue
		}
		if conn.state == awaitingSilence {
			conn.close()
		} else if !conn.conn.CloseUnlessConnected() {
			continue
		}
		conn.finish(conn.sameCodes(transport.ResultCancelled), "")
	}
}

// CloseIdle closes the connections to an endpoint that carry no call.
func (cl *Client) CloseIdle(endpointID uint64) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, conn := range cl.idle[endpointID] {
		conn.timer.Stop()
		conn.close()
	}
	delete(cl.idle, endpointID)
}

// IdleConnections returns the number of connections that carry no call.
func (cl *Client) IdleConnections() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	n := 0
	for _, conns := range cl.idle {
		n += len(conns)
	}
	return n
}

// takeIdle removes the most recently used idle connection to an endpoint from the list and returns it, nil if there is
// none that can be reused. The lock is held.
func (cl *Client) takeIdle(endpointID uint64) *connection {
	for {
		conns := cl.idle[endpointID]
		if len(conns) == 0 {
			return nil
		}
		conn := conns[len(conns)-1]
		cl.removeIdle(conn)
		if conn.conn.IsQuiet() {
			return conn
		}
		conn.close()
	}
}

// connect dials a new connection for a call, which the caller puts on it. The lock is held.
func (cl *Client) connect(call *transport.Call) *connection {
	if cl.dialer.Full() {
		cl.closeLongestIdle()
	}
	conn := &connection{client: cl, endpointID: call.EndpointID, reader: http1.Reader{MaxBody: maxAnswerBytes}}
	conn.conn = cl.dialer.Dial(call.Address, cl.settings.ConnectTimeout, conn)
	cl.maybeUnsent[conn] = struct{}{}
	return conn
}

// closeLongestIdle closes the connection that has been idle longest, so that a call finds a descriptor. The lock is
// held.
func (cl *Client) closeLongestIdle() {
	var longest *connection
	for _, conns := range cl.idle {
		if longest == nil || conns[0].idleSince.Before(longest.idleSince) {
			longest = conns[0]
		}
	}
	if longest != nil {
		cl.removeIdle(longest)
		longest.close()
	}
}

// removeIdle takes a connection off the idle ones, if it is one, and invalidates its timer. The lock is held.
func (cl *Client) removeIdle(conn *connection) {
	if conn.timer != nil {
		conn.timer.Stop()
	}
	conn.generation++
	conns := cl.idle[conn.endpointID]
	for i, other := range conns {
		if other == conn {
			conns = append(conns[:i], conns[i+1:]...)
			break
		}
	}
	if len(conns) == 0 {
		delete(cl.idle, conn.endpointID)
	} else {
		cl.idle[conn.endpointID] = conns
	}
}
