package emulator

import (
	"strings"
	"sync"
	"time"
)

// countTimeout is the maximum time to wait for another occurrence of a text.
const countTimeout = 10 * time.Second

// Log is an io.Writer that collects a program's log lines and lets a test wait for a text in them. It is safe for
// concurrent use, but only one goroutine at a time may wait.
type Log struct {
	mu      sync.Mutex
	text    strings.Builder
	written chan struct{} // has an item if there were writes since the last wait
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

// String returns the whole log.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Has reports whether the log contains text.
func (l *Log) Has(text string) bool { return strings.Contains(l.String(), text) }

// Count returns the number of occurrences of text in the log.
func (l *Log) Count(text string) int { return strings.Count(l.String(), text) }

// Await waits until the log contains text and returns the whole log. It fails the test after 15 s.
func (l *Log) Await(t Test, text string) string {
	t.Helper()
	return l.await(t, text, 1, eventTimeout)
}

// AwaitCount waits until the log contains text at least count times and returns the whole log. It fails the test after
// 10 s.
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
			t.Fatalf("%d occurrences of %q in the log, want %d:\n%s", l.Count(text), text, count, l)
		}
	}
	return l.String()
}
