package respserver

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"spanflow/internal/resp"
	"spanflow/transport"
)

// Client is one connection.
type Client struct {
	intake         *Server
	conn           *nbio.Conn
	reading        sync.Mutex // held while something is read: what is closed meanwhile may have been read and never answered
	reader         resp.Reader
	unanswered     atomic.Int32 // commands without an answer
	partial        atomic.Bool  // a command is read in part
	gone           atomic.Bool
	refused        atomic.Bool // what came could not be understood: nothing more is read
	discardedBytes int         // bytes that came after that

	// Under the intake's lock:
	hadCommand   bool      // a whole command has come
	openedAt     time.Time // when the connection came
	lastReadAt   time.Time // when something came last, or the connection
	commandBegan time.Time // when the command that is read in part began
	closeAt      time.Time // told its last answer: closed from then on
}

// idle tells that closing the connection takes no answer from anybody, as long as nothing is read meanwhile.
func (c *Client) idle() bool { return c.unanswered.Load() == 0 && !c.partial.Load() }

// closeIfIdle closes the connection if it is idle still and nothing is being read from it. Guards against a command that
// is read between the question and the close, whose caller would never be answered; one that waits unread in the socket
// is the client's to send once more. A connection that is read from just then is asked about again by its reader.
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

// refuse leaves a connection's last answer at the desk and reads nothing more.
func (c *Client) refuse(why string) {
	if c.refused.CompareAndSwap(false, true) {
		c.unanswered.Add(1)
		c.intake.desk.Submit(transport.Request{From: c, Malformed: why, Close: true})
	}
}

// Removed tells if the client does not hear an answer any more.
func (c *Client) Disconnected() bool { return c.gone.Load() }

// RecordAnswer writes the answer to the oldest command without one. It tells if the connection stood.
func (c *Client) Answer(r transport.Reply) bool {
	_, err := c.conn.Write(line(r))
	c.unanswered.Add(-1)
	c.intake.mu.Lock()
	leaving := c.intake.leaving
	if r.Close {
		c.closeAt = time.Now().Add(lingerFor)
	}
	c.intake.mu.Unlock()
	if leaving && !r.Close {
		c.closeIfIdle()
	}
	return err == nil
}
