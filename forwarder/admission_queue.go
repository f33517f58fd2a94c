package forwarder

import (
	"slices"
	"sync"

	"spanflow/transport"
)

// Default limits of a frontend's queued requests. At a limit, reading from the frontend's callers pauses until some
// requests are taken.
const (
	defaultMaxWaitingRequests = 4096
	defaultMaxWaitingBytes    = 4 << 20 // total size of message bodies
)

// admissionQueue is the part of the event queue that belongs to one frontend, with its own limits. It implements
// transport.Submitter. A frontend that floods the event loop blocks on its own full queue and does not delay the
// requests of other frontends.
type admissionQueue struct {
	queue        *eventQueue
	frontend     string // name of the frontend
	walName      string // name of the frontend in the write-ahead log
	maxRequests  int
	maxBytes     int
	notFull      sync.Cond // uses the event queue's lock, which guards the fields below
	waiting      []request
	spare        []request // requests that the event loop is handling
	waitingBytes int
	closed       bool // the frontend was closed
}

// newAdmissionQueue adds the queue of a frontend. A limit of 0 means the default.
func (q *eventQueue) newAdmissionQueue(frontend, walName string, maxRequests, maxBytes int) *admissionQueue {
	a := &admissionQueue{queue: q, frontend: frontend, walName: walName, maxRequests: maxRequests, maxBytes: maxBytes}
	if a.maxRequests <= 0 {
		a.maxRequests = defaultMaxWaitingRequests
	}
	if a.maxBytes <= 0 {
		a.maxBytes = defaultMaxWaitingBytes
	}
	a.notFull.L = &q.mu
	q.mu.Lock()
	q.admissions = append(q.admissions, a)
	q.mu.Unlock()
	return a
}

// close removes the queue of a closed frontend from the event queue. Requests still in it are dropped.
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
	for !q.closed && !a.closed && (len(a.waiting) >= a.maxRequests || a.waitingBytes >= a.maxBytes) {
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

// take appends the n oldest requests to events, as pointers into the queue's slice, and removes them from the queue.
// The caller holds the lock.
func (a *admissionQueue) take(events []event, n int) []event {
	taken := a.waiting[:n]
	for i := range taken {
		events = append(events, &taken[i])
	}
	if n == len(a.waiting) { // events points into this slice, so new requests go into the other one
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

// bodySize returns the size of a submitted message's body in bytes, or 0 for any other request.
func bodySize(r *transport.Request) int {
	if r.Submission == nil {
		return 0
	}
	return len(r.Submission.Body)
}
