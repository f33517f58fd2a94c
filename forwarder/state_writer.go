package forwarder

import (
	"sync"
	"time"

	"spanflow/internal/statefile"
)

// stateNotWrittenTexts are the log messages for files that could not be written, by file name.
var stateNotWrittenTexts = map[string]string{
	statefile.LatenciesFile:      "learned latencies not written",
	statefile.RetryAfterFile:     "retry-after state not written",
	statefile.EndpointStatesFile: "endpoint states not written",
	statefile.ListLeaseFile:      "lease of the endpoint list not written",
}

// stateWriter writes small files of the state folder from its own goroutine, only the newest version of each. The event
// loop does not wait for it: a file system that other programs keep busy can delay the creation and the renaming of a
// file by up to a second each. If the event loop waited, no client would be answered meanwhile, and after SIGTERM the
// process would be killed. In exchange, a file may be missing at the next start. stateWriter is safe for concurrent
// use.
type stateWriter struct {
	onError func(file string, err error)

	mu      sync.Mutex
	pending map[string]func() error // functions that write the queued files, by file name
	idle    chan struct{}           // closed when all files are written; nil if no goroutine is writing
	closed  bool
}

func newStateWriter(onError func(file string, err error)) *stateWriter {
	return &stateWriter{onError: onError, pending: map[string]func() error{}}
}

// put queues a file for writing. It replaces a queued version of the file.
func (w *stateWriter) put(file string, write func() error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	w.pending[file] = write
	if w.idle == nil {
		w.idle = make(chan struct{})
		go w.run(w.idle)
	}
}

// run writes the queued files until there are none.
func (w *stateWriter) run(idle chan<- struct{}) {
	for file, write := w.next(); write != nil; file, write = w.next() {
		if err := write(); err != nil {
			w.onError(file, err)
		}
	}
	close(idle)
}

// next removes and returns a queued file. If there is none, write is nil, and the caller must end, because the next put
// starts a new goroutine.
func (w *stateWriter) next() (file string, write func() error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for file, write = range w.pending {
		delete(w.pending, file)
		return file, write
	}
	w.idle = nil
	return "", nil
}

// close waits until all queued files are written, but not beyond the deadline. Files still queued at the deadline, or
// put later, are not written.
func (w *stateWriter) close(deadline time.Time) {
	w.mu.Lock()
	w.closed = true
	idle := w.idle
	w.mu.Unlock()
	if idle != nil {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		select {
		case <-idle:
		case <-timer.C:
		}
	}
	w.mu.Lock()
	clear(w.pending)
	w.mu.Unlock()
}
