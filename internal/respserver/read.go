package respserver

import (
	"errors"
	"io"
	"runtime"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"spanflow/internal/resp"
)

// Limits of a turn of one connection. It ends after a number of commands or bytes, so that a client that sends much does
// not delay the others.
const (
	commandsPerTurn = 4
	bytesPerTurn    = readBufferBytes
	readChunkBytes  = 2 << 10 // size of a read between commands; within a large command it is what the command lacks
	readBufferBytes = 72 << 10
)

// readInTurns reads from the connections, one turn after another, until the server is stopped.
func (s *Server) readInTurns() {
	buffer := make([]byte, readBufferBytes) // shared by all connections, as there is only one reader
	for c := s.turns.next(); c != nil; c = s.turns.next() {
		s.read(c, buffer)
		runtime.Gosched() // on one processor, the engine's goroutine would otherwise wait for many turns
	}
}

// readable gives a connection a turn, as something has arrived on it. If that is a reset after messages were accepted, it
// is noted before the connection is closed, as the engine does not tell a reset from a close.
func (s *Server) readable(c *Client) {
	if c.accepted.Load() && c.hangUp() == hungUpReset {
		c.reset.Store(true)
	}
	s.turns.add(c)
}

// read gives a connection one turn: it reads and handles some of the data that has arrived. It holds Client.reading, so
// that no other goroutine closes the connection between the read and the count of its commands.
func (s *Server) read(c *Client, buffer []byte) {
	c.reading.Lock()
	again, err := s.takeTurn(c, buffer)
	c.reading.Unlock()
	if err != nil && !errors.Is(err, syscall.EAGAIN) {
		s.ended(c, err)
		return
	}
	if again {
		s.turns.add(c)
	}
	if draining, stopped := s.readingState(); draining && !stopped {
		c.closeIfDrained()
	}
}

// ended handles the end of a connection by its client. The engine learns of it too and closes the socket. It is not closed
// here: another connection could get its descriptor while the engine still has an event of this one to handle, which would
// then close the other connection. The sweep closes what the engine has not closed.
func (s *Server) ended(c *Client, cause error) {
	if errors.Is(cause, syscall.ECONNRESET) || errors.Is(cause, syscall.EPIPE) {
		c.reset.Store(true)
	}
	c.ended.Store(true)
	s.mu.Lock()
	if c.closeAt.IsZero() {
		c.closeAt = time.Now().Add(closeDelay)
	}
	s.mu.Unlock()
}

// takeTurn handles commands that were read before or, if there are none, reads from the socket. again reports that the
// connection has to be given another turn, as there may be more data. Client.reading is held.
func (s *Server) takeTurn(c *Client, buffer []byte) (again bool, err error) {
	draining, stopped := s.readingState()
	if stopped || c.disconnected.Load() || c.mustWait() {
		return false, nil
	}
	if c.paused {
		s.feed(c, nil)
		return true, nil
	}
	if c.finished.Load() {
		return false, nil
	}
	if c.evicted.Load() {
		c.closeEvicted()
		return false, nil
	}
	taken, limit := 0, c.turnBytes()
	for err == nil && taken < limit && c.unanswered.Load() == 0 && !c.paused {
		var n int
		if draining && !c.refused.Load() {
			n, err = c.readCommand(buffer)
		} else {
			n, err = readSocket(c.conn, buffer[:c.readSize(len(buffer))])
		}
		if n == 0 && err == nil {
			c.finish()
			return false, nil
		}
		if n > 0 {
			taken += n
			s.feed(c, buffer[:n])
		}
	}
	if taken > 0 {
		c.weigh(taken, limit)
	}
	return err == nil, err
}

// turnBytes returns how much may be read in a turn. A light connection gets a small part, unless it completes a command for
// which it had a heavy turn already.
func (c *Client) turnBytes() int {
	if !c.heavy.Load() && c.reader.Missing() == 0 {
		return readChunkBytes
	}
	return bytesPerTurn
}

// weigh records after a turn whether the next one is heavy: if a large command has begun in a light turn, or much was read
// in a heavy one. A large command that a heavy turn has left incomplete is completed in light ones, so that its memory is
// soon free again.
func (c *Client) weigh(taken, limit int) {
	incomplete := c.reader.Missing() > 0
	if limit == readChunkBytes {
		c.heavy.Store(incomplete)
	} else {
		c.heavy.Store(taken > readChunkBytes && !incomplete)
	}
}

// readSize returns how much to read at once, at most limit: little between commands, so that little is kept of a client
// that sends many, and the rest of a command that has begun.
func (c *Client) readSize(limit int) int {
	if c.refused.Load() { // everything is discarded
		return limit
	}
	return min(max(readChunkBytes, c.reader.Missing()), limit)
}

// mustWait reports whether a connection is not read yet because answers to it are outstanding, or because its client
// does not read them. It gets another turn once that has changed.
func (c *Client) mustWait() bool {
	c.waitsForTurn.Store(true) // before the check, so that an answer given meanwhile is not missed
	if c.hasOutstandingReplies() {
		return true
	}
	c.waitsForTurn.Store(false)
	return false
}

// hasOutstandingReplies reports whether replies to commands that were read are outstanding or not sent. A client that is
// evicted is not waited for until it reads.
func (c *Client) hasOutstandingReplies() bool {
	return c.unanswered.Load() > 0 || c.unsent.Load() > 0 && !c.evicted.Load()
}

// resume gives a connection that waits another turn, if its answers have been sent.
func (c *Client) resume() {
	if !c.hasOutstandingReplies() && c.waitsForTurn.Swap(false) {
		c.server.turns.add(c)
	}
}

// readSocket reads once and returns io.EOF if the client has closed the connection.
func readSocket(conn *nbio.Conn, buffer []byte) (n int, err error) {
	for n, err = conn.Read(buffer); errors.Is(err, syscall.EINTR); {
		n, err = conn.Read(buffer)
	}
	if n == 0 && err == nil {
		err = io.EOF
	}
	return n, err
}

// readingState reports whether Drain and StopReading are in effect.
func (s *Server) readingState() (draining, stopped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining, s.readingStopped
}

// feed handles received bytes and makes room for what is kept of them. Client.reading is held.
func (s *Server) feed(c *Client, b []byte) {
	if c.refused.Load() {
		if c.discardedBytes += len(b); c.discardedBytes > maxDiscardedBytes {
			c.conn.Close()
		}
		return
	}
	now := time.Now()
	s.submitCommands(c, b, now)
	s.enforcePartialLimit(c, now)
}

// submitCommands parses received bytes, after those that were kept, and submits the complete commands of one turn.
// Client.reading is held.
func (s *Server) submitCommands(c *Client, b []byte, now time.Time) {
	commands, size := 0, 0
	err := c.reader.Feed(b, func(args [][]byte) error {
		commands++
		size += argumentBytes(args)
		c.unanswered.Add(1)
		request := parseCommand(c, args)
		request.Connection = c.number
		s.submitter.Submit(request)
		if commands == commandsPerTurn || size >= bytesPerTurn {
			return resp.ErrPause
		}
		return nil
	})
	c.paused = errors.Is(err, resp.ErrPause) && c.reader.Buffered() > 0
	s.recordRead(c, now, commands)
	if err != nil && !errors.Is(err, resp.ErrPause) {
		s.refuse(c, "ERR "+err.Error())
	}
}

// recordRead records when a connection was read and what is kept of its data. Client.reading is held.
func (s *Server) recordRead(c *Client, now time.Time, commands int) {
	s.mu.Lock()
	c.commands += commands
	c.lastReadAt, c.hadCommand = now, c.commands > 0
	if commands > 0 || !c.partial.Load() {
		c.commandStartedAt = now
	}
	s.recordHeld(c)
	s.mu.Unlock()
	c.partial.Store(c.reader.Buffered() > 0)
}

// submitBuffered submits all complete commands that were read but not submitted yet. Client.reading is held.
func (s *Server) submitBuffered(c *Client) {
	for c.paused && !c.disconnected.Load() {
		s.submitCommands(c, nil, time.Now())
	}
}

func argumentBytes(args [][]byte) (size int) {
	for _, arg := range args {
		size += len(arg)
	}
	return size
}
