package respserver

import (
	"time"

	"spanflow/internal/membudget"
)

// Memory has the accounts of the memory that clients make the server hold. A nil account is unlimited.
type Memory struct {
	Partial *membudget.Account // commands that have not arrived completely, and those that wait for their turn
	Unsent  *membudget.Account // replies that clients do not read
}

// busyReason is the answer to a command that cannot be kept until it has arrived completely. Its client may submit the
// message again.
const busyReason = "BUSY"

// recordHeld updates the account with the memory that a connection's reader takes. The server's lock and Client.reading
// are held.
func (s *Server) recordHeld(c *Client) {
	if _, open := s.clients[c]; !open {
		return // its share was released when the connection ended
	}
	held := c.reader.Held()
	s.memory.Partial.Add(held - c.held)
	c.held = held
}

// enforcePartialLimit refuses connections until the incomplete commands fit within their account again: first the one
// that has held the most memory for the longest time. A client that sends its commands at once holds memory for a moment
// only, however large they are. Client.reading of c is held.
func (s *Server) enforcePartialLimit(c *Client, now time.Time) {
	for s.memory.Partial.Exceeded() {
		worst := s.largestHolder(now)
		if worst == nil {
			return
		}
		s.memory.Partial.CountRefusal()
		if worst == c {
			s.refuse(c, busyReason)
			return
		}
		if !worst.reading.TryLock() { // it is being closed
			return
		}
		s.refuse(worst, busyReason)
		worst.reading.Unlock()
	}
}

// largestHolder returns the connection with the largest product of the memory that it holds and the time since the
// command began, or nil if no connection holds anything.
func (s *Server) largestHolder(now time.Time) (largest *Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0.0
	for c := range s.clients {
		if c.held == 0 {
			continue
		}
		age := max(now.Sub(c.commandStartedAt), time.Microsecond)
		if product := float64(c.held) * age.Seconds(); product > most {
			largest, most = c, product
		}
	}
	return largest
}

// refuse submits a malformed request, whose answer is the last one on the connection. Commands that were read completely
// are answered before it, and input received after it is discarded. Client.reading is held.
func (s *Server) refuse(c *Client, reason string) {
	s.submitBuffered(c)
	c.reader.Drop()
	c.paused = false
	c.partial.Store(false)
	s.mu.Lock()
	s.recordHeld(c)
	s.mu.Unlock()
	c.refuse(reason)
}
