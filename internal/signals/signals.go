// Package signals handles the signals that stop a forwarder's process or reload its configuration. Programs call it at
// their start. It ensures that the process exits in time after a stop signal.
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
	exitTimeout        = 3600 * time.Millisecond // after a stop signal; the process may be killed after 3.7 s
	startupExitTimeout = time.Second             // the same for a process that is not serving yet
	interruptTimeout   = 200 * time.Millisecond  // time for a cancelled startup step to return
	logTimeout         = 10 * time.Millisecond   // limit for logging a forced exit, as nobody may be reading the log

	forcedExitLine = `{"level":"error","message":"end forced: the process did not end in time after SIGTERM"}`
)

// Signals receives the signals of a forwarder's process.
type Signals struct {
	stop    context.Context
	reloads chan os.Signal
	serving atomic.Bool
}

// Catch starts to handle signals. After SIGTERM or SIGINT it forces an exit with status 0 if the process is still
// running shortly before it may be killed, or after one second if it is not serving yet. A forced exit has the same
// effect as a kill at that moment, which the write-ahead log is designed to survive.
func Catch() *Signals {
	s := &Signals{reloads: make(chan os.Signal, 1)}
	signal.Notify(s.reloads, syscall.SIGHUP)
	s.stop, _ = signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(s.stop, func() {
		time.AfterFunc(startupExitTimeout, func() {
			if !s.serving.Load() {
				forceExit()
			}
		})
		time.AfterFunc(exitTimeout, forceExit)
	})
	return s
}

// Stop returns a context that is cancelled by the first SIGTERM or SIGINT.
func (s *Signals) Stop() context.Context { return s.stop }

// Reloads returns a channel that receives SIGHUP. It buffers one signal, so that several signals that arrive before the
// next receive cause one reload.
func (s *Signals) Reloads() <-chan os.Signal { return s.reloads }

// SetServing records that the process has started to serve clients.
func (s *Signals) SetServing() { s.serving.Store(true) }

// forceExit logs a line and exits with status 0, without waiting long for the log.
func forceExit() {
	go fmt.Fprintln(os.Stderr, forcedExitLine)
	time.Sleep(logTimeout)
	os.Exit(0)
}

// IgnoreReloads ignores SIGHUP. A program that replaces this one by exec inherits this until it calls Catch. No reload
// is lost, as the configuration has not been read yet.
func IgnoreReloads() { signal.Ignore(syscall.SIGHUP) }

// Interruptible runs a step that may take long, such as reading a large file, and returns its result. If the context
// ends first, Interruptible returns the context's error after a short wait for the step, which may continue in the
// background. The value of a step that succeeds after the context has ended is passed to discard, unless discard is
// nil.
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
	case <-time.After(interruptTimeout):
	}
	return none, ctx.Err()
}
