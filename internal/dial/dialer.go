// Package dial opens outgoing connections on an nbio engine and reports what becomes of them.
//
// A Conn belongs to the caller of Dial. It ends once: by the caller (Close, Abort, CloseUnlessConnected), which is
// not reported, or by the peer or the network, which Handler.Closed reports.
package dial

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// ErrConnectTimeout is the cause of a connection that was not established in time.
var ErrConnectTimeout = errors.New("connection did not come up in time")

// ErrStopped is the cause of a connection that was established after the dialer had stopped.
var ErrStopped = errors.New("the dialer has stopped")

// ErrTooManyConnections is the cause of a connection beyond the dialer's limit.
var ErrTooManyConnections = errors.New("all descriptors for connections are taken")

const (
	stopTimeout     = 200 * time.Millisecond
	readBufferBytes = 32 << 10
	maxReadsInARow  = 64 // of one connection, while others wait
)

// Handler receives what happens on a connection. Its methods are called by the engine's goroutines, or by the one that
// dials. The bytes given to Data are valid until it returns. Closed is called at most once, as the last, and not if the
// caller of Dial closed the connection.
type Handler interface {
	Data(b []byte)
	Closed(cause error)
}

// Dialer opens connections, a limited number at once. It is safe for concurrent use.
type Dialer struct {
	// Connect establishes a connection; nil: TCP by the standard library. Set before the first Dial, by tests of what a
	// network does not do on demand.
	Connect func(ctx context.Context, addr string) (net.Conn, error)

	stopping sync.RWMutex // held for reading while a connection is handed to the engine
	stopped  bool         // no further one is; guarded by stopping

	engine  *nbio.Engine
	maxOpen int64
	open    atomic.Int64
	// Peak is the largest number of connections open at once.
	Peak atomic.Int64

	Received, Sent atomic.Int64 // bytes read from and written to the sockets of all connections
}

// New starts an engine with the given name for at most maxOpen connections at once. Stop ends it.
func New(name string, maxOpen int) (*Dialer, error) {
	d := &Dialer{maxOpen: int64(maxOpen)}
	d.engine = nbio.NewEngine(nbio.Config{Name: name, NPoller: 1, ReadBufferSize: 1})
	buffer := make([]byte, readBufferBytes) // there is one poller
	d.engine.OnRead(func(socket *nbio.Conn) {
		d.open.Load() // the race detector does not see nbio's locks: this orders what follows after Dial
		if c, ok := socket.Session().(*Conn); ok {
			c.read(socket, buffer)
		}
	})
	d.engine.OnWrittenSize(func(socket *nbio.Conn, _ []byte, n int) {
		if c, ok := socket.Session().(*Conn); ok {
			c.written.Add(int64(n))
			d.Sent.Add(int64(n))
		}
	})
	d.engine.OnClose(func(socket *nbio.Conn, err error) {
		if c, ok := socket.Session().(*Conn); ok {
			c.closed(err)
		}
	})
	return d, d.engine.Start()
}

// Stop closes all connections and the engine. What is established later is closed and carries nothing.
func (d *Dialer) Stop() {
	d.stopping.Lock()
	d.stopped = true
	d.stopping.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	d.engine.Shutdown(ctx)
}

// Open returns the number of connections that are connecting or open.
func (d *Dialer) Open() int { return int(d.open.Load()) }

// Full reports whether a further connection would exceed the limit.
func (d *Dialer) Full() bool { return d.open.Load() >= d.maxOpen }

// Dial begins to open a connection, which fails with ErrConnectTimeout after the timeout. Any failure, even an
// immediate one, is reported by h.Closed, never from within this call. The connection is made by the standard library
// and handed to nbio once it is established: nbio's own dialer takes an IPv4 address for 0.0.0.0, and does not check
// whether connecting failed.
func (d *Dialer) Dial(addr string, timeout time.Duration, h Handler) *Conn {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c := &Conn{dialer: d, handler: h, cancel: cancel}
	count := d.open.Add(1)
	for peak := d.Peak.Load(); count > peak && !d.Peak.CompareAndSwap(peak, count); peak = d.Peak.Load() {
	}
	go c.establish(ctx, addr, count <= d.maxOpen)
	return c
}

// connect establishes a connection by Connect or the standard library.
func (d *Dialer) connect(ctx context.Context, addr string) (net.Conn, error) {
	if d.Connect != nil {
		return d.Connect(ctx, addr)
	}
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
}

// isTimeout reports whether connecting failed for lack of time, the caller's or the kernel's.
func isTimeout(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, syscall.ETIMEDOUT)
}
