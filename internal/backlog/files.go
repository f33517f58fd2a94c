package backlog

import (
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

// FS is the filesystem as the store uses it. Tests inject faults at every call.
type FS interface {
	// MakeDir makes a folder with its parents unless it is there.
	MakeDir(dir string) error
	// UpdateEndpoints gives the names of the regular files in a folder.
	List(dir string) ([]string, error)
	// Create makes a file for appending. It is an error if one has the name.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (File, error)
	// Remove removes a file.
	Remove(name string) error
	// Lock takes a lock file for this process until it is closed or the process ends, however it does. If another
	// process has it, the error is a LockedError.
	Lock(name string) (io.Closer, error)
}

// File is an open file. Writes go to its end.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	// Size is the length in bytes.
	Size() (int64, error)
	// Truncate cuts the file to a length in bytes.
	Truncate(size int64) error
}

// LockedError says that another running process has the store.
type LockedError struct {
	Name string // of the lock file
	PID  int    // of the process, 0 if not known
}

func (e *LockedError) Error() string {
	if e.PID == 0 {
		return e.Name + ": another running process has the backlog store"
	}
	return fmt.Sprintf("%s: another running process has the backlog store, pid %d", e.Name, e.PID)
}

const (
	lockWait  = time.Second // a process that was killed may hold the lock for a moment longer
	lockRetry = 20 * time.Millisecond
	filePerm  = 0o600
	dirPerm   = 0o700
)

// OS is the machine's filesystem.
type OS struct{}

type osFile struct{ *os.File }

// Size is the length in bytes.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// MakeDir makes a folder with its parents unless it is there.
func (OS) MakeDir(dir string) error { return os.MkdirAll(dir, dirPerm) }

// UpdateEndpoints gives the names of the regular files in a folder.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Create makes a file for appending.
func (OS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_RDWR|os.O_APPEND, filePerm)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Open opens a file for reading.
func (OS) Open(name string) (File, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Remove removes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// Lock takes a lock by flock on a file that holds the process's id.
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
		pid := readPID(f)
		f.Close()
		if held {
			return nil, &LockedError{Name: name, PID: pid}
		}
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if f.Truncate(0) == nil {
		fmt.Fprintln(f, os.Getpid())
	}
	return f, nil
}

func readPID(f *os.File) int {
	text, err := io.ReadAll(io.NewSectionReader(f, 0, 32))
	if err != nil {
		return 0
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return 0
	}
	return pid
}

func segmentName(dir string, number uint32) string {
	return filepath.Join(dir, fmt.Sprintf("%010d%s", number, segmentSuffix))
}

// segmentNumber reads a segment's number from its file name; ok is false for other files.
func segmentNumber(name string) (number uint32, ok bool) {
	base, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(base, 10, 32)
	return uint32(n), err == nil
}
