package forwarder

import (
	"slices"
	"sync"
	"time"

	"spanflow/transport"
)

// Exchange is where frontends, upstreams and sources leave their news for the one goroutine that owns the scheduler.
// They know nothing of each other.
type Exchange struct {
	mu     sync.Mutex
	news   []any
	spare  []any
	gates  []*gate
	oldest time.Time
	closed bool // the last news are being taken: nobody waits for room
	bell   chan struct{}
}

// Messages handed in by a frontend wait here up to so much; then reading from its callers pauses until some are taken.
const (
	mostWaiting  = 4096
	waitingBytes = 4 << 20
	turnShare    = 256 // of each frontend a turn, while several have something waiting
)

// gate is a frontend's own way in, with bounds of its own. Guards against a frontend that floods: it waits at its own
// gate, and the others' messages do not wait behind its own.
type gate struct {
	x         *Exchange
	front     string // its name
	name      string // as the write-ahead log has it
	room      sync.Cond
	waiting   []asked
	spare     []asked
	most      int
	bytes     int
	mostBytes int
	shut      bool // the frontend has ended
}

// asked is what a frontend's caller wants, with the frontend's name.
type asked struct {
	transport.Request
	front *gate
}

func newExchange() *Exchange { return &Exchange{bell: make(chan struct{}, 1)} }

// gate makes a frontend's way in; it takes the default where a bound is 0.
func (x *Exchange) gate(front, name string, most, mostBytes int) *gate {
	g := &gate{x: x, front: front, name: name, most: most, mostBytes: mostBytes}
	if g.most <= 0 {
		g.most = mostWaiting
	}
	if g.mostBytes <= 0 {
		g.mostBytes = waitingBytes
	}
	g.room.L = &x.mu
	x.mu.Lock()
	x.gates = append(x.gates, g)
	x.mu.Unlock()
	return g
}

// shutGate lets go of the way in of a frontend that has ended.
func (x *Exchange) shutGate(g *gate) {
	x.mu.Lock()
	defer x.mu.Unlock()
	g.shut = true
	for i, other := range x.gates {
		if other == g {
			x.gates = append(x.gates[:i:i], x.gates[i+1:]...)
		}
	}
	g.room.Broadcast()
}

// ring wakes the event loop; the lock is held.
func (x *Exchange) ring(nothing bool) {
	if nothing {
		x.oldest = time.Now()
	}
	select {
	case x.bell <- struct{}{}:
	default:
	}
}

// empty tells that nothing waits; the lock is held.
func (x *Exchange) empty() bool {
	for _, g := range x.gates {
		if len(g.waiting) > 0 {
			return false
		}
	}
	return len(x.news) == 0
}

func (x *Exchange) leave(n any) {
	x.mu.Lock()
	x.ring(x.empty())
	x.news = append(x.news, n)
	x.mu.Unlock()
}

// take returns the news, and since when the first has waited: what came from endpoints and discovery in the order of
// its coming, then what came by frontends, each frontend's in its order. While several frontends have something
// waiting, each gets its share of the turn and the rest stays for the next. The slice is good until the next call.
func (x *Exchange) take() ([]any, time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	clear(x.spare)
	news, oldest := x.news, x.oldest
	busy := 0
	for _, g := range x.gates {
		if len(g.waiting) > 0 {
			busy++
		}
	}
	left := false
	for _, g := range x.gates {
		n := len(g.waiting)
		if busy > 1 {
			n = min(n, turnShare)
		}
		for i := range g.waiting[:n] {
			news = append(news, &g.waiting[i])
		}
		if n == len(g.waiting) { // news points into the one slice, the other is filled anew
			clear(g.spare)
			g.waiting, g.spare, g.bytes = g.spare[:0], g.waiting, 0
		} else {
			for i := range g.waiting[:n] {
				g.bytes -= size(&g.waiting[i])
			}
			g.waiting, left = g.waiting[n:], true
		}
		if n > 0 {
			g.room.Broadcast()
		}
	}
	x.news, x.spare = x.spare[:0], news
	if left {
		x.ring(true)
	}
	return news, oldest
}

// asked tells that something which callers asked waits to be taken.
func (x *Exchange) asked() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.ContainsFunc(x.gates, func(g *gate) bool { return len(g.waiting) > 0 })
}

// close lets no frontend wait for room any more: the event loop is about to take the last news.
func (x *Exchange) close() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.closed = true
	for _, g := range x.gates {
		g.room.Broadcast()
	}
}

func size(a *asked) int {
	if a.Submission == nil {
		return 0
	}
	return len(a.Submission.Body)
}

// Submit is what a caller wants. It waits while too much of its frontend lies here.
func (g *gate) Submit(a transport.Request) {
	x := g.x
	x.mu.Lock()
	defer x.mu.Unlock()
	for !x.closed && !g.shut && (len(g.waiting) >= g.most || g.bytes >= g.mostBytes) {
		g.room.Wait()
	}
	if g.shut {
		return
	}
	x.ring(x.empty())
	n := asked{a, g}
	g.bytes += size(&n)
	g.waiting = append(g.waiting, n)
}

// Withdraw says that the caller that waited for a message has gone.
func (g *gate) Withdraw(id string) { g.x.leave(withdrawn(id)) }

// CallEnded is the end of a call.
func (x *Exchange) CallEnded(e transport.CallResult) { x.leave(e) }

// EndpointsUpdated is news of the list.
func (x *Exchange) EndpointsUpdated(l *transport.EndpointList) { x.leave(l) }

// WatchEnded says that the list stopped coming.
func (x *Exchange) WatchEnded(why string, how transport.WatchEnd) { x.leave(watchEnded{why, how}) }

// NoticesUnanswered says that notices will be sent once more.
func (x *Exchange) NoticesUnanswered(why string) { x.leave(noticesLost(why)) }

// NoticeAcknowledged says which notices were answered.
func (x *Exchange) NoticesAcknowledged(doors []uint64) { x.leave(told(doors)) }

type (
	watchEnded struct {
		why string
		how transport.WatchEnd
	}
	noticesLost string
	told        []uint64
	withdrawn   string
	stopping    time.Duration
)
