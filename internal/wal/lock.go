package wal

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	lockFile     = "owner"
	minLockWait  = time.Second // a killed process may still hold the folder for a moment
	lockRetry    = 20 * time.Millisecond
	maxPIDLength = 32 // maximum number of bytes read from a lock file
)

// LockedError is the error for a folder that another running process holds.
type LockedError struct {
	Dir string
	PID int // 0 if unknown
}

// Error names the folder and, if known, the process that holds it.
func (e *LockedError) Error() string {
	if e.PID == 0 {
		return e.Dir + " belongs to another running process"
	}
	return fmt.Sprintf("%s belongs to another running process, pid %d", e.Dir, e.PID)
}

// lockFolder locks a folder for this process, so that no two forwarders send the pending messages in it. The kernel
// releases the lock when the process ends for any reason, so nothing needs to be cleaned up. lockFolder returns nil if
// the lock file cannot be created or locked (a full disk, a file system without locks); the forwarder then runs without
// a lock.
func lockFolder(ctx context.Context, dir string, wait time.Duration) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, nil
	}
	for began := time.Now(); ; time.Sleep(lockRetry) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) {
			break
		}
		if ctx.Err() != nil {
			return nil, errors.Join(ctx.Err(), f.Close())
		}
		if time.Since(began) > wait {
			return nil, errors.Join(&LockedError{Dir: dir, PID: LockHolder(dir)}, f.Close())
		}
	}
	if err != nil {
		_ = f.Close() // nothing was written to it
		return nil, nil
	}
	if f.Truncate(0) == nil {
		_, _ = fmt.Fprintln(f, os.Getpid()) // for information only; the lock does not depend on it
	}
	return f, nil
}

// LockHolder returns the pid of the running process that holds a folder, or 0 if none is known.
func LockHolder(dir string) int { return LockHolderOfFile(filepath.Join(dir, lockFile)) }

// LockHolderOfFile returns the pid of the running process that holds a lock file, as written in the file, or 0 if none
// is known. It does not change the file and holds the lock only briefly.
func LockHolderOfFile(lockFile string) int { return lockHolder(lockFile, syscall.Flock) }

// lockHolder is LockHolderOfFile with flock as a parameter, for tests.
func lockHolder(lockFile string, flock func(fd, how int) error) int {
	f, err := os.Open(lockFile)
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }() // the file is only read
	for err = syscall.EINTR; errors.Is(err, syscall.EINTR); {
		err = flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB)
	}
	if !errors.Is(err, syscall.EWOULDBLOCK) { // the file is not locked, or cannot be locked
		return 0
	}
	text, err := io.ReadAll(io.LimitReader(f, maxPIDLength))
	if err != nil {
		return 0
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return 0
	}
	return pid
}
