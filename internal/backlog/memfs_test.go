package backlog

import (
	"errors"
	"io"
	"io/fs"
	"path/filepath"
	"slices"
	"syscall"
)

var (
	errKilled = errors.New("the process is killed")
	errFault  = errors.New("injected fault")
)

// leftover is the effect that a failing call still has.
type leftover int

const (
	leavesNothing leftover = iota
	leavesHalf             // half of the bytes are written; calls other than writes have no effect
	leavesAll              // the call has its full effect but returns an error
	shortWrite             // half of the bytes are written, without an error
)

// memFS is a filesystem in memory that fails at a chosen call: the call returns an error or simulates a kill of the
// process.
type memFS struct {
	files    map[string][]byte
	locked   bool
	capacity int // bytes; 0 means unlimited

	calls         int // number of calls so far; if kill is set, only calls that change files count
	failAt        int // number of the call that fails, counted from 1; 0 means none
	extraFailures int // number of calls after failAt that fail too
	kill          bool
	leftover      leftover
	killed        bool
	open          int // files
	maxOpen       int
}

func newMemFS() *memFS { return &memFS{files: map[string][]byte{}} }

// afterKill returns the filesystem for a process that starts after a kill: with the same files and without locks.
func (m *memFS) afterKill() *memFS {
	fresh := newMemFS()
	fresh.capacity = m.capacity
	for name, text := range m.files {
		fresh.files[name] = slices.Clone(text)
	}
	return fresh
}

// step counts a call. It returns the error of a call that has to fail, and the effect that the call still has.
func (m *memFS) step(alters bool) (leftover, error) {
	if m.killed {
		return leavesNothing, errKilled
	}
	if m.kill && !alters {
		return leavesAll, nil
	}
	m.calls++
	if m.failAt == 0 || m.calls < m.failAt || m.calls > m.failAt+m.extraFailures {
		return leavesAll, nil
	}
	if m.kill {
		m.killed = true
		return m.leftover, errKilled
	}
	return m.leftover, errFault
}

func (m *memFS) MakeDir(string) error {
	_, err := m.step(true)
	return err
}

func (m *memFS) List(dir string) ([]string, error) {
	if _, err := m.step(false); err != nil {
		return nil, err
	}
	var names []string
	for name := range m.files {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	return names, nil
}

func (m *memFS) Create(name string) (File, error) {
	left, err := m.step(true)
	if _, has := m.files[name]; has && (err == nil || left == leavesAll) {
		return nil, fs.ErrExist
	}
	if err == nil || left == leavesAll {
		m.files[name] = nil
	}
	if err != nil {
		return nil, err
	}
	return m.openFile(name), nil
}

func (m *memFS) Open(name string) (File, error) {
	if _, err := m.step(false); err != nil {
		return nil, err
	}
	if _, has := m.files[name]; !has {
		return nil, fs.ErrNotExist
	}
	return m.openFile(name), nil
}

func (m *memFS) openFile(name string) File {
	m.open++
	m.maxOpen = max(m.maxOpen, m.open)
	return &memFile{fs: m, name: name}
}

func (m *memFS) Remove(name string) error {
	left, err := m.step(true)
	if err != nil && left != leavesAll {
		return err
	}
	if _, has := m.files[name]; !has {
		return fs.ErrNotExist
	}
	delete(m.files, name)
	return err
}

func (m *memFS) Lock(name string) (io.Closer, error) {
	if _, err := m.step(false); err != nil {
		return nil, err
	}
	if m.locked {
		return nil, &LockedError{Name: name}
	}
	m.locked = true
	return unlock{m}, nil
}

type unlock struct{ fs *memFS }

func (u unlock) Close() error {
	u.fs.locked = false
	return nil
}

// used returns the size of all files in bytes.
func (m *memFS) used() int {
	n := 0
	for _, text := range m.files {
		n += len(text)
	}
	return n
}

type memFile struct {
	fs     *memFS
	name   string
	closed bool
}

func (f *memFile) Write(b []byte) (int, error) {
	left, err := f.fs.step(true)
	if err == nil {
		return f.append(b)
	}
	switch left {
	case leavesHalf:
		n, _ := f.append(b[:len(b)/2])
		return n, err
	case shortWrite:
		n, _ := f.append(b[:len(b)/2])
		if f.fs.kill {
			return n, err
		}
		return n, nil
	case leavesAll:
		n, _ := f.append(b)
		return n, err
	}
	return 0, err
}

func (f *memFile) append(b []byte) (int, error) {
	n := len(b)
	if f.fs.capacity > 0 {
		n = max(0, min(n, f.fs.capacity-f.fs.used()))
	}
	f.fs.files[f.name] = append(f.fs.files[f.name], b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (f *memFile) ReadAt(b []byte, at int64) (int, error) {
	if _, err := f.fs.step(false); err != nil {
		return 0, err
	}
	text := f.fs.files[f.name]
	if at > int64(len(text)) {
		return 0, io.EOF
	}
	n := copy(b, text[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (f *memFile) Size() (int64, error) {
	if _, err := f.fs.step(false); err != nil {
		return 0, err
	}
	return int64(len(f.fs.files[f.name])), nil
}

func (f *memFile) Truncate(size int64) error {
	left, err := f.fs.step(true)
	if err == nil || left == leavesAll {
		f.fs.files[f.name] = f.fs.files[f.name][:size:size]
	}
	return err
}

func (f *memFile) Close() error {
	if !f.closed {
		f.fs.open--
		f.closed = true
	}
	return nil
}
