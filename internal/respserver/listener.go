package respserver

import (
	"errors"
	"net"
	"time"
)

// boundedListener closes connections over the hard limit before nbio knows of them.
type boundedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection for which there is room. After the listener was closed it blocks until the server
// is stopped, so that open connections go on.
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

// admit counts a new connection and reports whether there is room for it.
func (s *Server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Accepted++
	if len(s.clients) < s.hardLimit {
		return true
	}
	s.stats.Refused++
	return false
}
