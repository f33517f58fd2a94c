// Package respserver serves clients that submit messages by RESP2 commands: it reads the commands, hands them to a
// transport.Submitter and writes the answers. It makes no decisions about messages.
//
// A Server owns its connections, one Client each. The engine's one goroutine reads; the event loop answers; the sweep,
// Drain and the arrival of new connections close idle ones. Client.reading keeps any of these from closing a connection
// whose command was read and not counted yet. Client.reading is taken before Server.mu, never after.
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

// Timeouts limit how long connections without an open command are kept, in seconds.
type Timeouts struct {
	FirstCommand float64 // without a complete command, or with one that does not continue
	Idle         float64 // between commands
}

// Server accepts clients and holds their connections. It is a transport.Frontend, safe for concurrent use.
type Server struct {
	engine    *nbio.Engine
	submitter transport.Submitter
	timeouts  Timeouts
	softLimit int // from here on an idle connection is closed for each new one
	hardLimit int // from here on new connections are closed unread, so that descriptors do not run out
	listener  net.Listener
	stop      chan struct{} // closed by Stop

	mu             sync.Mutex
	clients        map[*Client]struct{}
	draining       bool
	readingStopped bool
	stats          transport.ConnectionStats
}

const (
	acceptPause         = 20 * time.Millisecond // after a failed accept, for want of descriptors for example
	stopTimeout         = 200 * time.Millisecond
	closeListenerWithin = 20 * time.Millisecond
	sweepInterval       = 100 * time.Millisecond
	closeDelay          = 200 * time.Millisecond // after the last answer, so that it is read before the connection ends
	maxDiscardedBytes   = 1 << 20                // read and discarded during closeDelay
	readBufferBytes     = 72 << 10
	maxWriteQueueBytes  = 256 << 10 // of one connection
	maxReadsInARow      = 8         // of one connection, while others wait
	stoppedReadPause    = 5 * time.Millisecond
)

// Open listens at a TCP address. For each connection over softLimit an idle one is closed, if there is one; over
// hardLimit new ones are closed. Stop ends the server.
func Open(addr string, softLimit, hardLimit int, timeouts Timeouts, submitter transport.Submitter) (*Server, error) {
	return open(addr, net.Listen, softLimit, hardLimit, timeouts, submitter)
}

// OpenOn serves on a listener, such as one inherited from the platform, which other processes may share: connections
// are accepted from the time of the call on. The server closes the listener.
func OpenOn(l net.Listener, softLimit, hardLimit int, timeouts Timeouts, submitter transport.Submitter) (*Server, error) {
	listen := func(string, string) (net.Listener, error) { return l, nil }
	return open(l.Addr().String(), listen, softLimit, hardLimit, timeouts, submitter)
}

func open(addr string, listen func(network, addr string) (net.Listener, error), softLimit, hardLimit int,
	timeouts Timeouts, submitter transport.Submitter) (*Server, error) {
	s := &Server{
		submitter: submitter,
		timeouts:  timeouts,
		softLimit: softLimit,
		hardLimit: hardLimit,
		clients:   map[*Client]struct{}{},
		stop:      make(chan struct{}),
	}
	s.engine = nbio.NewEngine(nbio.Config{
		Name:               "respserver",
		Network:            "tcp",
		Addrs:              []string{addr},
		NPoller:            1,
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
	go s.sweepPeriodically()
	return s, nil
}

// handleEngineEvents registers the server's handlers with the engine.
func (s *Server) handleEngineEvents() {
	s.engine.OnOpen(s.opened)
	s.engine.OnClose(func(conn *nbio.Conn, _ error) {
		if c, ok := conn.Session().(*Client); ok {
			s.closed(c)
		}
	})
	buffer := make([]byte, readBufferBytes) // there is one poller
	s.engine.OnRead(func(conn *nbio.Conn) {
		if c, ok := conn.Session().(*Client); ok {
			s.read(c, buffer)
		}
	})
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.engine.Addrs[0] }

// StopAccepting closes the listener; open connections go on. It does not wait for long: of a listener that other
// processes share any of them may turn off the nonblocking mode, and then closing waits until the next connection
// comes.
func (s *Server) StopAccepting() {
	closed := make(chan struct{})
	go func() {
		s.listener.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(closeListenerWithin):
	}
}

// Stop closes all connections and the listener.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	close(s.stop)
	s.engine.Shutdown(ctx)
}

// Drain closes each connection as soon as it has no unanswered command, so that clients go elsewhere.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	clients := slices.Collect(maps.Keys(s.clients))
	s.mu.Unlock()
	for _, c := range clients {
		c.closeIfIdle()
	}
}

// Undrain keeps connections again after Drain.
func (s *Server) Undrain() {
	s.mu.Lock()
	s.draining = false
	s.mu.Unlock()
}

// StopReading ends reading from all connections. When it returns, whatever was read has been submitted; what was not
// read, the client has to send again.
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

// Stats returns the connection counts since the start.
func (s *Server) Stats() transport.ConnectionStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Open = len(s.clients)
	return s.stats
}
