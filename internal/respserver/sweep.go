package respserver

import "time"

func (s *Server) sweepPeriodically() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.stop:
			return
		case now := <-tick.C:
			s.sweep(now)
		}
	}
}

// sweep closes connections whose last answer has been sent or that have been idle for too long, and refuses those whose
// command did not arrive completely in time.
func (s *Server) sweep(now time.Time) {
	overdue, incomplete := s.overdue(now)
	draining, _ := s.readingState()
	for _, c := range overdue {
		switch {
		case c.refused.Load() || c.ended.Load(): // its last answer has been sent, or there is nobody to read it
			c.conn.Close()
		case c.finished.Load():
			c.closeFinished(now)
		case draining:
			c.closeIfDrained()
		default:
			c.closeIfIdle()
		}
	}
	for _, c := range incomplete {
		s.refuseIncomplete(c, now)
	}
}

// overdue returns the connections to close and those whose command did not arrive completely in time.
func (s *Server) overdue(now time.Time) (overdue, incomplete []*Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		switch {
		case !c.closeAt.IsZero():
			if now.After(c.closeAt) {
				overdue = append(overdue, c)
			}
		case c.refused.Load() || c.unanswered.Load() > 0:
		case s.drainedFor(c, now) > drainLimit && !c.partial.Load():
			c.finished.Store(true) // also if it does not read its replies, or has sent nothing so far
			overdue = append(overdue, c)
		case s.draining && c.hadCommand && !c.partial.Load():
			// Answer and the reader may each have relied on the other to close the connection.
			overdue = append(overdue, c)
		case c.partial.Load():
			if s.incomplete(c, now) {
				incomplete = append(incomplete, c)
			}
		case !c.hadCommand && olderThan(c.lastReadAt, s.timeouts.FirstCommand, now):
			s.stats.NeverSent++
			overdue = append(overdue, c)
		case olderThan(c.lastReadAt, s.timeouts.Idle, now):
			s.stats.Idle++
			overdue = append(overdue, c)
		}
	}
	return overdue, incomplete
}

// incomplete reports whether the rest of a partial command is overdue. The server's lock is held.
func (s *Server) incomplete(c *Client, now time.Time) bool {
	if !c.partial.Load() {
		return false
	}
	limit := s.timeouts.FirstCommand
	return s.drainedFor(c, now) > drainLimit || olderThan(c.commandStartedAt, limit, now) || !c.hadCommand && olderThan(c.openedAt, limit, now)
}

// refuseIncomplete refuses a connection whose command is still incomplete. It skips a connection that is being read:
// its command may be about to be completed, and would be refused and also submitted.
func (s *Server) refuseIncomplete(c *Client, now time.Time) {
	if !c.reading.TryLock() {
		return
	}
	defer c.reading.Unlock()
	s.mu.Lock()
	refuse := c.unanswered.Load() == 0 && s.incomplete(c, now)
	if refuse {
		s.stats.Incomplete++
	}
	s.mu.Unlock()
	if refuse {
		s.refuse(c, "ERR the command did not go on in time")
	}
}

func olderThan(t time.Time, seconds float64, now time.Time) bool {
	return now.Sub(t).Seconds() > seconds
}
