package main

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// slowFile is a file of the configuration that is a FIFO: a forwarder that reads its configuration waits until the test
// writes it.
type slowFile struct {
	t    *testing.T
	path string
}

// addSlowFile has the configuration name a slow file, from the next reload on.
func (h *singleHarness) addSlowFile() slowFile {
	h.t.Helper()
	f := slowFile{h.t, filepath.Join(h.folder, "token")}
	require.NoError(h.t, syscall.Mkfifo(f.path, 0o600))
	h.writeConfig("[metrics]\ntoken_file = \"token\"\n")
	return f
}

// awaitReader waits until a forwarder reads the file, and returns it. The reader waits until it is closed.
func (f slowFile) awaitReader() *os.File {
	f.t.Helper()
	var writer *os.File
	require.Eventually(f.t, func() bool {
		writer = f.openForReader()
		return writer != nil
	}, readyBound, time.Millisecond)
	return writer
}

// openForReader opens the file if a forwarder reads it now; nil: none does.
func (f slowFile) openForReader() *os.File {
	writer, err := os.OpenFile(f.path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
	if errors.Is(err, syscall.ENXIO) {
		return nil
	}
	require.NoError(f.t, err)
	return writer
}

// finish lets the reader of the file go on, unless it has just closed the file.
func (f slowFile) finish(writer *os.File) {
	f.t.Helper()
	if _, err := writer.WriteString("hush\n"); !errors.Is(err, syscall.EPIPE) {
		require.NoError(f.t, err)
	}
	require.NoError(f.t, writer.Close())
}

// finishUntil lets all readers of the file go on until the forwarder has reloaded so often.
func (f slowFile) finishUntil(log *emulator.Log, reloads int) {
	f.t.Helper()
	for deadline := time.Now().Add(readyBound); log.Count(logReloaded) < reloads; time.Sleep(time.Millisecond) {
		require.True(f.t, time.Now().Before(deadline), "%d reloads: %s", reloads, log)
		if writer := f.openForReader(); writer != nil {
			f.finish(writer)
		}
	}
}

// The event loop read the configuration itself: with 8,000 endpoints it took no turn for 12 s, with 2,000 for 0.7 s.
func TestSlowReloadDelaysNeitherAnswersNorTheEnd(t *testing.T) {
	const answerWithin = 500 * time.Millisecond // after a message's time
	t.Parallel()
	h := startSingle(t)
	h.endpoint.Do(reject)
	file := h.addSlowFile()

	h.put("a", "c=status,d=1000,dest=7")
	expires := time.Now().Add(time.Second)
	h.sendReload()
	first := file.awaitReader()
	n := <-h.discovery.Notices
	require.Equal(t, []string{"a", "returned"}, []string{n.ID, n.State})
	require.Less(t, time.Since(expires), answerWithin)

	h.sendReload() // while one is under way: one more follows
	h.sendReload()
	file.finish(first)
	file.finishUntil(h.process.Log, 2)
	require.Never(t, func() bool { return file.openForReader() != nil }, 300*time.Millisecond, 10*time.Millisecond)

	h.sendReload()
	last := file.awaitReader()
	defer last.Close()
	require.Less(t, h.terminate(), endBound)
	require.Equal(t, 2, h.process.Log.Count(logReloaded))
}
