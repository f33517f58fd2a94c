package backlog

import (
	"io"
	"os"
)

// FS is the filesystem as the store uses it. Tests inject faults at every call.
type FS interface {
	// MakeDir makes a folder with its parents unless it exists.
	MakeDir(dir string) error
	// List returns the names of the regular files in a folder.
	List(dir string) ([]string, error)
	// Create makes a file for appending. It is an error if the name is in use.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (File, error)
	// Remove removes a file.
	Remove(name string) error
	// Lock locks a file for this process until the result is closed or the process ends in any way. If another process
	// has the lock, the error is a LockedError.
	Lock(name string) (io.Closer, error)
}

// File is an open file. Writes go to its end.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	// Size returns the length in bytes.
	Size() (int64, error)
	// Truncate cuts the file to a length in bytes.
	Truncate(size int64) error
}

const (
	filePerm = 0o600
	dirPerm  = 0o700
)

// OS is the machine's filesystem.
type OS struct{}

type osFile struct{ *os.File }

// Size returns the length of the file in bytes.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// MakeDir makes a folder with its parents unless it exists.
func (OS) MakeDir(dir string) error { return os.MkdirAll(dir, dirPerm) }

// List returns the names of the regular files in a folder.
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
