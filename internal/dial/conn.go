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

type state uint8

const (
	connecting state = iota
	open             // established, its socket added to the engine
	ended            // closed by either side, or never established
)

// Conn is an outgoing connection. It is safe for concurrent use. The lock mu must be taken before the lock reading.
type Conn struct {
	dialer  *Dialer
	handler Handler
	cancel  context.CancelFunc // cancels establishing the connection
	written atomic.Int64       // bytes accepted by the socket

	mu     sync.Mutex
	state  state
	socket *nbio.Conn // nil until the connection is established; kept after its end
	unsent []byte     // written while connecting
	queued int64      // bytes passed to Write

	reading     sync.Mutex // held while the socket is read
	undelivered bool       // bytes were read but not delivered to the handler yet; guarded by reading
}

// establish connects to addr. If room is false, the connection limit is reached and the connection fails.
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
		return
	}
	if handler, ok := c.handler.(EstablishedHandler); ok && !c.hasEnded() {
		handler.Established()
	}
}

// connected passes the established connection to nbio and writes the bytes that Write has buffered.
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

// read reads from the socket and delivers the bytes to the handler.
func (c *Conn) read(socket *nbio.Conn, buffer []byte) {
	for i, n := 0, len(buffer); i < maxReadsInARow && n == len(buffer) && !c.hasEnded(); i++ {
		var err error
		n, err = c.readSocket(socket, buffer)
		if n > 0 && !c.hasEnded() {
			c.handler.Data(buffer[:n])
		}
		c.MarkDelivered() // for handlers that do not call it themselves
		if err != nil && !errors.Is(err, syscall.EAGAIN) {
			socket.CloseWithError(err)
			return
		}
	}
}

// readSocket reads once. The bytes that it returns count as undelivered until MarkDelivered is called.
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

// MarkDelivered records that the handler has received the bytes read. A handler that calls ReadPending while
// holding its own lock must call MarkDelivered in Data while holding that lock.
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

// Write sends b, or buffers it until the connection is established. It copies the bytes that it keeps.
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

// ReadPending reads bytes that have arrived but are not delivered yet, for a handler that is about to close the
// connection. It returns 0 if there are none. If pending is true, bytes that were read earlier are about to be passed
// to Data, and ReadPending reads nothing.
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

// Sent reports whether the socket has accepted all bytes passed to Write. While the connection is open, the result may
// change from false to true at any time. A caller that relies on false must use Abort instead.
func (c *Conn) Sent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written.Load() >= c.queued
}

// Abort closes the connection and reports whether all bytes passed to Write may have been sent. Calling Sent and then
// Close is not equivalent: if the connection was established or accepted buffered bytes in between, it would carry a
// call that counts as never sent.
func (c *Conn) Abort() (sent bool) {
	c.end()
	return c.Sent()
}

// Close closes the connection without calling the handler's Closed.
func (c *Conn) Close() { c.end() }

// Connected reports whether the connection was ever established.
func (c *Conn) Connected() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.socket != nil
}

// closed ends the connection and reports it to the handler, unless the connection had ended before.
func (c *Conn) closed(cause error) {
	if c.end() {
		c.handler.Closed(cause)
	}
}

// end closes the connection and reports whether this call did it.
func (c *Conn) end() bool {
	c.mu.Lock()
	if c.state == ended {
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
