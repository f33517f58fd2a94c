// Package signals catches the signals by which a forwarder's process is stopped and reloaded, from the first line of a
// program on, and makes sure that the process ends in time.
package signals

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	exitWithin      = 3600 * time.Millisecond // after SIGTERM; a process that has not ended after 3.7 s may be killed
	startExitWithin = time.Second             // the same while nobody was served yet
	interruptWithin = 200 * time.Millisecond  // for a step of the start to end by itself
	logWithin       = 10 * time.Millisecond   // for the log line of an exit, as nobody may read the log

	forcedExitLine = `{"level":"error","message":"end forced: the process did not end in time after SIGTERM"}`
)

// Signals are the signals of a process that serves.
type Signals struct {
	stop    context.Context
	reloads chan os.Signal
	serving atomic.Bool
}

// Catch catches signals from now on. A process that is still there shortly before it may be killed, or a second after
// SIGTERM if it does not serve yet, ends then with status 0, whatever it is doing: like a kill at that moment, which
// the write-ahead log is made for.
func Catch() *Signals {
	s := &Signals{reloads: make(chan os.Signal, 1)}
	signal.Notify(s.reloads, syscall.SIGHUP)
	s.stop, _ = signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(s.stop, func() {
		time.AfterFunc(startExitWithin, func() {
			if !s.serving.Load() {
				forceExit()
			}
		})
		time.AfterFunc(exitWithin, forceExit)
	})
	return s
}

// Stop ends at the first SIGTERM or SIGINT.
func (s *Signals) Stop() context.Context { return s.stop }

// Reloads gets SIGHUP. One waits in it, so that any number that come while nobody receives lead to one reload.
func (s *Signals) Reloads() <-chan os.Signal { return s.reloads }

// SetServing notes that clients are served from now on.
func (s *Signals) SetServing() { s.serving.Store(true) }

// forceExit ends the process.
func forceExit() {
	go fmt.Fprintln(os.Stderr, forcedExitLine)
	time.Sleep(logWithin)
	os.Exit(0)
}

// IgnoreReloads ignores SIGHUP also in a program that replaces this one, until that catches signals: the configuration
// is not read yet, so that nothing is missed.
func IgnoreReloads() { signal.Ignore(syscall.SIGHUP) }

// Interruptible runs a step that may take long, such as reading a large file, and returns its result. If the context
// ends first it returns the context's error; a step that does not end soon by itself goes on alone then, and what it
// returns without an error is given to discard, if that is not nil.
func Interruptible[T any](ctx context.Context, step func() (T, error), discard func(T)) (T, error) {
	type result struct {
		value T
		err   error
	}
	var none T
	if ctx.Err() != nil {
		return none, ctx.Err()
	}
	done := make(chan result, 1)
	go func() {
		value, err := step()
		done <- result{value, err}
	}()
	select {
	case r := <-done:
		return r.value, r.err
	case <-ctx.Done():
	}
	discarded := make(chan struct{})
	go func() {
		if r := <-done; r.err == nil && discard != nil {
			discard(r.value)
		}
		close(discarded)
	}()
	select {
	case <-discarded:
	case <-time.After(interruptWithin):
	}
	return none, ctx.Err()
}
