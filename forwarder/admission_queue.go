package forwarder

import (
	"slices"
	"sync"

	"spanflow/transport"
)

// Requests of a frontend wait up to these bounds, unless the configuration has others; then reading from its callers
// pauses until some are taken.
const (
	defaultWaiting      = 4096
	defaultWaitingBytes = 4 << 20 // of message bodies
)

// admissionQueue is one frontend's part of the event queue, with bounds of its own, and its transport.Submitter. It
// guards against a frontend that floods the event loop: that one waits until its own queue is no longer full, and the
// requests of the others do not wait behind its own.
type admissionQueue struct {
	queue        *eventQueue
	frontend     string // its name
	walName      string // the same as the write-ahead log has it
	maxWaiting   int
	maxBytes     int
	notFull      sync.Cond // on the event queue's lock, which guards what follows
	waiting      []request
	spare        []request // what the event loop is working on
	waitingBytes int
	closed       bool // the frontend has ended
}

// newAdmissionQueue adds a frontend's queue; a bound that is 0 is the default.
func (q *eventQueue) newAdmissionQueue(frontend, walName string, maxWaiting, maxBytes int) *admissionQueue {
	a := &admissionQueue{queue: q, frontend: frontend, walName: walName, maxWaiting: maxWaiting, maxBytes: maxBytes}
	if a.maxWaiting <= 0 {
		a.maxWaiting = defaultWaiting
	}
	if a.maxBytes <= 0 {
		a.maxBytes = defaultWaitingBytes
	}
	a.notFull.L = &q.mu
	q.mu.Lock()
	q.admissions = append(q.admissions, a)
	q.mu.Unlock()
	return a
}

// close takes the queue of a frontend that has ended out of the event queue. What still waits in it is dropped.
func (a *admissionQueue) close() {
	q := a.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	a.closed = true
	if i := slices.Index(q.admissions, a); i >= 0 {
		q.admissions = append(q.admissions[:i:i], q.admissions[i+1:]...)
	}
	a.notFull.Broadcast()
}

// Submit adds a caller's request. It blocks while the queue is full.
func (a *admissionQueue) Submit(r transport.Request) {
	q := a.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	for !q.closed && !a.closed && (len(a.waiting) >= a.maxWaiting || a.waitingBytes >= a.maxBytes) {
		a.notFull.Wait()
	}
	if a.closed {
		return
	}
	q.wake(q.empty())
	a.waitingBytes += bodySize(&r)
	a.waiting = append(a.waiting, request{r, a})
}

// Withdraw reports that the caller that waited for a message has disconnected.
func (a *admissionQueue) Withdraw(id string) { a.queue.push(callerDisconnected(id)) }

// take moves the n oldest requests to events, as pointers into the slice in which they waited; the lock is held.
func (a *admissionQueue) take(events []event, n int) []event {
	taken := a.waiting[:n]
	for i := range taken {
		events = append(events, &taken[i])
	}
	if n == len(a.waiting) { // events points into the one slice, the other is filled anew
		clear(a.spare)
		a.waiting, a.spare, a.waitingBytes = a.spare[:0], a.waiting, 0
	} else {
		for i := range taken {
			a.waitingBytes -= bodySize(&taken[i].Request)
		}
		a.waiting = a.waiting[n:]
	}
	if n > 0 {
		a.notFull.Broadcast()
	}
	return events
}

// bodySize is the size of the body of a submitted message, in bytes; 0 for any other request.
func bodySize(r *transport.Request) int {
	if r.Submission == nil {
		return 0
	}
	return len(r.Submission.Body)
}
