package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/http1"
	"spanflow/transport"
)

// outdatedRevisionError reports that the revision of a list or change is lower than the current one.
type outdatedRevisionError struct{ revision, current int64 }

// Error returns a text with both revisions.
func (e *outdatedRevisionError) Error() string {
	return fmt.Sprintf("revision %d of the list is older than revision %d", e.revision, e.current)
}

// malformedObjectError reports that an object of the watch cannot be decoded as an endpoint list.
type malformedObjectError struct{ cause error }

// Error returns a text with the decoding error.
func (e *malformedObjectError) Error() string {
	return fmt.Sprintf("a line of the list cannot be read: %v", e.cause)
}

// Unwrap returns the decoding error.
func (e *malformedObjectError) Unwrap() error { return e.cause }

// errUnapplied reports that lists arrive faster than the listener applies them.
var errUnapplied = errors.New("the lists before this one take up the memory for lists: nothing of it is applied")

// rateError reports that a watch exceeds the client's limit of its rate.
type rateError struct{ bytesPerSecond int }

// Error returns a text with the limit.
func (e *rateError) Error() string {
	return fmt.Sprintf("the list takes over %d bytes in a second", e.bytesPerSecond)
}

// decodedBytes is the memory that a decoded list takes for each byte of its text.
const decodedBytes = 2

// watch is one connection with an open answer. It implements dial.Handler and http1.Handler. All fields are guarded by
// the client's lock.
type watch struct {
	client   *Client
	conn     *dial.Conn
	reader   http1.Reader
	status   int // of the answer; 0 until received
	objects  objectReader
	revision int64 // the current revision
	started  time.Time
	received bool      // a line has arrived
	lastLine time.Time // when the last line arrived; until then, when the watch was requested
	closed   bool

	held          int       // bytes of objects.buffer that are counted in the client's account
	second        time.Time // when the current second of the rate limit began
	bytesOfSecond int       // received since then

	timer           *time.Timer
	timerGeneration int // incremented at each start of the timer, so that one that fires late is ignored
}

// expectLine restarts the timer that ends the watch if no line arrives in time. This detects a connection that was lost
// without a close.
func (w *watch) expectLine(within time.Duration) {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.timerGeneration++
	generation := w.timerGeneration
	w.timer = w.client.afterFunc(within, func() { w.timedOut(generation) })
}

func (w *watch) timedOut(generation int) {
	w.client.mu.Lock()
	defer w.client.mu.Unlock()
	if w.timerGeneration != generation { // a line arrived while this goroutine waited for the lock
		return
	}
	if w.received {
		w.end("silent", transport.WatchSilent)
	} else {
		w.end("silent", transport.WatchTimeout)
	}
}

func (w *watch) close() {
	w.closed = true
	w.client.Memory.Release(w.held)
	w.held = 0
	w.timer.Stop()
	w.conn.Close()
}

// end closes the watch and reports its end. Further calls have no effect.
func (w *watch) end(reason string, how transport.WatchEnd) {
	if w.closed {
		return
	}
	w.close()
	if w.client.watch == w {
		w.client.watch = nil
	}
	w.client.listener.WatchEnded(reason, how, w.lastLine)
}

// failure returns the kind of end for a watch that ended for a reason other than silence. It is WatchFailed if the service
// may know nothing of it, WatchTimeout if the service did not answer promptly, else WatchBroken.
func (w *watch) failure(cause error) transport.WatchEnd {
	switch {
	case w.received || w.status == http.StatusOK:
		return transport.WatchBroken
	case !w.conn.Connected() && !errors.Is(cause, syscall.ECONNREFUSED) && !errors.Is(cause, syscall.ECONNRESET):
		return transport.WatchFailed
	case w.client.now().Sub(w.started) < promptAnswer:
		return transport.WatchBroken
	}
	return transport.WatchTimeout
}

// Data implements dial.Handler.
func (w *watch) Data(b []byte) {
	w.client.mu.Lock()
	defer w.client.mu.Unlock()
	if w.closed {
		return
	}
	_, complete, err := w.reader.Feed(b, w)
	switch {
	case err != nil:
		w.end(err.Error(), w.failure(err))
	case complete:
		w.end(fmt.Sprintf("answered %d", w.status), w.failure(nil))
	}
}

// Closed implements dial.Handler.
func (w *watch) Closed(cause error) {
	w.client.mu.Lock()
	defer w.client.mu.Unlock()
	w.end(fmt.Sprint(cause), w.failure(cause))
}

// Status implements http1.Handler.
func (w *watch) Status(code int) { w.status = code }

// Field implements http1.Handler.
func (w *watch) Field(_, _ []byte) {}

// Body implements http1.Handler: it handles the objects in the next piece of the body.
func (w *watch) Body(piece []byte) error {
	if w.status != http.StatusOK {
		return nil
	}
	if err := w.checkRate(len(piece)); err != nil {
		return err
	}
	for len(piece) > 0 {
		object, rest, complete, err := w.objects.next(piece)
		if err != nil {
			return err
		}
		w.recordHeld()
		if !complete {
			return nil
		}
		if len(object) > 0 {
			if err := w.update(object); err != nil {
				return err
			}
		} else if !w.received { // nothing has changed since the requested revision
			w.client.listener.EndpointsUpdated(&transport.EndpointList{Revision: w.revision})
		}
		w.received, w.lastLine = true, w.client.now()
		w.expectLine(silenceTimeout) // only a complete line restarts the timer, not bytes that trickle in
		piece = rest
	}
	return nil
}

// recordHeld counts the memory of the object that is being received.
func (w *watch) recordHeld() {
	held := cap(w.objects.buffer)
	w.client.Memory.Add(held - w.held)
	w.held = held
}

// reserve counts the memory of a decoded list, if the account has room for it beside the lists that are not applied yet. A
// single list always has room, as its text is limited.
func (w *watch) reserve(bytes int) bool {
	account := w.client.Memory
	if account.Held() == w.held {
		account.Add(bytes)
		return true
	}
	return account.TryAdd(bytes)
}

// checkRate returns an error if the service sends more than the limit in a second.
func (w *watch) checkRate(bytes int) error {
	if w.client.MaxBytesPerSecond == 0 {
		return nil
	}
	if now := w.client.now(); now.Sub(w.second) >= time.Second {
		w.second, w.bytesOfSecond = now, 0
	}
	if w.bytesOfSecond += bytes; w.bytesOfSecond > w.client.MaxBytesPerSecond {
		return &rateError{w.client.MaxBytesPerSecond}
	}
	return nil
}

// update reports one object, which is a complete list or a change, to the listener.
func (w *watch) update(object []byte) error {
	memory := decodedBytes * len(object)
	if !w.reserve(memory) {
		return errUnapplied
	}
	list, err := w.decode(object)
	if err != nil {
		w.client.Memory.Release(memory)
		return err
	}
	if w.client.Memory != nil {
		list.Memory = memory
	}
	w.revision = list.Revision
	w.client.listener.EndpointsUpdated(list)
	return nil
}

// decode decodes one object, and rejects one with an outdated revision.
func (w *watch) decode(object []byte) (*transport.EndpointList, error) {
	list := &transport.EndpointList{}
	if err := json.Unmarshal(object, list); err != nil {
		return nil, &malformedObjectError{err}
	}
	// A change that is older than the current list is rejected, as it could make a draining endpoint serve again. A
	// complete list in answer to the request may have a lower revision: the service has restarted its count.
	if list.Revision < w.revision && (w.received || !list.Complete) {
		return nil, &outdatedRevisionError{list.Revision, w.revision}
	}
	return list, nil
}
