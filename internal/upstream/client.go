// Package upstream sends calls to endpoints over reused HTTP/1.1 connections and reports how each call ended. It makes
// no decisions: the scheduler chooses the endpoint of each call and acts on its result.
//
// A Client owns its connections. A connection carries at most one call at a time; otherwise it is idle and listed under
// its endpoint; see connectionState. An idle connection is closed when its idle time is over, when room is needed or by
// CloseIdle. A connection with a call is closed when the call fails or its answer forbids reuse. One lock, Client.mu,
// guards the client and all its connections. It must be taken before the lock of a dial.Conn.
package upstream

import (
	"sync"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/http1"
	"spanflow/transport"
)

const (
	maxAnswerBytes    = 64 << 10         // limit of an answer's body
	unreadBufferBytes = 4 << 10          // size of a read from a connection whose call is about to time out
	dataDeliveryTime  = time.Millisecond // time allowed for bytes already read to reach connection.Data

	// defaultReuseDelay is how long a connection must be silent after an answer before it is reused. Without it, a
	// second copy of the answer or stray bytes after it could be taken for the answer to the next call. It delays calls
	// that follow each other closely on a connection.
	defaultReuseDelay = 3 * time.Millisecond
)

// Settings are the client's timeouts and the names of the load report fields that it reads.
type Settings struct {
	ConnectTimeout time.Duration // limit for establishing a connection
	IdleTimeout    time.Duration // idle connections are closed after this time
	LimitField     string        // load report field with the limit in calls per second
	ShareField     string        // load report field with the remaining share of the limit
	ReuseDelay     time.Duration // silence required after an answer before reuse; 0 means 3 ms
}

// Client manages the connections to all endpoints and the calls on them. It is safe for concurrent use.
type Client struct {
	dialer   *dial.Dialer
	results  transport.ResultListener
	settings Settings

	mu   sync.Mutex
	idle map[uint64][]*connection // by endpoint ID, most recently used last
	// maybeUnsent is the set of connections whose call may still be completely unwritten.
	maybeUnsent map[*connection]struct{}
}

// New returns a client without connections. It reports the end of each call to results. It dials through d, which the
// caller has to stop.
func New(d *dial.Dialer, results transport.ResultListener, settings Settings) *Client {
	if settings.ReuseDelay == 0 {
		settings.ReuseDelay = defaultReuseDelay
	}
	return &Client{
		dialer:      d,
		results:     results,
		settings:    settings,
		idle:        map[uint64][]*connection{},
		maybeUnsent: map[*connection]struct{}{},
	}
}

// Send starts a call on the most recently used idle connection to its endpoint, or on a new one if there is none. The
// call must not be changed until its result has been reported to the listener.
func (cl *Client) Send(call *transport.Call) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	conn := cl.takeIdle(call.EndpointID)
	if conn == nil {
		conn = cl.connect(call)
	}
	conn.begin(call)
}

// CancelUnsent ends the calls to an endpoint that are completely unwritten, with ResultCancelled. The connection of
// such a call is not established yet or still has to stay silent for ReuseDelay.
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

// CloseIdle closes the idle connections to an endpoint.
func (cl *Client) CloseIdle(endpointID uint64) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, conn := range cl.idle[endpointID] {
		conn.timer.Stop()
		conn.close()
	}
	delete(cl.idle, endpointID)
}

// IdleConnections returns the number of idle connections to all endpoints.
func (cl *Client) IdleConnections() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	n := 0
	for _, conns := range cl.idle {
		n += len(conns)
	}
	return n
}

// takeIdle removes the most recently used idle connection to an endpoint from the list and returns it, or nil if none
// can be reused. It discards connections that have ended or received unexpected bytes. The lock is held.
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

// connect dials a new connection for a call. The caller assigns the call to it. The lock is held.
func (cl *Client) connect(call *transport.Call) *connection {
	if cl.dialer.Full() {
		cl.closeLongestIdle()
	}
	conn := &connection{client: cl, endpointID: call.EndpointID, reader: http1.Reader{MaxBody: maxAnswerBytes}}
	conn.conn = cl.dialer.Dial(call.Address, cl.settings.ConnectTimeout, conn)
	cl.maybeUnsent[conn] = struct{}{}
	return conn
}

// closeLongestIdle closes the connection that has been idle longest, to make room for a new one. The lock is held.
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

// removeIdle removes a connection from the idle list, if it is listed, and invalidates its timer. The lock is held.
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
