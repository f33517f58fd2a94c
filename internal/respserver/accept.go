package respserver

import (
	"errors"
	"net"
	"time"

	"github.com/lesismal/nbio"
)

// boundedListener is the listener; it turns connections away before nbio knows of them.
type boundedListener struct {
	net.Listener
	intake *Server
}

func (l boundedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				<-l.intake.stop // shut: the connections that there are go on
			}
			time.Sleep(acceptPause)
			return nil, err
		}
		if l.intake.admits() {
			return c, nil
		}
		c.Close()
	}
}

// admits counts a connection that comes and tells if there is room for it.
func (in *Server) admits() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.counts.Accepted++
	if len(in.clients) < in.hardLimit {
		return true
	}
	in.counts.Refused++
	return false
}

// Reason closes first to make room. One that was served comes before one that was not yet: its client takes the end of an
// idle connection as such, while the first command of the other, which may be slow to come, would be lost.
const (
	rankClosing = iota // it has had its last answer
	rankIdle           // between commands
	rankUnused         // no whole command since it came
	rankBusy           // never
)

func (c *Client) rank() int {
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

// opened takes a connection on. Finished the bound it makes room by closing another.
func (in *Server) opened(conn *nbio.Conn) {
	now := time.Now()
	c := &Client{intake: in, conn: conn, openedAt: now, lastReadAt: now}
	conn.SetSession(c)
	oldest := in.closesFirst()
	if oldest != nil && oldest.refused.Load() {
		oldest.conn.Close()
	} else if oldest != nil && !oldest.closeIfIdle() { // a command came just now: it stays, over the bound
		oldest = nil
	}
	in.mu.Lock()
	delete(in.clients, oldest) // only now: StopReading waits for all that may still be read from
	in.clients[c] = struct{}{}
	in.counts.Peak = max(in.counts.Peak, len(in.clients))
	in.mu.Unlock()
}

// closesFirst is the connection to be closed if one more comes: the one first by rank, then the one from which nothing
// has come for the longest. It is nil below the bound and if all are busy.
func (in *Server) closesFirst() *Client {
	in.mu.Lock()
	defer in.mu.Unlock()
	if len(in.clients) < in.softLimit {
		return nil
	}
	var oldest *Client
	for c := range in.clients {
		if oldest == nil || c.rank() < oldest.rank() || c.rank() == oldest.rank() && c.lastReadAt.Before(oldest.lastReadAt) {
			oldest = c
		}
	}
	rank := oldest.rank()
	if rank == rankBusy {
		return nil
	}
	in.counts.Evicted[rank]++
	return oldest
}

func (in *Server) closed(c *Client) {
	c.gone.Store(true)
	in.mu.Lock()
	delete(in.clients, c)
	in.mu.Unlock()
}
