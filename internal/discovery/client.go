// Package discovery watches the discovery service's list of endpoints. A watch is one HTTP request whose answer stays
// open and carries a JSON object for the list and for each later change of it.
package discovery

import (
	"strconv"
	"sync"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/http1"
	"spanflow/internal/membudget"
	"spanflow/transport"
)

const (
	maxLineBytes      = 4 << 20                   // limit of one object, unless Client.MaxObjectBytes is set
	heartbeatInterval = 2 * time.Second           // the service sends an empty line at this interval if nothing changes
	answerTimeout     = 2 * time.Second           // from establishing the connection to the first line
	silenceTimeout    = heartbeatInterval * 3 / 2 // limit of the time between two lines
	promptAnswer      = 500 * time.Millisecond    // a request answered faster did not queue at the service
)

// DefaultMaxObjectBytes is the limit of one JSON object, in bytes, if Client.MaxObjectBytes is 0.
const DefaultMaxObjectBytes = maxLineBytes

// Client watches the list at one address, on one connection at a time. It is safe for concurrent use.
type Client struct {
	// MaxObjectBytes limits one JSON object of a watch, in bytes. 0 means DefaultMaxObjectBytes. It must be set before
	// the first call of Watch.
	MaxObjectBytes int
	// MaxEntries limits the JSON objects within one object of a watch, of which each endpoint takes one. 0 means unlimited.
	// It must be set before the first call of Watch.
	MaxEntries int
	// MaxBytesPerSecond limits the rate of a watch. 0 means unlimited. It must be set before the first call of Watch.
	MaxBytesPerSecond int
	// Memory has the bytes of the lists that the listener has not applied yet; the listener releases the number in
	// EndpointList.Memory. Nil means unlimited. It must be set before the first call of Watch.
	Memory *membudget.Account

	dialer         *dial.Dialer
	connectTimeout time.Duration
	listener       transport.EndpointListener

	mu      sync.Mutex // held also while the listener is called
	addr    string
	watch   *watch // nil if none is open
	watched bool   // Watch has been called
	stopped bool

	// The clock and the function that starts timers, replaced by tests.
	now       func() time.Time
	afterFunc func(time.Duration, func()) *time.Timer
}

// New returns a client without a connection. A connection that is not established within connectTimeout has failed. The
// caller has to stop the dialer.
func New(d *dial.Dialer, addr string, connectTimeout time.Duration, listener transport.EndpointListener) *Client {
	return &Client{
		dialer:         d,
		addr:           addr,
		connectTimeout: connectTimeout,
		listener:       listener,
		now:            time.Now,
		afterFunc:      time.AfterFunc,
	}
}

// Watch requests the changes since a revision on a new connection. An earlier watch is closed and reports nothing more.
// The listener receives each list or change, and the end of the watch once.
func (c *Client) Watch(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	if c.watch != nil {
		c.watch.close()
	}
	now := c.now()
	w := &watch{client: c, revision: revision, started: now, lastLine: now, objects: c.newObjectReader()}
	c.watch, c.watched = w, true
	w.conn = c.dialer.Dial(c.addr, c.connectTimeout, w)
	path := "/v1/endpoints?stream=1&index=" + strconv.FormatInt(revision, 10)
	w.conn.Write(append(http1.AppendRequestLine(nil, "GET", path, c.addr), "\r\n"...))
	w.expectLine(c.connectTimeout + answerTimeout)
}

// LastLine returns when the last line arrived on the open watch or, if none did, when the watch was requested. It is zero if
// no watch is open.
func (c *Client) LastLine() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watch == nil {
		return time.Time{}
	}
	return c.watch.lastLine
}

// Reconfigure changes the service's address. If the client has been watching, it requests the changes since revision
// at the new address.
func (c *Client) Reconfigure(addr string, revision int64) {
	c.mu.Lock()
	c.addr = addr
	watched := c.watched
	c.mu.Unlock()
	if watched {
		c.Watch(revision)
	}
}

// Stop closes the connection for good, without a report to the listener.
func (c *Client) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.watch != nil {
		c.watch.close()
	}
}

func (c *Client) newObjectReader() objectReader {
	limit := c.MaxObjectBytes
	if limit == 0 {
		limit = maxLineBytes
	}
	return objectReader{maxBytes: limit, maxEntries: c.MaxEntries}
}
