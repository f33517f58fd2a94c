package forwarder

import (
	"slices"
	"sync"
	"time"

	"spanflow/internal/membudget"
	"spanflow/transport"
)

// eventQueue passes events from frontends, upstreams, discovery and operators to the goroutine of the event loop. Its
// methods are safe for concurrent use, except for take, which only the event loop may call.
type eventQueue struct {
	mu         sync.Mutex
	events     []event // all events except the requests of frontends' callers
	spare      []event // the slice returned by the last take, for reuse
	admissions []*admissionQueue

	requestMemory *membudget.Account // of the requests in admissions; nil means unlimited

	oldest  time.Time     // when the oldest queued event arrived
	closed  bool          // the last events are being taken, so Submit no longer blocks
	wakeups chan struct{} // holds a token while events are queued
}

// requestsPerTurn limits the requests taken from each frontend in a turn, so that other events do not wait for long.
const requestsPerTurn = 256

func newEventQueue() *eventQueue { return &eventQueue{wakeups: make(chan struct{}, 1)} }

func (q *eventQueue) push(ev event) {
	q.mu.Lock()
	q.wake(q.empty())
	q.events = append(q.events, ev)
	q.mu.Unlock()
}

// wake wakes the event loop. wasEmpty is true if no event was queued before. The caller holds the lock.
func (q *eventQueue) wake(wasEmpty bool) {
	if wasEmpty {
		q.oldest = time.Now()
	}
	select {
	case q.wakeups <- struct{}{}:
	default:
	}
}

// empty reports whether no event is queued. The caller holds the lock.
func (q *eventQueue) empty() bool {
	return len(q.events) == 0 && q.waitingFrontends() == 0
}

// waitingFrontends returns the number of frontends with queued requests. The caller holds the lock.
func (q *eventQueue) waitingFrontends() (waiting int) {
	for _, a := range q.admissions {
		if len(a.waiting) > 0 {
			waiting++
		}
	}
	return waiting
}

// take returns the queued events and the arrival time of the oldest one. Pushed events come first, in their order, then
// the requests of each frontend, in their order. At most requestsPerTurn are taken from each frontend and the rest stays
// for the next call. The slice, and the requests that it points to, are valid
// until release or the next call.
func (q *eventQueue) take() ([]event, time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.spare)
	events, oldest := q.events, q.oldest
	remaining := false
	for _, a := range q.admissions {
		events = a.take(events, min(len(a.waiting), requestsPerTurn))
		remaining = remaining || len(a.waiting) > 0
	}
	q.events, q.spare = q.spare[:0], events
	if remaining {
		q.wake(true)
	}
	return events, oldest
}

// release releases the memory of the requests taken last, which have been handled. The slice returned by take is no longer
// valid.
func (q *eventQueue) release() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, a := range q.admissions {
		a.release()
	}
}

// requestsWaiting reports whether requests of callers are queued.
func (q *eventQueue) requestsWaiting() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.admissions, func(a *admissionQueue) bool { return len(a.waiting) > 0 })
}

// close unblocks all current and later calls of Submit, as the event loop is about to take the last events.
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
func (q *eventQueue) WatchEnded(reason string, how transport.WatchEnd, lastLine time.Time) {
	q.push(watchEnded{reason, how, lastLine})
}

// NoticesUnanswered pushes the reason why notices were not acknowledged and will be sent again.
func (q *eventQueue) NoticesUnanswered(reason string) { q.push(noticesUnanswered(reason)) }

// NoticesAcknowledged pushes the numbers of messages whose notices were acknowledged.
func (q *eventQueue) NoticesAcknowledged(messages []uint64) { q.push(noticesAcknowledged(messages)) }

// takeUnsent takes a message out of the queued result of a call that was not sent with it, and reports whether there was
// one.
func (q *eventQueue) takeUnsent(messageID uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for n, queued := range q.events {
		result, isResult := queued.(callEnded)
		if !isResult {
			continue
		}
		messages := result.Call.Messages
		i := slices.IndexFunc(messages, func(m transport.Message) bool { return m.MessageID == messageID })
		if i < 0 || result.Codes[i].Written() {
			continue
		}
		result.Call.Messages = slices.Delete(messages, i, i+1)
		result.Codes = slices.Delete(result.Codes, i, i+1)
		q.events[n] = result
		return true
	}
	return false
}
