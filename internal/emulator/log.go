package emulator

import (
	"strings"
	"sync"
	"time"
)

// Log takes a program's log lines and lets a test wait for one.
type Log struct {
	mu   sync.Mutex
	text strings.Builder
	more chan struct{}
}

// Test is what of a test the log needs.
type Test interface {
	Helper()
	Fatalf(format string, args ...any)
}

const patience = 15 * time.Second

// NewLog is empty.
func NewLog() *Log { return &Log{more: make(chan struct{}, 1)} }

func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case l.more <- struct{}{}:
	default:
	}
	return l.text.Write(p)
}

func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Has tells if a word was written, Count how often.
func (l *Log) Has(word string) bool  { return strings.Contains(l.String(), word) }
func (l *Log) Count(word string) int { return strings.Count(l.String(), word) }

// Await waits for a word and returns the log.
func (l *Log) Await(t Test, word string) string {
	t.Helper()
	late := time.After(patience)
	for !l.Has(word) {
		select {
		case <-l.more:
		case <-late:
			t.Fatalf("no %q in the log:\n%s", word, l)
		}
	}
	return l.String()
}
