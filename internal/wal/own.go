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
	ownerFile = "owner"
	dyingFor  = time.Second // a process that was killed may hold the folder for a moment longer
	askAgain  = 20 * time.Millisecond
)

// LockedError is the error for a folder that another running process has.
type LockedError struct {
	Dir string
	PID int // 0 if not known
}

func (o *LockedError) Error() string {
	if o.PID == 0 {
		return o.Dir + " belongs to another running process"
	}
	return fmt.Sprintf("%s belongs to another running process, pid %d", o.Dir, o.PID)
}

// own locks a folder for this process. Guards against two forwarders that send what one of them owes twice. The kernel
// lets go of the lock when the process ends, however it does, so that nothing is left to clear up. Where the file
// cannot be made or locked (a full disk, a file system without locks) the forwarder goes on unguarded: nil.
func own(ctx context.Context, dir string, wait time.Duration) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, ownerFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, nil
	}
	for began := time.Now(); ; time.Sleep(askAgain) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) {
			break
		}
		if ctx.Err() != nil {
			f.Close()
			return nil, ctx.Err()
		}
		if time.Since(began) > wait {
			f.Close()
			return nil, &LockedError{Dir: dir, PID: LockHolder(dir)}
		}
	}
	if err != nil {
		f.Close()
		return nil, nil
	}
	if f.Truncate(0) == nil {
		fmt.Fprintln(f, os.Getpid())
	}
	return f, nil
}

// LockHolder tells which running process has a folder, 0 if none is known.
func LockHolder(dir string) int { return LockHolderOfFile(filepath.Join(dir, ownerFile)) }

// WaitingCaller tells which running process holds a lock file that has its number in it, 0 if none is known. It asks without
// taking the lock away from anybody who wants it for longer than a moment, and alters nothing.
func LockHolderOfFile(lockFile string) int {
	f, err := os.Open(lockFile)
	if err != nil {
		return 0
	}
	defer f.Close()
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB); err == nil {
		return 0
	}
	text, _ := io.ReadAll(io.LimitReader(f, 32))
	pid, _ := strconv.Atoi(strings.TrimSpace(string(text)))
	return pid
}
