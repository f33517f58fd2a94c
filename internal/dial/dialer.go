// Package dial opens outgoing connections on an nbio engine and reports their data and their end.
//
// A Conn belongs to the caller of Dial. It is closed either by the caller (Close, Abort), which is not reported, or by the
// peer or the network, which is reported by Handler.Closed.
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

// ErrConnectTimeout is passed to Handler.Closed if the connection was not established in time.
var ErrConnectTimeout = errors.New("connection was not established in time")

// ErrStopped is passed to Handler.Closed if the connection was established after the dialer had stopped.
var ErrStopped = errors.New("the dialer has stopped")

// ErrTooManyConnections is passed to Handler.Closed if the connection exceeds the dialer's limit.
var ErrTooManyConnections = errors.New("connection limit reached")

const (
	stopTimeout     = 200 * time.Millisecond
	readBufferBytes = 32 << 10
	maxReadsInARow  = 8 // consecutive reads of one connection before others get their turn
)

// Handler receives the events of a connection. Its methods are called by the engine's goroutines or the dialing one.
// The bytes passed to Data are valid until it returns. Closed is called at most once, after all calls of Data, and not
// if the caller of Dial closed the connection.
type Handler interface {
	Data(b []byte)
	Closed(cause error)
}

// EstablishedHandler is a Handler that is told when its connection is established. Data and Closed may be called before, as
// the peer may send or close at once.
type EstablishedHandler interface {
	Handler
	Established()
}

// Dialer opens connections and limits how many are open at once. It is safe for concurrent use.
type Dialer struct {
	// Connect establishes a connection; nil means net.Dialer with TCP. Tests set it before the first Dial to produce
	// network conditions that are hard to cause otherwise.
	Connect func(ctx context.Context, addr string) (net.Conn, error)

	stopping sync.RWMutex // read-locked while a connection is added to the engine
	stopped  bool         // no more connections are added; guarded by stopping

	engine  *nbio.Engine
	maxOpen int64
	open    atomic.Int64
	// Peak is the largest number of connections open at once.
	Peak atomic.Int64

	Received, Sent atomic.Int64 // bytes read from and written to the sockets of all connections
}

// New starts an engine with the given name for at most maxOpen connections at once. The caller has to call Stop.
func New(name string, maxOpen int) (*Dialer, error) {
	d := &Dialer{maxOpen: int64(maxOpen)}
	d.engine = nbio.NewEngine(nbio.Config{Name: name, NPoller: 1, ReadBufferSize: 1})
	buffer := make([]byte, readBufferBytes) // shared by all connections, as there is only one poller
	d.engine.OnRead(func(socket *nbio.Conn) {
		d.open.Load() // the race detector does not see nbio's locks; this load orders the reads after Dial
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

// Stop closes all connections and stops the engine. A connection that is established later is closed at once and
// carries no data.
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

// Dial starts to open a connection, which fails with ErrConnectTimeout after the timeout. Every failure, even an
// immediate one, is reported by h.Closed from another goroutine. The connection is established by the standard library
// and then passed to nbio, because nbio's own dialer mistakes an IPv4 address for 0.0.0.0 and does not check whether
// connecting failed.
func (d *Dialer) Dial(addr string, timeout time.Duration, h Handler) *Conn {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c := &Conn{dialer: d, handler: h, cancel: cancel}
	count := d.open.Add(1)
	for peak := d.Peak.Load(); count > peak && !d.Peak.CompareAndSwap(peak, count); peak = d.Peak.Load() {
	}
	go c.establish(ctx, addr, count <= d.maxOpen)
	return c
}

// connect establishes a connection with Connect or, if that is nil, the standard library.
func (d *Dialer) connect(ctx context.Context, addr string) (net.Conn, error) {
	if d.Connect != nil {
		return d.Connect(ctx, addr)
	}
	return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
}

// isTimeout reports whether connecting failed because of the caller's or the kernel's timeout.
func isTimeout(ctx context.Context, err error) bool {
	return ctx.Err() != nil || errors.Is(err, syscall.ETIMEDOUT)
}
