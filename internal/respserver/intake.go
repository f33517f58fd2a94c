// Package respserver serves clients: it reads their commands and writes the answers. It chooses nothing.
package respserver

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/lesismal/nbio"

	"spanflow/transport"
)

// Timeouts is how long connections without an open command are kept, in seconds.
type Timeouts struct {
	FirstCommand float64 // without a whole command, or with one that does not go on
	Idle         float64 // between commands
}

// Server holds the clients' connections.
type Server struct {
	engine    *nbio.Engine
	desk      transport.Submitter
	patience  Timeouts
	softLimit int // from here on one without a command, else the longest idle one, is closed for each new one
	hardLimit int // from here on new ones are turned away unread, so that descriptors do not run out
	mu        sync.Mutex
	clients   map[*Client]struct{}
	leaving   bool
	halted    bool // nothing more is read
	stop      chan struct{}
	counts    transport.ConnectionStats
	ln        net.Listener
}

const (
	acceptPause       = 20 * time.Millisecond // after a failed accept, for want of descriptors say
	stopWithin        = 200 * time.Millisecond
	sweepInterval     = 100 * time.Millisecond
	lingerFor         = 200 * time.Millisecond // after the last answer, so that it is read before the connection ends
	maxDiscardedBytes = 1 << 20                // bytes that are passed over while it lingers
	readBufferBytes   = 72 << 10
	maxReadsInARow    = 8 // of one connection, while others wait
	haltedPause       = 5 * time.Millisecond
)

// Open listens at an address. For each connection over softLimit an idle one is closed, if there is one; over
// hardLimit they are turned away.
func Open(addr string, softLimit, hardLimit int, patience Timeouts, desk transport.Submitter) (*Server, error) {
	return open(addr, net.Listen, softLimit, hardLimit, patience, desk)
}

// OpenOn takes connections by a socket that listens already, such as one handed down by the platform, which other
// processes may share: the connections are taken from the time of the call on.
func OpenOn(l net.Listener, softLimit, hardLimit int, patience Timeouts, desk transport.Submitter) (*Server, error) {
	listen := func(string, string) (net.Listener, error) { return l, nil }
	return open(l.Addr().String(), listen, softLimit, hardLimit, patience, desk)
}

func open(addr string, listen func(network, addr string) (net.Listener, error), softLimit, hardLimit int,
	patience Timeouts, desk transport.Submitter) (*Server, error) {
	in := &Server{
		desk:      desk,
		patience:  patience,
		softLimit: softLimit,
		hardLimit: hardLimit,
		clients:   map[*Client]struct{}{},
		stop:      make(chan struct{}),
	}
	in.engine = nbio.NewEngine(nbio.Config{Name: "intake", Network: "tcp", Addrs: []string{addr}, NPoller: 1,
		ReadBufferSize: 1, MaxWriteBufferSize: 256 << 10,
		Listen: func(network, addr string) (net.Listener, error) {
			l, err := listen(network, addr)
			in.ln = l
			return boundedListener{l, in}, err
		}})
	in.engine.OnOpen(in.opened)
	in.engine.OnClose(func(c *nbio.Conn, _ error) {
		if cl, ok := c.Session().(*Client); ok {
			in.closed(cl)
		}
	})
	buffer := make([]byte, readBufferBytes) // there is one poller
	in.engine.OnRead(func(c *nbio.Conn) {
		if cl, ok := c.Session().(*Client); ok {
			in.read(cl, buffer)
		}
	})
	if err := in.engine.Start(); err != nil {
		return nil, err
	}
	go in.watch()
	return in, nil
}

// Addr is where the intake listens.
func (in *Server) Addr() string { return in.engine.Addrs[0] }

// StopAccepting takes no new connections; those that there are go on.
func (in *Server) StopAccepting() { in.ln.Close() }

// Stop ends all connections and stops listening.
func (in *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	close(in.stop)
	in.engine.Shutdown(ctx)
}

// Drain closes each connection as soon as it has no command without an answer, so that clients go elsewhere.
func (in *Server) Drain() {
	in.mu.Lock()
	in.leaving = true
	all := slices.Collect(maps.Keys(in.clients))
	in.mu.Unlock()
	for _, c := range all {
		c.closeIfIdle()
	}
}

// StopReading reads nothing more, from any connection. When it returns, whatever was read is at the desk; what is not read is
// its client's to send once more.
func (in *Server) StopReading() {
	in.mu.Lock()
	in.halted = true
	all := slices.Collect(maps.Keys(in.clients))
	in.mu.Unlock()
	for _, c := range all {
		c.awaitReader()
	}
}

// Undrain keeps connections again after Drain, as they were before.
func (in *Server) Undrain() {
	in.mu.Lock()
	in.leaving = false
	in.mu.Unlock()
}

// MaxClients tells how many connections there are.
func (in *Server) Clients() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.clients)
}

// Stats tells what became of connections.
func (in *Server) Stats() transport.ConnectionStats {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.counts.Open = len(in.clients)
	return in.counts
}
