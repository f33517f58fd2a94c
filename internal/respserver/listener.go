package respserver

import (
	"errors"
	"net"
	"time"
)

// boundedListener closes connections over the hard limit before nbio sees them.
type boundedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the hard limit. Once the listener is closed, Accept blocks until the server
// is stopped, so that the engine keeps serving open connections.
func (l boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				<-l.server.stop
			}
			time.Sleep(acceptPause)
			return nil, err
		}
		if l.server.admit() {
			return conn, nil
		}
		conn.Close()
	}
}

// admit counts a new connection and reports whether it is within the hard limit and the server has not stopped.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Accepted++
	if len(s.clients) < s.hardLimit && !s.stopped {
		s.opening++
		return true
	}
	s.stats.Refused++
	return false
}
