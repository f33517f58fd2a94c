package respserver

import (
	"errors"
	"io"
	"syscall"
	"time"
)

// read takes what a connection has; while it does, nobody else closes it.
func (in *Server) read(c *Client, buffer []byte) {
	_, halted := in.state()
	if halted { // the process ends within moments
		time.Sleep(haltedPause)
		return
	}
	c.reading.Lock()
	_, halted = in.state() // asked again: StopReading may have passed between the two lines
	var err error
	for n, i := len(buffer), 0; i < maxReadsInARow && n == len(buffer) && !halted; i++ {
		for n, err = c.conn.Read(buffer); errors.Is(err, syscall.EINTR); {
			n, err = c.conn.Read(buffer)
		}
		if n == 0 && err == nil {
			err = io.EOF
		}
		if n > 0 {
			in.data(c, buffer[:n])
		}
	}
	c.reading.Unlock()
	if err != nil && !errors.Is(err, syscall.EAGAIN) {
		c.conn.CloseWithError(err)
		return
	}
	if leaving, _ := in.state(); leaving {
		c.closeIfIdle()
	}
}

func (in *Server) state() (leaving, halted bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.leaving, in.halted
}

func (in *Server) data(c *Client, b []byte) {
	if c.refused.Load() {
		if c.discardedBytes += len(b); c.discardedBytes > maxDiscardedBytes {
			c.conn.Close()
		}
		return
	}
	now, whole := time.Now(), false
	err := c.reader.Feed(b, func(args [][]byte) error {
		whole = true
		c.unanswered.Add(1)
		in.desk.Submit(command(c, args))
		return nil
	})
	in.mu.Lock()
	c.lastReadAt, c.hadCommand = now, c.hadCommand || whole
	if whole || !c.partial.Load() {
		c.commandBegan = now
	}
	in.mu.Unlock()
	c.partial.Store(c.reader.Waiting() > 0)
	if err != nil {
		c.refuse("ERR " + err.Error())
	}
}
