package commands

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/backlog"
)

// storeBounds sets a small segment size, so that short tests free some segments.
var storeBounds = backlog.Bounds{Bytes: 8 << 14, SegmentBytes: 1 << 14}

// run runs a command line and returns its output, including errors, and its exit code.
func run(args ...string) (string, int) { return runWith(nil, args...) }

func runWith(environ []string, args ...string) (string, int) {
	var out bytes.Buffer
	code := Main(args, environ, &out, &out)
	return out.String(), code
}

func newMessage(lane backlog.Lane, seq uint64) *backlog.Message {
	return &backlog.Message{Seq: seq, Lane: lane, Key: 5, Type: "ticket", ID: fmt.Sprintf("id-%d", seq), Body: []byte(fmt.Sprintf("body of %d", seq)),
		AcceptedAt: time.Now().UnixMicro(), Expiry: time.Now().Add(time.Hour).UnixMicro()}
}

func openStore(t *testing.T, folder string, bounds backlog.Bounds) *backlog.Store {
	store, err := backlog.Open(backlog.OS{}, folder, bounds)
	require.NoError(t, err)
	return store
}

// newStore creates and closes a store with messages in three lanes and in all states, one of which expires soon.
func newStore(t *testing.T) string {
	folder := filepath.Join(t.TempDir(), "backlog")
	store := openStore(t, folder, storeBounds)
	tried := newMessage(backlog.Lane{Destination: 9, Tenant: 0}, 2)
	tried.Attempts = 2
	mayHaveRun := newMessage(backlog.Lane{Destination: 7, Tenant: 1}, 3)
	mayHaveRun.Attempts, mayHaveRun.MayHaveRun, mayHaveRun.DeduplicationKey, mayHaveRun.Frontend, mayHaveRun.CallerWaits = 1, time.Now().UnixMicro(), "n-3", "web", true
	expiring := newMessage(backlog.Lane{Destination: 9, Tenant: 0}, 4)
	expiring.Expiry = time.Now().Add(10 * time.Second).UnixMicro()
	for _, m := range []*backlog.Message{newMessage(backlog.Lane{Destination: 9, Tenant: 0}, 1), tried, mayHaveRun, expiring, newMessage(backlog.Lane{Destination: 7, Tenant: 0}, 5)} {
		require.NoError(t, store.Append(m))
	}
	require.NoError(t, store.Close())
	return folder
}

// writeConfig writes a configuration with a named tenant and the given section, and returns its path.
func writeConfig(t *testing.T, section string) string {
	path := filepath.Join(t.TempDir(), "c.toml")
	text := `[[fronts]]
listen = "127.0.0.1:0"
[[types]]
name = "ticket"
repeat = "replayable"
agreed = "3s"
life = "24s"
[[tenants]]
name = "shop"
per_second = 1.0
[[targets]]
uid = "t1"
address = "127.0.0.1:9001"
dest = 7
`
	require.NoError(t, os.WriteFile(path, []byte(text+section), 0o600))
	return path
}

// listedIDs returns the ids in the JSON output of list, which has one message per line.
func listedIDs(t *testing.T, out string) []string {
	all := []string{}
	for line := range strings.Lines(out) {
		var r messageReport
		require.NoError(t, json.Unmarshal([]byte(line), &r), line)
		all = append(all, r.ID)
	}
	return all
}

// readFiles returns the contents of a folder's files by path.
func readFiles(t *testing.T, folder string) map[string]string {
	all := map[string]string{}
	names, err := filepath.Glob(filepath.Join(folder, "*"))
	require.NoError(t, err)
	for _, name := range names {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		all[name] = string(text)
	}
	return all
}

func lastSegment(t *testing.T, folder string) string {
	names, err := filepath.Glob(filepath.Join(folder, "*.backlog"))
	require.NoError(t, err)
	require.NotEmpty(t, names)
	return names[len(names)-1]
}
