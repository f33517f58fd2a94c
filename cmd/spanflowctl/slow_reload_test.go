package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// slowToken is a part of the configuration that a forwarder reads from a slow file.
type slowToken struct{ *emulator.SlowFile }

// addSlowToken has the configuration name a slow file, from the next reload on.
func (h *singleHarness) addSlowToken() slowToken {
	h.t.Helper()
	f := emulator.NewSlowFile(h.t, filepath.Join(h.folder, "token"))
	h.writeConfig("[metrics]\ntoken_file = \"token\"\n")
	return slowToken{f}
}

// finish lets the reader of the file go on.
func (f slowToken) finish(reader *os.File) { f.Finish(reader, "hush\n") }

// finishUntil lets all readers of the file go on until the forwarder has reloaded so often.
func (f slowToken) finishUntil(t *testing.T, log *emulator.Log, reloads int) {
	t.Helper()
	for deadline := time.Now().Add(readyBound); log.Count(logReloaded) < reloads; time.Sleep(time.Millisecond) {
		require.True(t, time.Now().Before(deadline), "%d reloads: %s", reloads, log)
		if reader := f.Reader(); reader != nil {
			f.finish(reader)
		}
	}
}

// The event loop read the configuration itself: with 8,000 endpoints it took no turn for 12 s, with 2,000 for 0.7 s.
func TestSlowReloadDelaysNeitherAnswersNorTheEnd(t *testing.T) {
	const answerWithin = 500 * time.Millisecond // after a message's time
	t.Parallel()
	h := startSingle(t)
	h.endpoint.Do(reject)
	file := h.addSlowToken()

	h.put("a", "c=status,d=1000,dest=7")
	expires := time.Now().Add(time.Second)
	h.sendReload()
	first := file.AwaitReader()
	n := <-h.discovery.Notices
	require.Equal(t, []string{"a", "returned"}, []string{n.ID, n.State})
	require.Less(t, time.Since(expires), answerWithin)

	h.sendReload() // while one is under way: one more follows
	h.sendReload()
	file.finish(first)
	file.finishUntil(t, h.process.Log, 2)
	require.Never(t, func() bool { return file.Reader() != nil }, 300*time.Millisecond, 10*time.Millisecond)

	h.sendReload()
	last := file.AwaitReader()
	defer last.Close()
	require.Less(t, h.terminate(), endBound)
	require.Equal(t, 2, h.process.Log.Count(logReloaded))
}
