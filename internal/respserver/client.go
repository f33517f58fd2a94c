package respserver

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"spanflow/internal/resp"
	"spanflow/transport"
)

// Client is one connection. It is a transport.Caller.
type Client struct {
	server         *Server
	conn           *nbio.Conn
	reading        sync.Mutex // held while the socket is read: else what was read might never be answered
	reader         resp.Reader
	unanswered     atomic.Int32 // commands without an answer
	partial        atomic.Bool  // a command is read in part
	disconnected   atomic.Bool
	refused        atomic.Bool // what arrived could not be parsed or did not continue: the rest is discarded
	discardedBytes int         // bytes that arrived after that

	// Guarded by the server's lock:
	hadCommand   bool      // a complete command has arrived
	openedAt     time.Time // when the connection was accepted
	lastReadAt   time.Time // when something arrived last, or the connection
	commandBegan time.Time // when the command that is read in part began
	closeAt      time.Time // when it closes after its last answer; zero before that
}

// Disconnected reports whether the client can no longer receive an answer.
func (c *Client) Disconnected() bool { return c.disconnected.Load() }

// Answer writes the answer to the oldest unanswered command. It reports whether the connection took it.
func (c *Client) Answer(r transport.Reply) bool {
	_, err := c.conn.Write(encodeReply(r))
	c.unanswered.Add(-1)
	c.server.mu.Lock()
	draining := c.server.draining
	if r.Close {
		c.closeAt = time.Now().Add(closeDelay)
	}
	c.server.mu.Unlock()
	if draining && !r.Close {
		c.closeIfIdle()
	}
	return err == nil
}

// idle reports whether closing the connection loses nobody an answer, as long as nothing is read meanwhile.
func (c *Client) idle() bool { return c.unanswered.Load() == 0 && !c.partial.Load() }

// closeIfIdle closes the connection if it is still idle and nothing is being read from it. It guards against a command
// that is read between the check and the close, whose caller would never be answered; one that waits unread in the
// socket the client has to send again. A connection that is being read from is checked again by its reader.
func (c *Client) closeIfIdle() bool {
	if !c.reading.TryLock() {
		return false
	}
	defer c.reading.Unlock()
	if !c.idle() {
		return false
	}
	c.conn.Close()
	return true
}

// awaitReader returns once nothing is being read from the connection.
func (c *Client) awaitReader() {
	c.reading.Lock()
	defer c.reading.Unlock()
}

// refuse submits a connection's last answer; from then on what arrives is discarded.
func (c *Client) refuse(reason string) {
	if c.refused.CompareAndSwap(false, true) {
		c.unanswered.Add(1)
		c.server.submitter.Submit(transport.Request{From: c, Malformed: reason, Close: true})
	}
}
