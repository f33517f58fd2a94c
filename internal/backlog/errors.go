package backlog

import (
	"errors"
	"fmt"
	"syscall"
)

var (
	// ErrFull is returned for a message if the store or its disk is full.
	ErrFull = errors.New("the backlog store is full")
	// ErrStored is returned for a message if its lane already has a stored message with the same number.
	ErrStored = errors.New("a message with this number is already in the backlog store")
	// ErrOrder is returned for a message whose number lies between those of stored messages of its lane.
	ErrOrder = errors.New("the message's number lies between those of stored messages of its lane")
	// ErrTooLarge is returned for a message with a body or a string that is too large for a record.
	ErrTooLarge = errors.New("the message is too large for the backlog store")
	// ErrClosed is returned if the store is closed or was opened read-only.
	ErrClosed = errors.New("the backlog store is not open for writing")
)

// FullError says why there is no room for a message. errors.Is(err, ErrFull) is true for it.
type FullError struct {
	Bytes int64 // size of the stored messages
	Bound int64 // limit for Bytes
	Err   error // the error of the disk; nil if the limit was reached
}

// Error includes the error of the disk or, if the limit was reached, the size of the stored messages and the limit.
func (e *FullError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%v: %v", ErrFull, e.Err)
	}
	return fmt.Sprintf("%v: %d of %d bytes", ErrFull, e.Bytes, e.Bound)
}

// Is reports whether target is ErrFull.
func (e *FullError) Is(target error) bool { return target == ErrFull }

// Unwrap returns the error of the disk, or nil if the limit was reached.
func (e *FullError) Unwrap() error { return e.Err }

func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// DamageError is returned if a file of the store is missing or its content differs from what was written.
type DamageError struct {
	File   string
	Offset int64 // bytes from the start of the file
	Reason string
}

// Error names the file, the offset and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: byte %d: %s", e.File, e.Offset, e.Reason)
}

// VersionError is returned for a file of the store that a newer version of the program has written.
type VersionError struct {
	File    string
	Version uint32
}

// Error names the file, its version and the newest version that this program can read.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%s: version %d of the backlog store is not supported, this program reads up to %d",
		e.File, e.Version, segmentVersion)
}

// LockedError is returned if another running process has locked the store.
type LockedError struct {
	Name string // path of the lock file
	PID  int    // id of the other process; 0 if unknown
}

// Error names the lock file and, if known, the id of the process.
func (e *LockedError) Error() string {
	if e.PID == 0 {
		return e.Name + ": another running process has the backlog store"
	}
	return fmt.Sprintf("%s: another running process has the backlog store, pid %d", e.Name, e.PID)
}
