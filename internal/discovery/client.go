// Package discovery watches the discovery service's list of endpoints: one HTTP request whose answer stays open, with
// one JSON object for the list and for each change of it.
package discovery

import (
	"strconv"
	"sync"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/http1"
	"spanflow/transport"
)

const (
	maxLineBytes      = 4 << 20                   // of one object of a watch, unless Client.MaxLineBytes says otherwise
	heartbeatInterval = 2 * time.Second           // between two empty lines that the service sends without a change
	answerTimeout     = 2 * time.Second           // to the first line, once the connection is up
	silenceTimeout    = heartbeatInterval * 3 / 2 // between two lines
	promptAnswer      = 500 * time.Millisecond    // an answer within this did not wait behind other requests
)

// DefaultMaxObjectBytes is the bound of one object of a watch, in bytes, where Client.MaxLineBytes is not set.
const DefaultMaxObjectBytes = maxLineBytes

// Client watches the list at one address, on one connection at a time. It is safe for concurrent use.
type Client struct {
	// MaxObjectBytes bounds one object of a watch, in bytes; 0: DefaultMaxLineBytes. It is set before the first Watch.
	MaxObjectBytes int

	dialer         *dial.Dialer
	connectTimeout time.Duration
	listener       transport.EndpointListener

	mu      sync.Mutex // held also while the listener is called
	addr    string
	watch   *watch // nil: none is open
	watched bool   // Watch has been called
	stopped bool

	// The clock, and what starts every timer; tests replace them.
	now       func() time.Time
	afterFunc func(time.Duration, func()) *time.Timer
}

// New returns a client that has no connection yet. The dialer stays the caller's; a connection that takes longer than
// connectTimeout has failed.
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

// Watch asks for the changes since a revision, on a new connection. An earlier watch is closed and reports nothing
// more. The listener receives each list, and once the end of the watch.
func (c *Client) Watch(revision int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return
	}
	if c.watch != nil {
		c.watch.close()
	}
	w := &watch{client: c, revision: revision, started: c.now(), objects: objectReader{maxBytes: c.lineLimit()}}
	c.watch, c.watched = w, true
	w.conn = c.dialer.Dial(c.addr, c.connectTimeout, w)
	path := "/v1/endpoints?stream=1&index=" + strconv.FormatInt(revision, 10)
	w.conn.Write(append(http1.AppendRequestLine(nil, "GET", path, c.addr), "\r\n"...))
	w.expectLine(c.connectTimeout + answerTimeout)
}

// Reconfigure changes the service's address. A list that was watched is watched at the new one from a revision on.
func (c *Client) Reconfigure(addr string, revision int64) {
	c.mu.Lock()
	c.addr = addr
	watched := c.watched
	c.mu.Unlock()
	if watched {
		c.Watch(revision)
	}
}

// Stop closes the connection and opens no other. It is not reported to the listener.
func (c *Client) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.watch != nil {
		c.watch.close()
	}
}

func (c *Client) lineLimit() int {
	if c.MaxObjectBytes > 0 {
		return c.MaxObjectBytes
	}
	return maxLineBytes
}
