// Package notify sends notices: the final answers of messages that were not delivered and whose callers do not wait for
// them. It posts them to /v1/notices at the configured address, each repeatedly until it is acknowledged. A notice may
// therefore arrive more than once, which does no harm.
package notify

import (
	"sync"
	"time"

	"spanflow/internal/dial"
	"spanflow/transport"
)

const (
	maxNoticesPerCall = 512
	maxAnswerBytes    = 64 << 10
	answerTimeout     = 120 * time.Millisecond // notices are answered at once: after so long they go on a new connection
	maxDoublings      = 4                      // of that time while no call is answered: the round trip may be long
	retryDelay        = 50 * time.Millisecond  // after a call that failed
)

// Client sends notices to one address, a call at a time. It is safe for concurrent use.
type Client struct {
	dialer         *dial.Dialer
	connectTimeout time.Duration
	listener       transport.NoticeListener

	mu         sync.Mutex // held also while the listener is called
	addr       string
	conn       *connection             // nil: none is open
	waiting    []transport.FinalAnswer // not in a call
	unanswered int                     // calls in a row that were not answered in time
	stopped    bool

	afterFunc func(time.Duration, func()) *time.Timer // starts every timer; tests replace it
}

// New returns a client that has no connection yet. The dialer stays the caller's; a connection that takes longer than
// connectTimeout has failed.
func New(d *dial.Dialer, addr string, connectTimeout time.Duration, listener transport.NoticeListener) *Client {
	return &Client{
		dialer:         d,
		addr:           addr,
		connectTimeout: connectTimeout,
		listener:       listener,
		afterFunc:      time.AfterFunc,
	}
}

// Notify sends a notice until it is acknowledged, which is reported to the listener.
func (c *Client) Notify(notice transport.FinalAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = append(c.waiting, notice)
	c.send()
}

// Reconfigure changes the address; notices that were not acknowledged go to the new one. Notices have no
// revision; the parameter makes the client a transport.Reconfigurable.
func (c *Client) Reconfigure(addr string, _ int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addr = addr
	if c.conn != nil {
		c.conn.drop()
	}
	c.send()
}

// Stop closes the connection; nothing is sent after it.
func (c *Client) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	if c.conn != nil {
		c.conn.timer.Stop()
		c.conn.conn.Close()
		c.conn = nil
	}
}

// send begins a call with the notices that wait, unless one is in progress. The lock is held.
func (c *Client) send() {
	if c.stopped || len(c.waiting) == 0 || c.conn != nil && len(c.conn.notices) > 0 {
		return
	}
	if c.conn == nil {
		c.connect()
	}
	n := min(len(c.waiting), maxNoticesPerCall)
	c.conn.post(c.waiting[:n])
	c.waiting = append(c.waiting[:0], c.waiting[n:]...)
}

// sendLater begins a call after a pause.
func (c *Client) sendLater() {
	c.afterFunc(retryDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.send()
	})
}
