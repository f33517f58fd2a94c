// Package dial opens connections to others on nbio and tells what becomes of them.
package dial

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// ErrConnectTimeout is the cause of a connection that did not come up in time.
var ErrConnectTimeout = errors.New("connection did not come up in time")

// ErrTooManyConnections is the cause of a connection for which there was no descriptor.
var ErrTooManyConnections = errors.New("all descriptors for connections are taken")

const (
	stopWithin = 200 * time.Millisecond
	readBuffer = 32 << 10
	readsATime = 64 // of one line, while others wait
)

// Handler hears what becomes of a line. Calls come from the network's goroutines;
// Closed comes exactly once, as the last, unless the event loop closed the line itself.
type Handler interface {
	Data(b []byte)
	Closed(cause error)
}

// Dialer opens lines, at most so many at once.
type Dialer struct {
	// Connect makes a connection; nil: TCP by the standard library. Set before the first Dial, by tests of what no network
	// does at a test's word.
	Connect func(ctx context.Context, addr string) (net.Conn, error)

	engine *nbio.Engine
	most   int64
	open   atomic.Int64
	Peak   atomic.Int64

	Received, Sent atomic.Int64 // bytes that the sockets of all its lines have read and taken
}

// Conn is one connection.
type Conn struct {
	dialer  *Dialer
	watcher Handler
	written atomic.Int64 // bytes that the socket took
	mu      sync.Mutex
	conn    *nbio.Conn
	up      bool
	over    bool
	early   []byte // written before it was up
	wanted  int64
	cancel  context.CancelFunc
	reading sync.Mutex // held while the socket is read
	unheard bool       // what was read is on its way to the watcher; under reading
}

// New starts the network; most bounds the lines open at once.
func New(name string, most int) (*Dialer, error) {
	d := &Dialer{most: int64(most)}
	d.engine = nbio.NewEngine(nbio.Config{Name: name, NPoller: 1, ReadBufferSize: 1})
	buffer := make([]byte, readBuffer) // there is one poller
	d.engine.OnRead(func(c *nbio.Conn) {
		d.open.Load() // the race detector does not see nbio's locks: this orders what follows behind Dial
		if l, ok := c.Session().(*Conn); ok {
			l.read(c, buffer)
		}
	})
	d.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if l, ok := c.Session().(*Conn); ok {
			l.written.Add(int64(n))
			d.Sent.Add(int64(n))
		}
	})
	d.engine.OnClose(func(c *nbio.Conn, err error) {
		if l, ok := c.Session().(*Conn); ok {
			l.end(err)
		}
	})
	return d, d.engine.Start()
}

// Stop ends all lines.
func (d *Dialer) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	d.engine.Shutdown(ctx)
}

// Open tells how many lines there are.
func (d *Dialer) Open() int { return int(d.open.Load()) }

// Overloaded tells that a further line finds no room.
func (d *Dialer) Full() bool { return d.open.Load() >= d.most }

// Dial begins to open a line. Reason cannot even begin is told by Closed like the rest, never from within this call.
// The connection is made by the standard library and handed to nbio once it is up: nbio's own dialer takes an IPv4
// address for 0.0.0.0, and does not look whether connecting failed.
func (d *Dialer) Dial(addr string, within time.Duration, w Handler) *Conn {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	l := &Conn{dialer: d, watcher: w, cancel: cancel}
	n := d.open.Add(1)
	for peak := d.Peak.Load(); n > peak && !d.Peak.CompareAndSwap(peak, n); peak = d.Peak.Load() {
	}
	go l.open(ctx, addr, n <= d.most)
	return l
}

func (l *Conn) open(ctx context.Context, addr string, room bool) {
	defer l.cancel()
	if !room {
		l.end(ErrTooManyConnections)
		return
	}
	connect := l.dialer.Connect
	if connect == nil {
		connect = func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
		}
	}
	std, err := connect(ctx, addr)
	if err == nil {
		err = l.connected(std)
	} else if ctx.Err() != nil || errors.Is(err, syscall.ETIMEDOUT) {
		err = ErrConnectTimeout
	}
	if err != nil {
		l.end(err)
	}
}

// read takes what the socket has and tells it.
func (l *Conn) read(c *nbio.Conn, buffer []byte) {
	for i, n := 0, len(buffer); i < readsATime && n == len(buffer) && l.alive(); i++ {
		var err error
		l.reading.Lock()
		for n, err = c.Read(buffer); errors.Is(err, syscall.EINTR); {
			n, err = c.Read(buffer)
		}
		l.unheard = n > 0
		l.dialer.Received.Add(int64(max(0, n)))
		l.reading.Unlock()
		if n == 0 && err == nil {
			err = io.EOF
		}
		if n > 0 && l.alive() {
			l.watcher.Data(buffer[:n])
		}
		l.HasReceived() // also by a watcher that never asks
		if err != nil && !errors.Is(err, syscall.EAGAIN) {
			c.CloseWithError(err)
			return
		}
	}
}

// HasReceived says that the watcher has what was read. One that asks Idle under a lock of its own says so under it.
func (l *Conn) HasReceived() {
	l.reading.Lock()
	l.unheard = false
	l.reading.Unlock()
}

func (l *Conn) alive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.over
}

// connected hands the connection to nbio and sends what was written before.
func (l *Conn) connected(std net.Conn) error {
	c, err := nbio.NBConn(std)
	if err != nil {
		std.Close()
		return err
	}
	c.SetSession(l)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return c.Close()
	}
	if _, err := l.dialer.engine.AddConn(c); err != nil {
		return err
	}
	l.conn, l.up = c, true
	if len(l.early) > 0 {
		c.Write(l.early)
		l.early = nil
	}
	return nil
}

// Write sends b, at once or when the line is up. The line keeps no part of b but copies what it must.
func (l *Conn) Write(b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted += int64(len(b))
	switch {
	case l.over:
	case l.conn == nil:
		l.early = append(l.early, b...)
	default:
		l.conn.Write(b)
	}
}

// Idle tells that the line is up and nothing has come on it that was not told yet. It may be called only while
// nothing is expected: what has come is lost. Guards against bytes that were read and wait for the watcher's lock being
// taken for the answer to a call that is written before the watcher has them.
func (l *Conn) QuietFor() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over || l.conn == nil {
		return false
	}
	l.reading.Lock()
	defer l.reading.Unlock()
	if l.unheard {
		return false
	}
	_, err := l.conn.Read(make([]byte, 1))
	return errors.Is(err, syscall.EAGAIN)
}

// ResultBadRequest reads what has come on the line and was not told yet, for a watcher that is about to end the line. It returns 0 if
// nothing has come. pending says that something was read before and is on its way to the watcher by Data: nothing is read.
func (l *Conn) HasUnread(buffer []byte) (n int, pending bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over || l.conn == nil {
		return 0, false
	}
	l.reading.Lock()
	defer l.reading.Unlock()
	if l.unheard {
		return 0, true
	}
	n, err := l.conn.Read(buffer)
	if err != nil {
		return 0, false
	}
	return n, false
}

// Attempts tells if the socket took the last byte of all that was to be written. On a line that stands this may be so a moment
// later; to act on its not being so, Cut the line.
func (l *Conn) Sent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.written.Load() >= l.wanted
}

// Abort ends the line and tells if the last byte of all that was to be written may have gone. Guards against asking first:
// a line that comes up, or takes what it has kept, between the answer and the end would carry a call that counts as never
// sent.
func (l *Conn) Abort() (sent bool) {
	l.shut()
	return l.Sent()
}

// BlockUntil ends the line; Closed is not called for it.
func (l *Conn) Close() { l.shut() }

// CloseUnlessConnected ends the line if nothing can have been sent on it yet, and tells if it did.
func (l *Conn) CloseUnlessConnected() bool { return l.finish(true) }

// end reports the line's end, once.
func (l *Conn) end(cause error) {
	if l.shut() {
		l.watcher.Closed(cause)
	}
}

func (l *Conn) shut() bool { return l.finish(false) }

func (l *Conn) finish(unlessUp bool) bool {
	l.mu.Lock()
	if l.over || unlessUp && l.up {
		l.mu.Unlock()
		return false
	}
	l.over = true
	c := l.conn
	l.mu.Unlock()
	l.dialer.open.Add(-1)
	l.cancel()
	if c != nil {
		c.Close()
	}
	return true
}

// Connected tells if the connection ever came up.
func (l *Conn) Connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up
}
