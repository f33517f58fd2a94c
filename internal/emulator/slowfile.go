package emulator

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// SlowFile is a FIFO that replaces a file, so that a program that reads the file is blocked until the test provides the
// content.
type SlowFile struct {
	t    CleanupTest
	path string
}

// NewSlowFile creates the FIFO. It fails the test if a file with that path exists.
func NewSlowFile(t CleanupTest, path string) *SlowFile {
	t.Helper()
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return &SlowFile{t, path}
}

// AwaitReader waits until a program opens the file for reading. The program is blocked until the caller passes the
// result to Finish or closes it.
func (f *SlowFile) AwaitReader() *os.File {
	f.t.Helper()
	for deadline := time.Now().Add(eventTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if writer := f.Reader(); writer != nil {
			return writer
		}
	}
	f.t.Fatalf("no program has opened %s for reading", f.path)
	return nil
}

// Reader is like AwaitReader, but returns nil at once if no program has the file open for reading.
func (f *SlowFile) Reader() *os.File {
	writer, err := os.OpenFile(f.path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
	if errors.Is(err, syscall.ENXIO) {
		return nil
	}
	if err != nil {
		f.t.Fatalf("%v", err)
	}
	return writer
}

// Finish writes the content for the reader and closes the file. A reader that has already closed it is not an error.
func (f *SlowFile) Finish(writer *os.File, content string) {
	f.t.Helper()
	_, err := writer.WriteString(content)
	if errors.Is(err, syscall.EPIPE) {
		err = nil
	}
	if err = errors.Join(err, writer.Close()); err != nil {
		f.t.Fatalf("%v", err)
	}
}
