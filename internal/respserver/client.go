package respserver

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"spanflow/internal/resp"
	"spanflow/transport"
)

// errUnreadReplies is why a connection was closed whose client does not read its replies.
var errUnreadReplies = errors.New("the client does not read its replies")

// Client is one client connection. It implements transport.Caller.
type Client struct {
	server         *Server
	conn           *nbio.Conn
	reading        sync.Mutex // held while the socket is read, so that no command that was read goes unanswered
	number         uint64     // identifies the connection in requests
	reader         resp.Reader
	paused         bool         // the reader may hold complete commands; guarded by reading
	unanswered     atomic.Int32 // commands not answered yet
	unsent         atomic.Int64 // bytes of replies that the socket has not accepted yet
	ended          atomic.Bool  // the client has closed or reset the connection
	finished       atomic.Bool  // not read any more, as the server drains, and closed soon; see drain.go
	evicted        atomic.Bool  // not read any more, and closed once its commands are answered
	heavy          atomic.Bool  // much was read in the last turn
	waitsForTurn   atomic.Bool  // read again once all answers are sent
	partial        atomic.Bool  // a command has been received in part, or is not submitted yet
	disconnected   atomic.Bool
	accepted       atomic.Bool // a message of the client was accepted
	reset          atomic.Bool // the client has reset the connection
	refused        atomic.Bool // malformed or incomplete input; everything after it is discarded
	discardedBytes int         // bytes received after refused was set
	queued         atomic.Bool // in the server's read queue

	// The fields below are guarded by Server.mu.
	commands         int       // complete commands received
	held             int       // memory of the reader that is counted
	hadCommand       bool      // a complete command has arrived
	openedAt         time.Time // when the connection was accepted
	lastReadAt       time.Time // time of the last read; initially openedAt
	commandStartedAt time.Time // when the first bytes of the partial command arrived
	closeAt          time.Time // when to close the connection after its last answer; zero until then
}

// Disconnected reports whether the client can no longer receive an answer.
func (c *Client) Disconnected() bool { return c.hangUp() != notHungUp }

// Answer writes the answer to the oldest unanswered command. It reports whether the connection accepted the write.
func (c *Client) Answer(r transport.Reply) bool {
	err := c.write(encodeReply(r))
	c.unanswered.Add(-1)
	c.resume()
	c.accepted.Store(c.accepted.Load() || r.Status == transport.StatusAccepted)
	c.server.mu.Lock()
	draining := c.server.draining
	if r.Close {
		c.closeAt = time.Now().Add(closeDelay)
	}
	c.server.mu.Unlock()
	if draining && !r.Close {
		c.closeIfDrained()
	}
	return err == nil
}

// write sends a reply. A client that leaves its replies unread is disconnected once their account is full.
func (c *Client) write(reply []byte) error {
	account := c.server.memory.Unsent
	if !account.TryAdd(len(reply)) {
		if c.unsent.Load() > 0 {
			_ = c.conn.CloseWithError(errUnreadReplies)
			return errUnreadReplies
		}
		account.Add(len(reply))
	}
	c.unsent.Add(int64(len(reply)))
	_, err := c.conn.Write(reply)
	if err != nil {
		c.releaseUnsent()
	}
	return err
}

// written records that the socket has accepted bytes of replies.
func (c *Client) written(bytes int) {
	c.server.memory.Unsent.Release(bytes)
	if c.unsent.Add(int64(-bytes)) == 0 {
		c.resume()
	}
}

// releaseUnsent releases the memory of replies that are not sent any more, as the connection has ended.
func (c *Client) releaseUnsent() {
	c.server.memory.Unsent.Release(int(c.unsent.Swap(0)))
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
	if !c.idle() || c.queued.Load() || c.closeDiscardsReplies() { // something has arrived that is not read yet
		return false
	}
	c.conn.Close()
	return true
}

// awaitReader waits until a read in progress has finished, and submits all commands that were read. One that was read in
// part is read completely if its rest has arrived.
func (c *Client) awaitReader() {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.server.submitBuffered(c)
	c.server.completeCommand(c)
	c.server.submitBuffered(c)
}

// refuse submits a malformed request. Server.refuse calls it.
func (c *Client) refuse(reason string) {
	if c.refused.CompareAndSwap(false, true) {
		c.unanswered.Add(1)
		c.server.submitter.Submit(transport.Request{From: c, Malformed: reason, Close: true})
	}
}
