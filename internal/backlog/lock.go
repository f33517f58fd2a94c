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
	lockWait  = time.Second // a process that was killed may hold the lock for a moment longer
	lockRetry = 20 * time.Millisecond

	maxPIDLength = 32 // bytes read of a lock file
)

// Lock takes a lock by flock on a file that holds the process id. It waits a moment for another process that holds the
// lock.
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
		_, _ = fmt.Fprintln(f, os.Getpid()) // for people; the lock holds without it
	}
	return f, nil
}

// readPID reads the process id in a lock file, 0 if there is none.
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
