package respserver

import (
	"io"
	"maps"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// While a server drains, it reads no byte behind the command in progress of a connection. So each connection soon comes to
// the boundary between two commands, where it can be closed: its client sends what was not read again on another
// connection. Without this, a client that sends many commands at once, or each with the beginning of the next one, would
// keep its connection for as long as it goes on.

const (
	// drainServes is the time after which a connection that is drained is closed at the next boundary, although complete
	// commands may have arrived.
	drainServes = 2 * time.Second
	// drainLimit is the time after which a connection that is drained is closed even if a command is in progress, which is
	// refused, or replies are not read.
	drainLimit = 3400 * time.Millisecond
)

// Drain closes each connection as soon as it has no unanswered command, so that clients move to other forwarders. All are
// closed soon after drainLimit, unless an answer to a command is outstanding.
func (s *Server) Drain() {
	s.mu.Lock()
	if !s.draining {
		s.draining, s.drainingSince = true, time.Now()
	}
	clients := slices.Collect(maps.Keys(s.clients))
	s.mu.Unlock()
	for _, c := range clients {
		c.closeIfDrained()
	}
}

// Undrain reverses Drain: connections stay open between commands again, except those that are being closed.
func (s *Server) Undrain() {
	s.mu.Lock()
	s.draining = false
	s.mu.Unlock()
}

// drainedFor returns for how long a connection has been drained: since Drain, or since it was opened if that was later. It is
// 0 if the server does not drain. The server's lock is held.
func (s *Server) drainedFor(c *Client, now time.Time) time.Duration {
	if !s.draining {
		return 0
	}
	if c.openedAt.After(s.drainingSince) {
		return now.Sub(c.openedAt)
	}
	return now.Sub(s.drainingSince)
}

// readCommand reads from the socket, but no byte behind the end of the command in progress. It returns 0 bytes without an
// error if the connection is at a boundary at which it is to be closed. Client.reading is held.
func (c *Client) readCommand(buffer []byte) (n int, err error) {
	c.server.mu.Lock()
	drainedFor := c.server.drainedFor(c, time.Now())
	c.server.mu.Unlock()
	atBoundary := c.hadCommandRead() && c.reader.Buffered() == 0
	if atBoundary && drainedFor > drainServes {
		return 0, nil
	}
	arrived, err := c.peek(buffer)
	if err != nil {
		return 0, err
	}
	end, complete := c.reader.CommandEnd(buffer[:arrived])
	if atBoundary && !complete {
		return 0, nil
	}
	return readSocket(c.conn, buffer[:end])
}

// hadCommandRead reports whether a complete command was read. Client.reading is held.
func (c *Client) hadCommandRead() bool { return c.commands > 0 }

// finish makes the sweep close a connection that is at a boundary. It is not read any more. Some time is left for the client
// to read its last answer, which a close over unread bytes might discard.
func (c *Client) finish() {
	c.finished.Store(true)
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.closeAt.IsZero() {
		c.closeAt = time.Now().Add(closeDelay)
	}
}

// closeIfDrained closes the connection if it is idle and all its replies are sent. One that is finished is left to the sweep.
func (c *Client) closeIfDrained() {
	if c.unsent.Load() == 0 && !c.finished.Load() {
		c.closeIfIdle()
	}
}

// closeFinished closes the connection unless a command was read that is not answered yet, or is being read. Replies that the
// client has not received are waited for until the connection has been drained for drainLimit.
func (c *Client) closeFinished(now time.Time) {
	if !c.reading.TryLock() {
		return
	}
	defer c.reading.Unlock()
	c.server.mu.Lock()
	waits := !c.evicted.Load() && c.server.draining && c.server.drainedFor(c, now) <= drainLimit
	c.server.mu.Unlock()
	if c.idle() && !(waits && c.closeDiscardsReplies()) {
		c.conn.Close()
	}
}

// completeCommand reads the rest of a command of which a part was read before, if it has arrived. Client.reading is held.
func (s *Server) completeCommand(c *Client) {
	if c.refused.Load() || c.disconnected.Load() || c.finished.Load() || c.reader.Buffered() == 0 {
		return
	}
	buffer := make([]byte, readBufferBytes)
	arrived, err := c.peek(buffer)
	if err != nil {
		return
	}
	end, complete := c.reader.CommandEnd(buffer[:arrived])
	if !complete {
		return
	}
	if n, err := readSocket(c.conn, buffer[:end]); err == nil {
		s.feed(c, buffer[:n])
	}
}

// peek copies bytes that have arrived into buffer and leaves them unread. It returns io.EOF if the client has closed the
// connection. If the connection is closed here meanwhile, the result may be wrong; the read that follows fails then.
func (c *Client) peek(buffer []byte) (n int, err error) {
	raw, err := c.conn.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		for {
			n, _, err = unix.Recvfrom(int(fd), buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
			if err != syscall.EINTR {
				return
			}
		}
	})
	switch {
	case controlErr != nil:
		return 0, controlErr
	case err != nil:
		return 0, err
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
