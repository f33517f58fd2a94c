package forward

import (
	"sync"
	"time"

	"spanflow/internal/directory"
	"spanflow/internal/intake"
	"spanflow/internal/outlet"
)

// Exchange is where clients' side, targets' side and discovery's side leave their news for the one goroutine that
// owns the module. They know nothing of each other.
type Exchange struct {
	mu     sync.Mutex
	room   sync.Cond
	news   []any
	spare  []any
	bytes  int // of documents that wait
	oldest time.Time
	closed bool // nobody takes news any more
	bell   chan struct{}
}

// Documents handed in wait here up to so much; then reading from clients pauses until some are taken.
const (
	mostWaiting = 4096
	mostBytes   = 4 << 20
)

func newExchange() *Exchange {
	x := &Exchange{bell: make(chan struct{}, 1)}
	x.room.L = &x.mu
	return x
}

func (x *Exchange) put(n any) {
	if len(x.news) == 0 {
		x.oldest = time.Now()
	}
	x.news = append(x.news, n)
	select {
	case x.bell <- struct{}{}:
	default:
	}
}

func (x *Exchange) leave(n any) {
	x.mu.Lock()
	x.put(n)
	x.mu.Unlock()
}

// take returns all news in the order of their coming, and since when the first has waited. The slice is good until
// the next call.
func (x *Exchange) take() ([]any, time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	clear(x.spare)
	news := x.news
	x.news, x.spare, x.bytes = x.spare[:0], news, 0
	x.room.Broadcast()
	return news, x.oldest
}

func (x *Exchange) close() {
	x.mu.Lock()
	x.closed = true
	x.mu.Unlock()
	x.room.Broadcast()
}

// Ask is a client's command. It waits while too much lies here.
func (x *Exchange) Ask(a intake.Asked) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for !x.closed && (len(x.news) >= mostWaiting || x.bytes >= mostBytes) {
		x.room.Wait()
	}
	if a.Paper != nil {
		x.bytes += len(a.Paper.Body)
	}
	x.put(a)
}

// CallEnded is the end of a call.
func (x *Exchange) CallEnded(e outlet.Ended) { x.leave(e) }

// Listed is news of the list.
func (x *Exchange) Listed(l *directory.List) { x.leave(l) }

// WatchEnded says that the list stopped coming.
func (x *Exchange) WatchEnded(why string) { x.leave(watchEnded(why)) }

// NoticesLost says that notices will be sent once more.
func (x *Exchange) NoticesLost(why string) { x.leave(noticesLost(why)) }

// Told says which notices were answered.
func (x *Exchange) Told(doors []uint64) { x.leave(told(doors)) }

type (
	watchEnded string
	told       []uint64

	noticesLost string
	stopping    time.Duration
)
