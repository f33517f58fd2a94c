// Package respserver serves clients that submit messages with RESP2 commands. It reads the commands, passes them to a
// transport.Submitter and writes the answers. It makes no decisions about messages.
//
// A Server owns its connections; each is represented by a Client. The engine's goroutine reports which connections have
// something to read. Another one, which readInTurns runs, gives each of them a short turn, and the event loop answers.
// What clients make the server hold is counted in the accounts of Memory. Idle connections are closed by the sweep, by Drain and to make room for new ones. Client.reading
// prevents closing a connection whose command has been read but not counted yet. Client.reading must be taken before
// Server.mu.
package respserver

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"spanflow/transport"
)

// Timeouts limit how long connections without an unanswered command stay open, in seconds.
type Timeouts struct {
	FirstCommand float64 // until the first complete command, or for the rest of an incomplete one
	Idle         float64 // between commands
}

// Limits bound what the clients of a server may take up.
type Limits struct {
	Soft, Hard int // connections, see Open
	Timeouts   Timeouts
	Memory     Memory
}

// Server accepts clients and holds their connections. It is a transport.Frontend, safe for concurrent use.
type Server struct {
	engine    *nbio.Engine
	submitter transport.Submitter
	timeouts  Timeouts
	softLimit int // at this number of connections, each new one evicts an idle one
	hardLimit int // at this number, new connections are closed unread to save file descriptors
	memory    Memory
	listener  net.Listener
	opened    atomic.Int64  // connections since the start
	turns     *readQueue    // connections to be read
	stop      chan struct{} // closed by Stop

	mu             sync.Mutex
	clients        map[*Client]struct{}
	draining       bool
	drainingSince  time.Time
	readingStopped bool
	stopped        bool
	opening        int // admitted connections that are not registered yet
	stats          transport.ConnectionStats
}

const (
	acceptPause          = 20 * time.Millisecond // after a failed accept, for example for lack of file descriptors
	stopTimeout          = 200 * time.Millisecond
	closeListenerTimeout = 20 * time.Millisecond
	sweepInterval        = 100 * time.Millisecond
	openTimeout          = 50 * time.Millisecond // for connections that are being registered when the server stops
	openPollInterval     = time.Millisecond
	closeDelay           = 200 * time.Millisecond // after the last answer, to let the client read it before the close
	maxDiscardedBytes    = 1 << 20                // limit of the input discarded after a connection's last answer
	maxWriteQueueBytes   = 256 << 10              // per connection
)

// Open listens at a TCP address. Each connection over limits.Soft evicts an idle one, if there is one. Connections over
// limits.Hard are closed at once. The caller ends the server with Stop.
func Open(addr string, limits Limits, submitter transport.Submitter) (*Server, error) {
	return open(addr, net.Listen, limits, submitter)
}

// OpenOn serves on an existing listener, such as one inherited from the platform and shared with other processes. It
// starts to accept connections at once. The server owns the listener and closes it.
func OpenOn(l net.Listener, limits Limits, submitter transport.Submitter) (*Server, error) {
	listen := func(string, string) (net.Listener, error) { return l, nil }
	return open(l.Addr().String(), listen, limits, submitter)
}

func open(
	addr string, listen func(network, addr string) (net.Listener, error), limits Limits, submitter transport.Submitter,
) (*Server, error) {
	s := &Server{
		submitter: submitter,
		timeouts:  limits.Timeouts,
		softLimit: limits.Soft,
		hardLimit: limits.Hard,
		memory:    limits.Memory,
		turns:     newReadQueue(),
		clients:   map[*Client]struct{}{},
		stop:      make(chan struct{}),
	}
	s.engine = nbio.NewEngine(nbio.Config{
		Name:               "respserver",
		Network:            "tcp",
		Addrs:              []string{addr},
		NPoller:            1,
		EpollMod:           nbio.EPOLLET, // a connection that is not read yet causes no further events
		ReadBufferSize:     1,
		MaxWriteBufferSize: maxWriteQueueBytes,
		Listen: func(network, addr string) (net.Listener, error) {
			l, err := listen(network, addr)
			s.listener = l
			return boundedListener{l, s}, err
		},
	})
	s.handleEngineEvents()
	if err := s.engine.Start(); err != nil {
		return nil, err
	}
	go s.readInTurns()
	go s.sweepPeriodically()
	return s, nil
}

func (s *Server) handleEngineEvents() {
	s.engine.OnOpen(s.open)
	s.engine.OnClose(func(conn *nbio.Conn, err error) {
		if c := s.clientOf(conn); c != nil {
			s.closed(c, err)
		}
	})
	s.engine.OnRead(func(conn *nbio.Conn) {
		if c := s.clientOf(conn); c != nil {
			s.readable(c)
		}
	})
	s.engine.OnWrittenSize(func(conn *nbio.Conn, _ []byte, n int) {
		if c := s.clientOf(conn); c != nil {
			c.written(n)
		}
	})
}

// clientOf returns the client of a connection, or nil if it has none. The race detector does not see the engine's locks;
// the load orders what follows after open.
func (s *Server) clientOf(conn *nbio.Conn) *Client {
	s.opened.Load()
	c, _ := conn.Session().(*Client)
	return c
}

// Addr returns the address on which the server listens, with the actual port.
func (s *Server) Addr() string { return s.engine.Addrs[0] }

// StopAccepting closes the listener and leaves open connections alone. The wait for the close is limited: a process
// that shares the listener may have put it in blocking mode, and then the close blocks until the next connection.
func (s *Server) StopAccepting() {
	closed := make(chan struct{})
	go func() {
		s.listener.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(closeListenerTimeout):
	}
}

// Stop closes all connections and the listener.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	close(s.stop)
	s.turns.close()
	s.refuseNew()
	s.engine.Shutdown(ctx)
}

// refuseNew refuses further connections, and waits until those that were admitted before are registered. Otherwise the
// engine could close a connection while opened registers it in another goroutine.
func (s *Server) refuseNew() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	for start := time.Now(); s.isOpening() && time.Since(start) < openTimeout; {
		time.Sleep(openPollInterval)
	}
}

func (s *Server) isOpening() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opening > 0
}

// StopReading stops reading from all connections. When it returns, every complete command that was read has been
// submitted. Clients have to resend commands that were not read.
func (s *Server) StopReading() {
	s.mu.Lock()
	s.readingStopped = true
	clients := slices.Collect(maps.Keys(s.clients))
	s.mu.Unlock()
	for _, c := range clients {
		c.awaitReader()
	}
}

// Clients returns the number of open connections.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

// Stats returns the connection counts since the server was started.
func (s *Server) Stats() transport.ConnectionStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Open = len(s.clients)
	return s.stats
}
