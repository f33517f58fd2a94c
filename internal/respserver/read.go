package respserver

import (
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// read reads and handles the data that a connection has received. It holds Client.reading, so that no other goroutine
// closes the connection between the read and the count of its commands.
func (s *Server) read(c *Client, buffer []byte) {
	_, stopped := s.readingState()
	if stopped { // the process is about to exit
		time.Sleep(stoppedReadPause)
		return
	}
	c.reading.Lock()
	_, stopped = s.readingState() // checked again, as StopReading may have been called before the lock was taken
	var err error
	for n, i := len(buffer), 0; i < maxReadsInARow && n == len(buffer) && !stopped; i++ {
		n, err = readSocket(c.conn, buffer)
		if n > 0 {
			s.feed(c, buffer[:n])
		}
	}
	c.reading.Unlock()
	if err != nil && !errors.Is(err, syscall.EAGAIN) {
		c.conn.CloseWithError(err)
		return
	}
	if draining, _ := s.readingState(); draining {
		c.closeIfIdle()
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

// feed parses received bytes and submits the complete commands. Client.reading is held.
func (s *Server) feed(c *Client, b []byte) {
	if c.refused.Load() {
		if c.discardedBytes += len(b); c.discardedBytes > maxDiscardedBytes {
			c.conn.Close()
		}
		return
	}
	now, complete := time.Now(), false
	err := c.reader.Feed(b, func(args [][]byte) error {
		complete = true
		c.unanswered.Add(1)
		s.submitter.Submit(parseCommand(c, args))
		return nil
	})
	s.mu.Lock()
	c.lastReadAt, c.hadCommand = now, c.hadCommand || complete
	if complete || !c.partial.Load() {
		c.commandStartedAt = now
	}
	s.mu.Unlock()
	c.partial.Store(c.reader.Buffered() > 0)
	if err != nil {
		c.refuse("ERR " + err.Error())
	}
}
