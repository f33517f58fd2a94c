package hollow

import (
	"net"
	"sync"
	"sync/atomic"
)

// traffic counts bytes of application data, without the headers of TCP and IP.
type traffic struct {
	received, sent atomic.Int64
}

// gate controls the connections between discovery and the forwarders of one zone. While it is cut, connections stay
// open but nothing is sent on them. When it is restored, all connections that are open are reset.
type gate struct {
	traffic *traffic
	mu      sync.Mutex
	passing chan struct{} // closed unless the gate is cut
	open    map[*gatedConn]struct{}
}

func newGate(t *traffic) *gate {
	g := &gate{traffic: t, passing: make(chan struct{}), open: map[*gatedConn]struct{}{}}
	close(g.passing)
	return g
}

// cut stops all sending. The gate must not be cut already.
func (g *gate) cut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.passing = make(chan struct{})
}

// restore ends a cut and resets the open connections.
func (g *gate) restore() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.open {
		c.reset()
	}
	close(g.passing)
}

func (g *gate) passes() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.passing
}

// gatedListener accepts connections and puts them under a gate.
type gatedListener struct {
	net.Listener
	gate *gate
}

// Accept returns the next connection, whose writes wait while the gate is cut.
func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	gated := &gatedConn{Conn: c, gate: l.gate}
	l.gate.mu.Lock()
	l.gate.open[gated] = struct{}{}
	l.gate.mu.Unlock()
	return gated, nil
}

// gatedConn is a connection through a gate, which counts its bytes.
type gatedConn struct {
	net.Conn
	gate *gate
}

// Read reads from the connection and counts the bytes as received.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.gate.traffic.received.Add(int64(n))
	return n, err
}

// Write waits while the gate is cut, then writes and counts the bytes as sent.
func (c *gatedConn) Write(b []byte) (int, error) {
	<-c.gate.passes()
	n, err := c.Conn.Write(b)
	c.gate.traffic.sent.Add(int64(n))
	return n, err
}

// Close removes the connection from the gate and closes it.
func (c *gatedConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.open, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *gatedConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Conn.Close()
}
