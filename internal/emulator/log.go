package emulator

import (
	"strings"
	"sync"
	"time"
)

// countTimeout limits the wait for a further line of a kind that was logged before.
const countTimeout = 10 * time.Second

// Log takes a program's log lines as an io.Writer and lets a test wait for one. It is safe for concurrent use, but only
// one goroutine at a time may wait.
type Log struct {
	mu      sync.Mutex
	text    strings.Builder
	written chan struct{} // has an item if something was written since the last wait
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{written: make(chan struct{}, 1)} }

// Write adds lines to the log. It never fails.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case l.written <- struct{}{}:
	default:
	}
	return l.text.Write(p)
}

// String returns all that was written.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Has reports whether text was written.
func (l *Log) Has(text string) bool { return strings.Contains(l.String(), text) }

// Count returns how often text was written.
func (l *Log) Count(text string) int { return strings.Count(l.String(), text) }

// Await waits until text was written and returns the whole log. It ends the test if text does not come within 15 s.
func (l *Log) Await(t Test, text string) string {
	t.Helper()
	return l.await(t, text, 1, patience)
}

// AwaitCount waits until text was written count times and returns the whole log. It ends the test if that takes more
// than 10 s.
func (l *Log) AwaitCount(t Test, text string, count int) string {
	t.Helper()
	return l.await(t, text, count, countTimeout)
}

func (l *Log) await(t Test, text string, count int, within time.Duration) string {
	t.Helper()
	expired := time.After(within)
	for l.Count(text) < count {
		select {
		case <-l.written:
		case <-expired:
			t.Fatalf("%d times %q in the log, want %d:\n%s", l.Count(text), text, count, l)
		}
	}
	return l.String()
}
