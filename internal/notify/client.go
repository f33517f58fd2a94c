// Package notify sends notices, which are the final answers of messages that were not delivered and whose callers are
// not waiting. It posts each notice to /v1/notices at the configured address until it is acknowledged. A notice may
// therefore arrive more than once, which is harmless.
//
// Each call has a connection of its own. An acknowledgement does not name the notices that it belongs to, so on a
// connection that carried another call before, a second copy of that call's answer could acknowledge notices that were
// not received.
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
	// answerTimeout ends a call, which is then repeated on a new connection. Calls are normally answered at once.
	answerTimeout = 120 * time.Millisecond
	maxDoublings  = 4                     // of answerTimeout while calls time out, as the round trip may be long
	retryDelay    = 50 * time.Millisecond // after a failed call
)

// Client sends notices to one address, with one call at a time. It is safe for concurrent use.
type Client struct {
	dialer         *dial.Dialer
	connectTimeout time.Duration
	listener       transport.NoticeListener

	mu         sync.Mutex // held also while the listener is called
	addr       string
	conn       *connection             // with the call in progress; nil if there is none
	queued     []transport.FinalAnswer // notices that are not in a call
	unanswered int                     // number of consecutive calls that were not answered in time
	stopped    bool

	afterFunc func(time.Duration, func()) *time.Timer // starts timers; replaced by tests
}

// New returns a client without a connection. A connection that is not established within connectTimeout has failed. The
// caller has to stop the dialer.
func New(d *dial.Dialer, addr string, connectTimeout time.Duration, listener transport.NoticeListener) *Client {
	return &Client{
		dialer:         d,
		addr:           addr,
		connectTimeout: connectTimeout,
		listener:       listener,
		afterFunc:      time.AfterFunc,
	}
}

// Notify sends a notice repeatedly until it is acknowledged. The listener is notified of the acknowledgement.
func (c *Client) Notify(notice transport.FinalAnswer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queued = append(c.queued, notice)
	c.send()
}

// Reconfigure changes the address. Unacknowledged notices are sent to the new one. The revision parameter is unused; it
// is part of transport.Reconfigurable.
func (c *Client) Reconfigure(addr string, _ int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addr = addr
	if c.conn != nil {
		c.conn.drop()
	}
	c.send()
}

// Stop closes the connection. Nothing is sent afterwards.
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

// noticesInCall returns how many of the notices, from the first one on, are sent in one call.
func noticesInCall(notices []transport.FinalAnswer) int {
	n, size := 0, 0
	for n < min(len(notices), maxNoticesPerCall) {
		size += noticeBytes(notices[n].ID)
		if n > 0 && size > transport.MaxBodyBytes {
			break
		}
		n++
	}
	return n
}

// send starts a call with the queued notices, unless a call is in progress. The lock is held.
func (c *Client) send() {
	if c.stopped || len(c.queued) == 0 || c.conn != nil {
		return
	}
	n := noticesInCall(c.queued)
	c.post(c.queued[:n])
	c.queued = append(c.queued[:0], c.queued[n:]...)
}

// sendLater starts a call after retryDelay.
func (c *Client) sendLater() {
	c.afterFunc(retryDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.send()
	})
}
