package backlog

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const lockFileName = "backlog.lock"

const (
	lockWait  = time.Second // a killed process may keep the lock for a moment after the kill
	lockRetry = 20 * time.Millisecond

	maxPIDLength = 32 // bytes read from a lock file
)

// Lock implements FS with flock on a file to which it writes the id of this process. If another process holds the lock,
// it retries for lockWait before it fails.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, err
	}
	for began := time.Now(); ; time.Sleep(lockRetry) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			break
		}
		held := errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EINTR)
		if held && time.Since(began) < lockWait {
			continue
		}
		if held {
			err = &LockedError{Name: name, PID: readPID(f)}
		} else {
			err = fmt.Errorf("%s: %w", name, err)
		}
		return nil, errors.Join(err, f.Close())
	}
	if f.Truncate(0) == nil {
		_, _ = fmt.Fprintln(f, os.Getpid()) // informational; locking does not depend on it
	}
	return f, nil
}

// readPID returns the process id in a lock file, or 0 if it cannot be read.
func readPID(f *os.File) int {
	text, err := io.ReadAll(io.NewSectionReader(f, 0, maxPIDLength))
	if err != nil {
		return 0
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return 0
	}
	return pid
}
