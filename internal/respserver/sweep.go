package respserver

import "time"

// sweepPeriodically sweeps until Stop.
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

// sweep closes connections that have had their last answer or have been without an open command for too long, and gives
// those that stopped within a command their last answer.
func (s *Server) sweep(now time.Time) {
	overdue, incomplete := s.overdue(now)
	for _, c := range overdue {
		if c.refused.Load() { // it has had its last answer
			c.conn.Close()
		} else {
			c.closeIfIdle()
		}
	}
	for _, c := range incomplete {
		s.refuseIncomplete(c, now)
	}
}

// overdue returns the connections that are to be closed, and those that stopped within a command.
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
		case s.draining && c.hadCommand && !c.partial.Load(): // its answer and its reader each left the close to the other
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

// incomplete reports whether a connection stopped within a command. The server's lock is held.
func (s *Server) incomplete(c *Client, now time.Time) bool {
	if !c.partial.Load() {
		return false
	}
	limit := s.timeouts.FirstCommand
	return olderThan(c.commandBegan, limit, now) || !c.hadCommand && olderThan(c.openedAt, limit, now)
}

// refuseIncomplete gives a connection that stopped within a command its last answer, if it has not continued meanwhile.
// It guards against a command whose last bytes are being read just now: it would be refused and then submitted as well.
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
		c.refuse("ERR the command did not go on in time")
	}
}

// olderThan reports whether t is more than the given number of seconds before now.
func olderThan(t time.Time, seconds float64, now time.Time) bool {
	return now.Sub(t).Seconds() > seconds
}
