package backlog

import (
	"errors"
	"fmt"
	"syscall"
)

var (
	// ErrFull is the error for a message that the store, or the disk under it, has no room for.
	ErrFull = errors.New("the backlog store is full")
	// ErrStored is the error for a message whose number is already stored in its lane.
	ErrStored = errors.New("a message with this number is in the backlog store")
	// ErrOrder is the error for a message whose number lies between those that its lane has stored.
	ErrOrder = errors.New("the message belongs between stored messages of its lane")
	// ErrTooLarge is the error for a message whose body or one of whose texts is larger than a record can hold.
	ErrTooLarge = errors.New("the message is too large for the backlog store")
	// ErrClosed is the error of a store that is closed or was opened read-only.
	ErrClosed = errors.New("the backlog store is not open for writing")
)

// FullError is the error for a message that was not stored for lack of room. It matches ErrFull by errors.Is.
type FullError struct {
	Bytes int64 // of stored messages
	Bound int64 // for Bytes
	Err   error // that of the disk; nil if the bound was reached
}

// Error says why there was no room.
func (e *FullError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%v: %v", ErrFull, e.Err)
	}
	return fmt.Sprintf("%v: %d of %d bytes", ErrFull, e.Bytes, e.Bound)
}

// Is reports whether target is ErrFull.
func (e *FullError) Is(target error) bool { return target == ErrFull }

// Unwrap returns the disk's error, nil if the bound was reached.
func (e *FullError) Unwrap() error { return e.Err }

func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// DamageError is the error for a file of the store whose content is not what was written.
type DamageError struct {
	File   string
	Offset int64 // bytes from the start of the file
	Reason string
}

// Error names the file, the offset and the reason.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: byte %d: %s", e.File, e.Offset, e.Reason)
}

// VersionError is the error for a file of the store that a newer program wrote.
type VersionError struct {
	File    string
	Version uint32
}

// Error names the file and the versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("%s: version %d of the backlog store, this program reads up to %d",
		e.File, e.Version, segmentVersion)
}

// LockedError is the error for a store that another running process has locked.
type LockedError struct {
	Name string // of the lock file
	PID  int    // of the process, 0 if not known
}

// Error names the lock file and, if it is known, the process.
func (e *LockedError) Error() string {
	if e.PID == 0 {
		return e.Name + ": another running process has the backlog store"
	}
	return fmt.Sprintf("%s: another running process has the backlog store, pid %d", e.Name, e.PID)
}
