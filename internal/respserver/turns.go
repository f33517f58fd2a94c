package respserver

import "sync"

// lightTurnsInARow is the number of turns of light connections after which a heavy one gets a turn, if one waits.
const lightTurnsInARow = 8

// readQueue is the order in which connections with something to read get their turns. A connection is in it once at
// most. Heavy connections, which sent much in their last turn, have a queue of their own, so that a small command does
// not wait for the large ones of all other connections. It is safe for concurrent use.
type readQueue struct {
	mu           sync.Mutex
	filled       sync.Cond
	light, heavy []*Client
	lightTurns   int // since the last turn of a heavy connection
	closed       bool
}

func newReadQueue() *readQueue {
	q := &readQueue{}
	q.filled.L = &q.mu
	return q
}

// add gives a connection a turn after all others of its kind that are in the queue.
func (q *readQueue) add(c *Client) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || !c.queued.CompareAndSwap(false, true) {
		return
	}
	if c.heavy.Load() {
		q.heavy = append(q.heavy, c)
	} else {
		q.light = append(q.light, c)
	}
	q.filled.Signal()
}

// next waits for the connection whose turn it is. It returns nil once the queue is closed.
func (q *readQueue) next() *Client {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.light)+len(q.heavy) == 0 && !q.closed {
		q.filled.Wait()
	}
	if q.closed {
		return nil
	}
	turns := &q.light
	if len(q.light) == 0 || len(q.heavy) > 0 && q.lightTurns >= lightTurnsInARow {
		turns, q.lightTurns = &q.heavy, 0
	} else {
		q.lightTurns++
	}
	c := (*turns)[0]
	(*turns)[0] = nil
	*turns = (*turns)[1:]
	c.queued.Store(false)
	return c
}

func (q *readQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.light, q.heavy = nil, nil
	q.filled.Broadcast()
}
