package intake

import (
	"time"
)

func (in *Intake) watch() {
	tick := time.NewTicker(sweepEvery)
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
func (in *Intake) sweep(now time.Time) {
	var over, late []*Client
	before := func(t time.Time, seconds float64) bool { return now.Sub(t).Seconds() > seconds }
	stuck := func(c *Client) bool {
		return c.partial.Load() && (before(c.since, in.patience.Silent) || !c.spoke && before(c.born, in.patience.Silent))
	}
	in.mu.Lock()
	for c := range in.clients {
		switch {
		case !c.ends.IsZero():
			if now.After(c.ends) {
				over = append(over, c)
			}
		case c.mute.Load() || c.asked.Load() > 0:
		case in.leaving && c.spoke && !c.partial.Load(): // its answer and its reader each left the close to the other
			over = append(over, c)
		case c.partial.Load():
			if stuck(c) {
				late = append(late, c)
			}
		case !c.spoke && before(c.last, in.patience.Silent):
			in.counts.Silent++
			over = append(over, c)
		case before(c.last, in.patience.Quiet):
			in.counts.Quiet++
			over = append(over, c)
		}
	}
	in.mu.Unlock()
	for _, c := range over {
		if c.mute.Load() { // it has had its last answer
			c.conn.Close()
		} else {
			c.end()
		}
	}
	for _, c := range late {
		// Guards against a command whose rest is being read just now: it would be refused and then taken on as well.
		if !c.reading.TryLock() {
			continue
		}
		in.mu.Lock()
		still := c.asked.Load() == 0 && stuck(c)
		if still {
			in.counts.Stuck++
		}
		in.mu.Unlock()
		if still {
			c.refuse("ERR the command did not go on in time")
		}
		c.reading.Unlock()
	}
}
