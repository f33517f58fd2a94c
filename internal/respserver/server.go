// Package respserver serves clients that submit messages with RESP2 commands. It reads the commands, passes them to a
// transport.Submitter and writes the answers. It makes no decisions about messages.
//
// A Server owns its connections; each is represented by a Client. The engine's single goroutine reads, and the event
// loop answers. Idle connections are closed by the sweep, by Drain and to make room for new ones. Client.reading
// prevents closing a connection whose command has been read but not counted yet. Client.reading must be taken before
// Server.mu.
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

// Timeouts limit how long connections without an unanswered command stay open, in seconds.
type Timeouts struct {
	FirstCommand float64 // until the first complete command, or for the rest of an incomplete one
	Idle         float64 // between commands
}

// Server accepts clients and holds their connections. It is a transport.Frontend, safe for concurrent use.
type Server struct {
	engine    *nbio.Engine
	submitter transport.Submitter
	timeouts  Timeouts
	softLimit int // at this number of connections, each new one evicts an idle one
	hardLimit int // at this number, new connections are closed unread to save file descriptors
	listener  net.Listener
	stop      chan struct{} // closed by Stop

	mu             sync.Mutex
	clients        map[*Client]struct{}
	draining       bool
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
	readBufferBytes      = 72 << 10
	maxWriteQueueBytes   = 256 << 10 // per connection
	maxReadsInARow       = 8         // consecutive reads of one connection before others get their turn
	stoppedReadPause     = 5 * time.Millisecond
)

// Open listens at a TCP address. Each connection over softLimit evicts an idle one, if there is one. Connections over
// hardLimit are closed at once. The caller ends the server with Stop.
func Open(addr string, softLimit, hardLimit int, timeouts Timeouts, submitter transport.Submitter) (*Server, error) {
	return open(addr, net.Listen, softLimit, hardLimit, timeouts, submitter)
}

// OpenOn serves on an existing listener, such as one inherited from the platform and shared with other processes. It
// starts to accept connections at once. The server owns the listener and closes it.
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

func (s *Server) handleEngineEvents() {
	s.engine.OnOpen(s.opened)
	s.engine.OnClose(func(conn *nbio.Conn, _ error) {
		if c, ok := conn.Session().(*Client); ok {
			s.closed(c)
		}
	})
	buffer := make([]byte, readBufferBytes) // shared by all connections, as there is only one poller
	s.engine.OnRead(func(conn *nbio.Conn) {
		if c, ok := conn.Session().(*Client); ok {
			s.read(c, buffer)
		}
	})
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

// Drain closes each connection as soon as it has no unanswered command, so that clients move to other forwarders.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = true
	clients := slices.Collect(maps.Keys(s.clients))
	s.mu.Unlock()
	for _, c := range clients {
		c.closeIfIdle()
	}
}

// Undrain reverses Drain: connections stay open between commands again.
func (s *Server) Undrain() {
	s.mu.Lock()
	s.draining = false
	s.mu.Unlock()
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
