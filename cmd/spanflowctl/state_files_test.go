package main

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
	"spanflow/internal/statefile"
)

// Guards against a fault in which the event loop itself wrote the learned latencies (every 3 s and at shutdown) and the
// Retry-After state (at shutdown), each by creating and renaming a file. On a disk to which other programs write
// heavily, each of these writes took 0.12 to 0.87 s, as the file system delayed them, and everything else took less
// than 0.1 s. The forwarder ended up to 5.1 s after SIGTERM, and all but 25 to 230 ms of that time passed between its
// log lines "stopping" and "end". The time left for shutdown did not account for these writes, and clients were not
// answered meanwhile. In this test, writes of these two files block forever: a FIFO lies at the path where each file is
// created, and opening it waits for a reader.
func TestBlockedStateFilesDelayNeitherAnswersNorShutdown(t *testing.T) {
	const (
		endWithin    = 3700 * time.Millisecond // then the platform may kill it
		answerWithin = time.Second
		servedFor    = 4 * time.Second // longer than the interval of writes of the learned latencies
	)
	t.Parallel()
	h := startSingle(t)
	go discard(h.endpoint.Calls)
	for _, name := range []string{statefile.LatenciesFile, statefile.RetryAfterFile} {
		emulator.NewSlowFile(t, filepath.Join(h.folder, "state", name+".new"))
	}
	c := h.client()
	for startedAt := time.Now(); time.Since(startedAt) < servedFor; time.Sleep(50 * time.Millisecond) {
		sentAt := time.Now()
		answer, err := c.Send(emulator.Command("PING"))
		require.NoError(t, err)
		require.Equal(t, "+PONG", answer)
		require.Less(t, time.Since(sentAt), answerWithin)
	}
	require.Less(t, h.terminate(), endWithin)
	require.Contains(t, h.process.Log.String(), `"message":"end"`)
}
