package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/http1"
	"spanflow/transport"
)

// outdatedRevisionError says that a change is older than the list that is held.
type outdatedRevisionError struct{ revision, held int64 }

// Error names both revisions.
func (e *outdatedRevisionError) Error() string {
	return fmt.Sprintf("version %d of the list came after version %d", e.revision, e.held)
}

// malformedLineError says that an object of the watch is not JSON, or not a list.
type malformedLineError struct{ cause error }

// Error returns a text with the cause.
func (e *malformedLineError) Error() string {
	return fmt.Sprintf("a line of the list cannot be read: %v", e.cause)
}

// Unwrap returns the error of decoding the object.
func (e *malformedLineError) Unwrap() error { return e.cause }

// watch is one connection with an open answer. All of it is guarded by the client's lock.
type watch struct {
	client   *Client
	conn     *dial.Conn
	reader   http1.Reader
	status   int // of the answer; 0: not known yet
	objects  objectReader
	revision int64 // the latest that is held
	started  time.Time
	received bool // a line has arrived
	closed   bool

	timer *time.Timer
	waits int // how often the timer was started, so that one that fires late is known as such
}

// expectLine ends the watch if no line comes in time, as happens on a connection that has died unnoticed.
func (w *watch) expectLine(within time.Duration) {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.waits++
	wait := w.waits
	w.timer = w.client.afterFunc(within, func() { w.timedOut(wait) })
}

func (w *watch) timedOut(wait int) {
	w.client.mu.Lock()
	defer w.client.mu.Unlock()
	if w.waits != wait { // a line came while this waited for the lock
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
	w.timer.Stop()
	w.conn.Close()
}

// end closes the watch and reports it, once.
func (w *watch) end(reason string, how transport.WatchEnd) {
	if w.closed {
		return
	}
	w.close()
	if w.client.watch == w {
		w.client.watch = nil
	}
	w.client.listener.WatchEnded(reason, how)
}

// failure returns how a watch ended that did not fall silent: as timed out if its request got no answer in time.
func (w *watch) failure(cause error) transport.WatchEnd {
	if w.received || w.status == http.StatusOK || errors.Is(cause, dial.ErrConnectTimeout) ||
		w.client.now().Sub(w.started) < promptAnswer {
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

// Body implements http1.Handler: it takes the next piece of the list's objects.
func (w *watch) Body(piece []byte) error {
	if w.status != http.StatusOK {
		return nil
	}
	for len(piece) > 0 {
		object, rest, complete, err := w.objects.next(piece)
		if err != nil {
			return err
		}
		if !complete {
			return nil
		}
		if len(object) > 0 {
			if err := w.update(object); err != nil {
				return err
			}
		}
		w.received = true
		w.expectLine(silenceTimeout) // only now: bytes that trickle in without completing a line do not count
		piece = rest
	}
	return nil
}

// update reports one object: the whole list, or changes of it.
func (w *watch) update(object []byte) error {
	list := &transport.EndpointList{}
	if err := json.Unmarshal(object, list); err != nil {
		return &malformedLineError{err}
	}
	// A change that is older than what is held could have a draining endpoint serve again: it is refused. A complete
	// list in answer to the request may be older: the service then counts its revisions anew.
	if list.Revision < w.revision && (w.received || !list.Complete) {
		return &outdatedRevisionError{list.Revision, w.revision}
	}
	w.revision = list.Revision
	w.client.listener.EndpointsUpdated(list)
	return nil
}
