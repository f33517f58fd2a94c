package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// slowToken is a slow file that holds the metrics token of a configuration.
type slowToken struct{ *emulator.SlowFile }

// addSlowToken writes a configuration that names a slow file. It takes effect at the next start or reload.
func (h *singleHarness) addSlowToken() slowToken {
	h.t.Helper()
	f := emulator.NewSlowFile(h.t, filepath.Join(h.folder, "token"))
	h.writeConfig("[metrics]\ntoken_file = \"token\"\n")
	return slowToken{f}
}

// finish lets a reader of the file continue.
func (f slowToken) finish(reader *os.File) { f.Finish(reader, "hush\n") }

// finishUntil lets all readers of the file continue until the forwarder has reloaded the given number of times.
func (f slowToken) finishUntil(t *testing.T, log *emulator.Log, reloads int) {
	t.Helper()
	for deadline := time.Now().Add(readyBound); log.Count(logReloaded) < reloads; time.Sleep(time.Millisecond) {
		require.True(t, time.Now().Before(deadline), "%d reloads: %s", reloads, log)
		if reader := f.Reader(); reader != nil {
			f.finish(reader)
		}
	}
}

// Guards against a fault in which the event loop read the configuration itself and was blocked meanwhile: for 12 s with
// 8,000 endpoints, and for 0.7 s with 2,000.
func TestSlowReloadDelaysNeitherAnswersNorShutdown(t *testing.T) {
	const answerWithin = 500 * time.Millisecond // after the expiry of a message
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

	h.sendReload() // during a reload; both requests lead to one more reload
	h.sendReload()
	file.finish(first)
	file.finishUntil(t, h.process.Log, 2)
	require.Never(t, func() bool { return file.Reader() != nil }, 300*time.Millisecond, 10*time.Millisecond)

	h.sendReload()
	last := file.AwaitReader()
	defer last.Close()
	require.Less(t, h.terminate(), terminationBound)
	require.Equal(t, 2, h.process.Log.Count(logReloaded))
}
