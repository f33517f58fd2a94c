package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/backlog"
)

// fillBacklog creates a backlog with count messages, as an earlier process would leave it.
func (h *backlogHarness) fillBacklog(count int, bytes int64) {
	h.t.Helper()
	store, err := backlog.Open(backlog.OS{}, h.backlogFolder(), backlog.Bounds{Bytes: bytes})
	require.NoError(h.t, err)
	now := time.Now()
	for i := range count {
		s := submission{typ: "status", destination: 1 + i%len(h.endpoints), key: 1 + i%1000, number: i}
		require.NoError(h.t, store.Append(&backlog.Message{
			Seq:        uint64(i + 1),
			Lane:       backlog.Lane{Destination: uint64(s.destination), Tenant: 2},
			Key:        uint64(s.key),
			Type:       s.typ,
			ID:         s.id(),
			Body:       []byte(body300),
			AcceptedAt: now.UnixMicro(),
			Expiry:     now.Add(time.Hour).UnixMicro(),
		}))
	}
	require.NoError(h.t, store.Close())
}

// countPending returns the number of distinct messages in the write-ahead log and the backlog. The process must have
// ended.
func (h *backlogHarness) countPending() int {
	h.t.Helper()
	ids := map[string]bool{}
	for _, kind := range []string{"ledger", "backlog"} {
		out, code := spanflow(kind, "list", "-c", h.configFile, "--json", "--limit", "0")
		require.Equal(h.t, 0, code, out)
		for line := range strings.Lines(out) {
			_, rest, found := strings.Cut(line, `"id":"`)
			require.True(h.t, found, line)
			id, _, _ := strings.Cut(rest, `"`)
			ids[id] = true
		}
	}
	return len(ids)
}

func TestSIGTERMWithManyStoredEndsInTimeAndTheNextStartHasAll(t *testing.T) {
	const (
		endWithin   = 3700 * time.Millisecond // then the platform may kill it
		readyWithin = 10 * time.Second
	)
	t.Parallel()
	count := sizeFromEnvironment(t, storedVariable, 100_000)
	disk := max(64, count/1_000_000*1024)
	h := newBacklogHarness(t, 50).writeConfig(fmt.Sprintf("disk = \"%dMiB\"\nwindow = 4\nbehind = 8", disk))
	h.setReplies(reject)
	h.fillBacklog(count, int64(disk)<<20)
	for number := range 2 {
		started := time.Now()
		h.start()
		ready := time.Since(started)
		require.Less(t, ready, readyWithin)
		answer := h.put(h.client(), submission{typ: "status", destination: 1, key: 5_000, number: number})
		require.Equal(t, "+OK", answer)
		ended := h.terminate()
		require.Less(t, ended, endWithin)
		require.Contains(t, h.process.Log.String(), `"message":"end"`)
		t.Logf("%d stored: ready after %v, ended %v after SIGTERM",
			count, ready.Round(time.Millisecond), ended.Round(time.Millisecond))
	}
	require.Equal(t, count+2, h.countPending())
}
