package backlog

import (
	"io"
	"os"
)

// FS has the operations of a filesystem that the store uses. Tests inject faults into each of them.
type FS interface {
	// MakeDir creates a folder and its parents unless it exists.
	MakeDir(dir string) error
	// List returns the names of the regular files in a folder.
	List(dir string) ([]string, error)
	// Create creates a file for appending. It fails if the file exists.
	Create(name string) (File, error)
	// Open opens a file for reading.
	Open(name string) (File, error)
	// Remove removes a file.
	Remove(name string) error
	// Lock locks a file until the result is closed or the process ends, even if it is killed. If another process holds
	// the lock, the error is a LockedError.
	Lock(name string) (io.Closer, error)
}

// File is an open file. Writes go to its end.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	// Size returns the length of the file in bytes.
	Size() (int64, error)
	// Truncate shortens the file to the given number of bytes.
	Truncate(size int64) error
}

const (
	filePerm = 0o600
	dirPerm  = 0o700
)

// OS implements FS with the filesystem of the operating system.
type OS struct{}

type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// MakeDir implements FS. The folder is accessible only to the user of the process.
func (OS) MakeDir(dir string) error { return os.MkdirAll(dir, dirPerm) }

// List implements FS.
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

// Create implements FS. The file is accessible only to the user of the process.
func (OS) Create(name string) (File, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_RDWR|os.O_APPEND, filePerm)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Open implements FS.
func (OS) Open(name string) (File, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }
