package forwarder

import (
	"slices"
	"sync"
	"time"

	"spanflow/transport"
)

// eventQueue passes events from frontends, upstreams, discovery and operators to the goroutine of the event loop. Its
// methods are safe to call from any goroutine, but for take, which only the event loop may call.
type eventQueue struct {
	mu         sync.Mutex
	events     []event // all but the requests of frontends' callers
	spare      []event // the slice that take returned last
	admissions []*admissionQueue
	oldest     time.Time     // when the first of the waiting events came
	closed     bool          // the last events are being taken: Submit does not block
	wakeups    chan struct{} // holds a token while something waits
}

// requestsPerTurn is how many requests each frontend gets into a turn while several have some waiting.
const requestsPerTurn = 256

func newEventQueue() *eventQueue { return &eventQueue{wakeups: make(chan struct{}, 1)} }

// push adds an event.
func (q *eventQueue) push(ev event) {
	q.mu.Lock()
	q.wake(q.empty())
	q.events = append(q.events, ev)
	q.mu.Unlock()
}

// wake wakes the event loop; the lock is held. wasEmpty is true if no event has waited before.
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

// take returns the waiting events, and since when the first has waited: events that were pushed in their order, then
// the requests of each frontend in their order. While several frontends have requests waiting, each gets at most
// requestsPerTurn and the others stay for the next call. The slice, and the requests that it points to, are valid
// until the next call.
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
			n = min(n, requestsPerTurn)
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

// close unblocks frontends that wait in Submit, now and later: the event loop is about to take the last events.
func (q *eventQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, a := range q.admissions {
		a.notFull.Broadcast()
	}
}

// CallEnded pushes the result of a call to an endpoint.
func (q *eventQueue) CallEnded(result transport.CallResult) { q.push(callEnded{result}) }

// EndpointsUpdated pushes a list of endpoints.
func (q *eventQueue) EndpointsUpdated(list *transport.EndpointList) { q.push(endpointsUpdated{list}) }

// WatchEnded pushes the end of the watch on the endpoint list.
func (q *eventQueue) WatchEnded(reason string, how transport.WatchEnd) {
	q.push(watchEnded{reason, how})
}

// NoticesUnanswered pushes the reason why notices will be sent once more.
func (q *eventQueue) NoticesUnanswered(reason string) { q.push(noticesUnanswered(reason)) }

// NoticesAcknowledged pushes the numbers of messages whose notices were acknowledged.
func (q *eventQueue) NoticesAcknowledged(messages []uint64) { q.push(noticesAcknowledged(messages)) }
