package respserver

import "time"

func (in *Server) watch() {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-in.stop:
			return
		case now := <-tick.C:
			in.sweep(now)
		}
	}
}

// sweep ends connections that have had their last answer or have been without an open command for too long, and says
// so to those that stopped within one.
func (in *Server) sweep(now time.Time) {
	over, stuck := in.overdue(now)
	for _, c := range over {
		if c.refused.Load() { // it has had its last answer
			c.conn.Close()
		} else {
			c.closeIfIdle()
		}
	}
	for _, c := range stuck {
		in.refuseStuck(c, now)
	}
}

// overdue lists the connections that are to end, and those that stopped within a command.
func (in *Server) overdue(now time.Time) (over, stuck []*Client) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for c := range in.clients {
		switch {
		case !c.closeAt.IsZero():
			if now.After(c.closeAt) {
				over = append(over, c)
			}
		case c.refused.Load() || c.unanswered.Load() > 0:
		case in.leaving && c.hadCommand && !c.partial.Load(): // its answer and its reader each left the close to the other
			over = append(over, c)
		case c.partial.Load():
			if in.stuck(c, now) {
				stuck = append(stuck, c)
			}
		case !c.hadCommand && longAgo(c.lastReadAt, in.patience.FirstCommand, now):
			in.counts.NeverSent++
			over = append(over, c)
		case longAgo(c.lastReadAt, in.patience.Idle, now):
			in.counts.Idle++
			over = append(over, c)
		}
	}
	return over, stuck
}

// stuck tells if a connection stopped within a command. The intake's lock is held.
func (in *Server) stuck(c *Client, now time.Time) bool {
	if !c.partial.Load() {
		return false
	}
	return longAgo(c.commandBegan, in.patience.FirstCommand, now) || !c.hadCommand && longAgo(c.openedAt, in.patience.FirstCommand, now)
}

// refuseStuck gives a connection that stopped within a command its last answer, if it has not gone on meanwhile. Guards
// against a command whose rest is being read just now: it would be refused and then taken on as well.
func (in *Server) refuseStuck(c *Client, now time.Time) {
	if !c.reading.TryLock() {
		return
	}
	defer c.reading.Unlock()
	in.mu.Lock()
	still := c.unanswered.Load() == 0 && in.stuck(c, now)
	if still {
		in.counts.Incomplete++
	}
	in.mu.Unlock()
	if still {
		c.refuse("ERR the command did not go on in time")
	}
}

// longAgo tells if t lies more than so many seconds before now.
func longAgo(t time.Time, seconds float64, now time.Time) bool { return now.Sub(t).Seconds() > seconds }
