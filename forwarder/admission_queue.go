package forwarder

import (
	"slices"
	"sync"

	"spanflow/internal/membudget"
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
	memory       *membudget.Account // of the requests of all frontends, which have equal shares
	notFull      sync.Cond          // uses the event queue's lock, which guards the fields below
	waiting      []request
	spare        []request // requests that the event loop is handling
	waitingBytes int       // total size of the message bodies in waiting
	heldMemory   int       // of the requests in waiting and spare
	takenMemory  int       // of the requests in spare
	closed       bool      // the frontend was closed
}

// requestOverhead is the memory that a queued request takes beside the body of its message, in bytes.
const requestOverhead = 512

// newAdmissionQueue adds the queue of a frontend. A limit of 0 means the default.
func (q *eventQueue) newAdmissionQueue(frontend, walName string, maxRequests, maxBytes int) *admissionQueue {
	a := &admissionQueue{
		queue: q, frontend: frontend, walName: walName, maxRequests: maxRequests, maxBytes: maxBytes, memory: q.requestMemory,
	}
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
	a.memory.Release(a.heldMemory)
	a.heldMemory, a.takenMemory = 0, 0
	a.waiting = nil
	if i := slices.Index(q.admissions, a); i >= 0 {
		q.admissions = append(q.admissions[:i:i], q.admissions[i+1:]...)
	}
	a.notFull.Broadcast()
}

// Submit adds a caller's request. It blocks while the queue or its share of the account of queued requests is full.
func (a *admissionQueue) Submit(r transport.Request) {
	q := a.queue
	size := requestMemory(&r)
	q.mu.Lock()
	defer q.mu.Unlock()
	for !q.closed && !a.closed && a.full(size) {
		a.notFull.Wait()
	}
	if a.closed {
		return
	}
	q.wake(q.empty())
	a.memory.Add(size)
	a.heldMemory += size
	a.waitingBytes += bodySize(&r)
	a.waiting = append(a.waiting, request{r, a})
}

// full reports whether a request has to wait. The caller holds the lock.
func (a *admissionQueue) full(size int) bool {
	if len(a.waiting) >= a.maxRequests || a.waitingBytes >= a.maxBytes {
		return true
	}
	share := a.memory.Limit() / len(a.queue.admissions)
	return share > 0 && a.heldMemory > 0 && a.heldMemory+size > share
}

// Withdraw reports that the caller that waited for a message has disconnected.
func (a *admissionQueue) Withdraw(id string) { a.queue.push(callerDisconnected(id)) }

// ConnectionReset reports that a client has reset its connection.
func (a *admissionQueue) ConnectionReset(connection uint64) {
	a.queue.push(connectionReset{a, connection})
}

// release releases the memory of the requests taken last, which have been handled. The caller holds the lock.
func (a *admissionQueue) release() {
	if a.takenMemory == 0 {
		return
	}
	a.memory.Release(a.takenMemory)
	a.heldMemory -= a.takenMemory
	a.takenMemory = 0
	clear(a.spare)
	a.notFull.Broadcast()
}

// take appends the n oldest requests to events, as pointers into the queue's slice, and removes them from the queue. The
// caller holds the lock.
func (a *admissionQueue) take(events []event, n int) []event {
	a.release()
	taken := a.waiting[:n]
	for i := range taken {
		a.takenMemory += requestMemory(&taken[i].Request)
		a.waitingBytes -= bodySize(&taken[i].Request)
	}
	// events points into the spare slice, so that new requests cannot overwrite what is being handled.
	a.spare = append(a.spare[:0], taken...)
	for i := range a.spare {
		events = append(events, &a.spare[i])
	}
	a.waiting = slices.Delete(a.waiting, 0, n)
	if n > 0 {
		a.notFull.Broadcast()
	}
	return events
}

// requestMemory returns the memory that a queued request takes, in bytes.
func requestMemory(r *transport.Request) int { return requestOverhead + bodySize(r) }

// bodySize returns the size of a submitted message's body in bytes, or 0 for any other request.
func bodySize(r *transport.Request) int {
	if r.Submission == nil {
		return 0
	}
	return len(r.Submission.Body)
}
