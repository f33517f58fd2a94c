package respserver

import (
	"errors"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

// evictionRank is the order in which connections are closed to make room, lowest first. It is also an index into
// transport.ConnectionStats.Evicted. A connection that has sent a command is closed before one that has not. Its client
// expects that idle connections may be closed, whereas the first command on an unused connection may already have been
// sent and would be lost.
type evictionRank int

const (
	rankClosing evictionRank = iota // the last answer has been sent
	rankIdle                        // between commands
	rankUnused                      // no complete command received yet
	rankBusy                        // with a command under way; closed once all its commands are answered
)

// rank must be called with the server's lock held.
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

// connections numbers the connections of all servers of the process.
var connections atomic.Uint64

// open registers a new connection. If the soft limit is reached, it closes another connection to make room.
func (s *Server) open(conn *nbio.Conn) {
	now := time.Now()
	c := &Client{server: s, conn: conn, number: connections.Add(1), openedAt: now, lastReadAt: now}
	conn.SetSession(c)
	s.opened.Add(1)
	evicted, rank := s.evictionCandidate()
	closed := evicted != nil && evicted.evict(rank)
	s.mu.Lock()
	if closed {
		s.stats.Evicted[rank]++ // not counted before the connection is known to be closed
		if rank != rankBusy {
			s.remove(evicted) // only after the close, as StopReading waits for every connection that may still be read
		}
	}
	s.clients[c] = struct{}{}
	s.opening--
	s.stats.Peak = max(s.stats.Peak, len(s.clients))
	s.mu.Unlock()
}

// evictionCandidate returns the connection to close when a new one is opened: the one with the lowest rank and, within
// a rank, the one silent for longest; of busy ones the one that has sent the most commands for its age. It returns nil
// below the soft limit, or if all connections are being closed.
func (s *Server) evictionCandidate() (*Client, evictionRank) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.clients) < s.softLimit {
		return nil, rankBusy
	}
	now := time.Now()
	var first *Client
	firstRank := rankBusy
	for c := range s.clients {
		if c.evicted.Load() || c.ended.Load() { // closed soon
			continue
		}
		if rank := c.rank(); first == nil || rank < firstRank || rank == firstRank && c.evictedBefore(first, rank, now) {
			first, firstRank = c, rank
		}
	}
	return first, firstRank
}

// evictedBefore reports whether a connection is evicted before another one of the same rank. The server's lock is held.
func (c *Client) evictedBefore(other *Client, rank evictionRank, now time.Time) bool {
	if rank == rankBusy {
		return c.commandRate(now) > other.commandRate(now)
	}
	return c.lastReadAt.Before(other.lastReadAt)
}

// rateWindow is the least time over which the commands of a connection are counted. The first command of a new connection
// would otherwise look like a flood.
const rateWindow = time.Second

// commandRate returns the complete commands received per second. The server's lock is held.
func (c *Client) commandRate(now time.Time) float64 {
	return float64(c.commands) / max(now.Sub(c.openedAt), rateWindow).Seconds()
}

// evict closes a connection of a rank to make room, and reports whether it did. One that is busy, or stopped within its
// first command, is read no further and closed by its reader once all commands that were read are answered. One on which
// a command has just arrived stays open.
func (c *Client) evict(rank evictionRank) bool {
	switch {
	case c.refused.Load():
		c.conn.Close()
		return true
	case rank != rankBusy && c.closeIfIdle():
		return true
	case rank == rankBusy || rank == rankUnused && c.partial.Load():
		c.evicted.Store(true)
		c.server.turns.add(c)
		return rank == rankBusy
	}
	return false
}

// closeEvicted closes an evicted connection whose commands are answered: at once, or after a while if the client has not
// received all replies. Client.reading is held.
func (c *Client) closeEvicted() {
	if c.closeDiscardsReplies() {
		c.finish()
		return
	}
	c.conn.Close()
}

// closed handles the end of a connection and removes it from the server. The engine calls it in a goroutine of its own,
// after the socket was closed.
func (s *Server) closed(c *Client, cause error) {
	c.disconnected.Store(true)
	c.releaseUnsent()
	s.mu.Lock()
	s.remove(c)
	s.mu.Unlock()
	reset := c.reset.Load() || errors.Is(cause, syscall.ECONNRESET) || errors.Is(cause, syscall.EPIPE)
	if reset && c.accepted.Load() {
		s.submitter.ConnectionReset(c.number)
	}
}

// remove removes a connection and releases its memory. The server's lock is held.
func (s *Server) remove(c *Client) {
	if _, open := s.clients[c]; open {
		s.memory.Partial.Release(c.held)
		c.held = 0
		delete(s.clients, c)
	}
}
