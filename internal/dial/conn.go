package dial

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/lesismal/nbio"
)

// state says how far a connection has come.
type state uint8

const (
	connecting state = iota
	open             // established, with a socket at the engine
	ended            // closed by either side, or never established
)

// Conn is one connection. It is safe for concurrent use. Where a method takes both locks, mu comes before reading.
type Conn struct {
	dialer  *Dialer
	handler Handler
	cancel  context.CancelFunc // ends connecting
	written atomic.Int64       // bytes that the socket took

	mu     sync.Mutex
	state  state
	socket *nbio.Conn // nil unless the connection was established; kept once ended
	unsent []byte     // written while connecting
	queued int64      // bytes given to Write

	reading     sync.Mutex // held while the socket is read
	undelivered bool       // what was read is on its way to the handler; guarded by reading
}

// establish connects to addr, unless there is no room for the connection.
func (c *Conn) establish(ctx context.Context, addr string, room bool) {
	defer c.cancel()
	if !room {
		c.closed(ErrTooManyConnections)
		return
	}
	std, err := c.dialer.connect(ctx, addr)
	if err == nil {
		err = c.connected(std)
	} else if isTimeout(ctx, err) {
		err = ErrConnectTimeout
	}
	if err != nil {
		c.closed(err)
	}
}

// connected hands the established connection to nbio and writes what was queued before.
func (c *Conn) connected(std net.Conn) error {
	socket, err := nbio.NBConn(std)
	if err != nil {
		std.Close()
		return err
	}
	socket.SetSession(c)
	c.dialer.stopping.RLock()
	defer c.dialer.stopping.RUnlock()
	if c.dialer.stopped {
		return errors.Join(ErrStopped, socket.Close())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == ended {
		return socket.Close()
	}
	if _, err := c.dialer.engine.AddConn(socket); err != nil {
		return err
	}
	c.socket, c.state = socket, open
	if len(c.unsent) > 0 {
		socket.Write(c.unsent)
		c.unsent = nil
	}
	return nil
}

// read reads what the socket has and delivers it to the handler.
func (c *Conn) read(socket *nbio.Conn, buffer []byte) {
	for i, n := 0, len(buffer); i < maxReadsInARow && n == len(buffer) && !c.hasEnded(); i++ {
		var err error
		n, err = c.readSocket(socket, buffer)
		if n > 0 && !c.hasEnded() {
			c.handler.Data(buffer[:n])
		}
		c.MarkDelivered() // also for a handler that never says so itself
		if err != nil && !errors.Is(err, syscall.EAGAIN) {
			socket.CloseWithError(err)
			return
		}
	}
}

// readSocket reads once. What it returns counts as undelivered until MarkDelivered.
func (c *Conn) readSocket(socket *nbio.Conn, buffer []byte) (n int, err error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	for n, err = socket.Read(buffer); errors.Is(err, syscall.EINTR); {
		n, err = socket.Read(buffer)
	}
	c.undelivered = n > 0
	c.dialer.Received.Add(int64(max(0, n)))
	if n == 0 && err == nil {
		err = io.EOF
	}
	return n, err
}

// MarkDelivered records that the handler has what was read. A handler that calls IsQuiet or ReadPending under a lock of
// its own calls MarkDelivered under that lock.
func (c *Conn) MarkDelivered() {
	c.reading.Lock()
	c.undelivered = false
	c.reading.Unlock()
}

func (c *Conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == ended
}

// Write sends b, at once or when the connection is established. It copies what it must keep of b.
func (c *Conn) Write(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queued += int64(len(b))
	switch c.state {
	case connecting:
		c.unsent = append(c.unsent, b...)
	case open:
		c.socket.Write(b)
	case ended:
	}
}

// IsQuiet reports whether the connection is open and nothing has arrived that was not delivered yet. It may be called
// only while nothing is expected: what has arrived is lost. It guards against bytes that were read and wait for the
// handler's lock being taken for the answer to a call that is written before the handler has them.
func (c *Conn) IsQuiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != open {
		return false
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.undelivered {
		return false
	}
	_, err := c.socket.Read(make([]byte, 1))
	return errors.Is(err, syscall.EAGAIN)
}

// ReadPending reads what has arrived and was not delivered yet, for a handler that is about to close the connection. It
// returns 0 if nothing has arrived. If pending, bytes read before are on their way to the handler by Data, and nothing
// is read.
func (c *Conn) ReadPending(buffer []byte) (n int, pending bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != open {
		return 0, false
	}
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.undelivered {
		return 0, true
	}
	n, err := c.socket.Read(buffer)
	if err != nil {
		return 0, false
	}
	return n, false
}

// Sent reports whether the socket took the last byte of all that was written. On an open connection this may become
// true a moment later; to act on its being false, Abort the connection.
func (c *Conn) Sent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written.Load() >= c.queued
}

// Abort closes the connection and reports whether the last byte of all that was written may have been sent. It guards
// against asking first: a connection that is established, or takes what was queued, between the answer and the close
// would carry a call that counts as never sent.
func (c *Conn) Abort() (sent bool) {
	c.end(false)
	return c.Sent()
}

// Close closes the connection. The handler's Closed is not called for it.
func (c *Conn) Close() { c.end(false) }

// CloseUnlessConnected closes the connection if nothing can have been sent on it yet, and reports whether it did.
func (c *Conn) CloseUnlessConnected() bool { return c.end(true) }

// Connected reports whether the connection was ever established.
func (c *Conn) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.socket != nil
}

// closed reports the end of the connection to the handler, unless it had ended before.
func (c *Conn) closed(cause error) {
	if c.end(false) {
		c.handler.Closed(cause)
	}
}

// end closes the connection, with unlessOpen only while it is connecting. It reports whether this call did it.
func (c *Conn) end(unlessOpen bool) bool {
	c.mu.Lock()
	if c.state == ended || unlessOpen && c.state == open {
		c.mu.Unlock()
		return false
	}
	c.state = ended
	socket := c.socket
	c.mu.Unlock()
	c.dialer.open.Add(-1)
	c.cancel()
	if socket != nil {
		socket.Close()
	}
	return true
}
