package forwarder

import (
	"slices"
	"sync"
	"time"

	"spanflow/transport"
)

// eventQueue is where frontends, upstreams, discovery and operators leave events for the goroutine of the event loop.
// They know nothing of each other. Its methods are safe to call from any goroutine, but for take, which is the event
// loop's alone.
type eventQueue struct {
	mu         sync.Mutex
	events     []event // all but what came by frontends
	spare      []event // the slice that take returned last
	admissions []*admissionQueue
	oldest     time.Time     // when the first of the waiting events came
	closed     bool          // the last events are being taken: nobody waits for room
	wakeups    chan struct{} // holds a token while something waits
}

// turnShare is how many requests each frontend gets into a turn while several have some waiting.
const turnShare = 256

func newEventQueue() *eventQueue { return &eventQueue{wakeups: make(chan struct{}, 1)} }

// push adds an event.
func (q *eventQueue) push(ev event) {
	q.mu.Lock()
	q.wake(q.empty())
	q.events = append(q.events, ev)
	q.mu.Unlock()
}

// wake wakes the event loop; the lock is held. wasEmpty tells that nothing has waited before.
func (q *eventQueue) wake(wasEmpty bool) {
	if wasEmpty {
		q.oldest = time.Now()
	}
	select {
	case q.wakeups <- struct{}{}:
	default:
	}
}

// empty reports whether nothing waits; the lock is held.
func (q *eventQueue) empty() bool {
	return len(q.events) == 0 && q.waitingFrontends() == 0
}

// waitingFrontends is the number of frontends with requests that wait; the lock is held.
func (q *eventQueue) waitingFrontends() (waiting int) {
	for _, a := range q.admissions {
		if len(a.waiting) > 0 {
			waiting++
		}
	}
	return waiting
}

// take returns the events, and since when the first has waited: what came from endpoints and discovery in the order of
// its coming, then what came by frontends, each frontend's in its order. While several frontends have requests waiting,
// each gets its share of the turn and the rest stays for the next. The slice, and the requests that it points to, are
// good until the next call.
func (q *eventQueue) take() ([]event, time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.spare)
	events, oldest := q.events, q.oldest
	shared := q.waitingFrontends() > 1
	left := false
	for _, a := range q.admissions {
		n := len(a.waiting)
		if shared {
			n = min(n, turnShare)
		}
		events = a.take(events, n)
		left = left || len(a.waiting) > 0
	}
	q.events, q.spare = q.spare[:0], events
	if left {
		q.wake(true)
	}
	return events, oldest
}

// requestsWaiting reports whether requests of callers wait to be taken.
func (q *eventQueue) requestsWaiting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.admissions, func(a *admissionQueue) bool { return len(a.waiting) > 0 })
}

// close lets no frontend wait for room any more: the event loop is about to take the last events.
func (q *eventQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, a := range q.admissions {
		a.room.Broadcast()
	}
}

// CallEnded takes the result of a call to an endpoint.
func (q *eventQueue) CallEnded(result transport.CallResult) { q.push(callEnded{result}) }

// EndpointsUpdated takes a list of endpoints.
func (q *eventQueue) EndpointsUpdated(list *transport.EndpointList) { q.push(endpointsUpdated{list}) }

// WatchEnded takes the end of the watch on the endpoint list.
func (q *eventQueue) WatchEnded(why string, how transport.WatchEnd) { q.push(watchEnded{why, how}) }

// NoticesUnanswered takes the reason for which notices will be sent once more.
func (q *eventQueue) NoticesUnanswered(why string) { q.push(noticesUnanswered(why)) }

// NoticesAcknowledged takes the numbers of messages whose notices were answered.
func (q *eventQueue) NoticesAcknowledged(messages []uint64) { q.push(noticesAcknowledged(messages)) }
