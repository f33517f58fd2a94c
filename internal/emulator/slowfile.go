package emulator

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// SlowFile is a file that a program waits for until the test lets it go on: a FIFO in the place of a file that the
// program reads.
type SlowFile struct {
	t    CleanupTest
	path string
}

// NewSlowFile makes a slow file. It ends the test if there is a file of that name.
func NewSlowFile(t CleanupTest, path string) *SlowFile {
	t.Helper()
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return &SlowFile{t, path}
}

// AwaitReader waits until a program reads the file. The program waits until the result is given to Finish, or closed.
func (f *SlowFile) AwaitReader() *os.File {
	f.t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if writer := f.Reader(); writer != nil {
			return writer
		}
	}
	f.t.Fatalf("nobody reads %s", f.path)
	return nil
}

// Reader returns what AwaitReader does if a program reads the file now, else nil.
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

// Finish writes the file's content for its reader, unless that has just closed the file.
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
