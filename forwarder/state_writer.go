package forwarder

import (
	"sync"
	"time"

	"spanflow/internal/statefile"
)

// stateNotWrittenTexts are the log messages on files that could not be written.
var stateNotWrittenTexts = map[string]string{
	statefile.LatenciesFile:      "learned latencies not written",
	statefile.RetryAfterFile:     "retry-after state not written",
	statefile.EndpointStatesFile: "endpoint states not written",
}

// stateWriter writes small files of the state folder from a goroutine of its own, each in its newest version. The event
// loop does not wait for it: a file system that other programs keep busy holds back the creation and the renaming of a
// file for up to a second each, in which no client would be answered and, after SIGTERM, the process would be killed.
// What it writes may be missing at the next start. It is safe for concurrent use.
type stateWriter struct {
	onError func(file string, err error)

	mu      sync.Mutex
	pending map[string]func() error // how to write each file that is due, by its name
	idle    chan struct{}           // closed when all is written; nil: nothing is being written
	closed  bool
}

func newStateWriter(onError func(file string, err error)) *stateWriter {
	return &stateWriter{onError: onError, pending: map[string]func() error{}}
}

// put has a file written soon. A version of it that is not being written yet is replaced.
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

// run writes what is due until nothing is.
func (w *stateWriter) run(idle chan<- struct{}) {
	for file, write := w.next(); write != nil; file, write = w.next() {
		if err := write(); err != nil {
			w.onError(file, err)
		}
	}
	close(idle)
}

// next takes a file that is due; nil: none is, and the goroutine that asks has ended.
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

// close waits for what is being written, but not beyond the deadline: what is due then stays unwritten. Nothing is
// written that is put later.
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
