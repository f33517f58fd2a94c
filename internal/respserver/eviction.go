package respserver

import (
	"time"

	"github.com/lesismal/nbio"
)

// evictionRank says which connections are closed first to make room; it indexes transport.ConnectionStats.Evicted. One
// that was served comes before one that was not yet: its client expects that an idle connection may end, while the
// first command of the other, which may be slow to arrive, would be lost.
type evictionRank int

const (
	rankClosing evictionRank = iota // it has had its last answer
	rankIdle                        // between commands
	rankUnused                      // no complete command since it was accepted
	rankBusy                        // never closed to make room
)

// rank returns the connection's rank. The server's lock is held.
func (c *Client) rank() evictionRank {
	switch {
	case !c.closeAt.IsZero():
		return rankClosing
	case c.unanswered.Load() > 0 || c.hadCommand && c.partial.Load():
		return rankBusy
	case c.hadCommand:
		return rankIdle
	}
	return rankUnused
}

// opened registers a new connection. Over the soft limit it makes room by closing another.
func (s *Server) opened(conn *nbio.Conn) {
	now := time.Now()
	c := &Client{server: s, conn: conn, openedAt: now, lastReadAt: now}
	conn.SetSession(c)
	evicted, rank := s.evictionCandidate()
	if evicted != nil && evicted.refused.Load() {
		evicted.conn.Close()
	} else if evicted != nil && !evicted.closeIfIdle() { // a command arrived just now: it stays, over the limit
		evicted = nil
	}
	s.mu.Lock()
	if evicted != nil {
		s.stats.Evicted[rank]++ // not before: the connection may have stayed
	}
	delete(s.clients, evicted) // only now: StopReading waits for all that may still be read from
	s.clients[c] = struct{}{}
	s.stats.Peak = max(s.stats.Peak, len(s.clients))
	s.mu.Unlock()
}

// evictionCandidate returns the connection to close if one more is opened: the first by rank, then the one that has
// been silent longest. It is nil below the soft limit and if all are busy.
func (s *Server) evictionCandidate() (*Client, evictionRank) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.clients) < s.softLimit {
		return nil, rankBusy
	}
	var first *Client
	for c := range s.clients {
		if first == nil || c.rank() < first.rank() || c.rank() == first.rank() && c.lastReadAt.Before(first.lastReadAt) {
			first = c
		}
	}
	rank := first.rank()
	if rank == rankBusy {
		return nil, rankBusy
	}
	return first, rank
}

// closed forgets a connection that has ended.
func (s *Server) closed(c *Client) {
	c.disconnected.Store(true)
	s.mu.Lock()
	delete(s.clients, c)
	s.mu.Unlock()
}
