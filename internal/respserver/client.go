package respserver

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"spanflow/internal/resp"
	"spanflow/transport"
)

// Client is one client connection. It implements transport.Caller.
type Client struct {
	server         *Server
	conn           *nbio.Conn
	reading        sync.Mutex // held while the socket is read, so that no command that was read goes unanswered
	reader         resp.Reader
	unanswered     atomic.Int32 // commands not answered yet
	partial        atomic.Bool  // a command has been received in part
	disconnected   atomic.Bool
	refused        atomic.Bool // malformed or incomplete input; everything after it is discarded
	discardedBytes int         // bytes received after refused was set

	// The fields below are guarded by Server.mu.
	hadCommand       bool      // a complete command has arrived
	openedAt         time.Time // when the connection was accepted
	lastReadAt       time.Time // time of the last read; initially openedAt
	commandStartedAt time.Time // when the first bytes of the partial command arrived
	closeAt          time.Time // when to close the connection after its last answer; zero until then
}

// Disconnected reports whether the client can no longer receive an answer.
func (c *Client) Disconnected() bool { return c.disconnected.Load() }

// Answer writes the answer to the oldest unanswered command. It reports whether the connection accepted the write.
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

// idle reports whether the connection has no unanswered and no partial command. The result is reliable only while
// nothing is being read.
func (c *Client) idle() bool { return c.unanswered.Load() == 0 && !c.partial.Load() }

// closeIfIdle closes the connection if it is idle and not being read, and reports whether it did. Holding the read lock
// ensures that no command is read between the check and the close, as it would never be answered. The client has to
// resend a command that is still unread in the socket. A connection that is being read is checked again by its reader.
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

// awaitReader waits until a read in progress has finished.
func (c *Client) awaitReader() {
	c.reading.Lock()
	defer c.reading.Unlock()
}

// refuse submits a malformed request, whose answer is the last one on the connection. Input received after it is
// discarded.
func (c *Client) refuse(reason string) {
	if c.refused.CompareAndSwap(false, true) {
		c.unanswered.Add(1)
		c.server.submitter.Submit(transport.Request{From: c, Malformed: reason, Close: true})
	}
}
