package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/backlog"
	"spanflow/internal/emulator"
)

// The backlog commands can read a backlog that another running process has open.
func TestBacklogCommandsReadOpenBacklog(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "backlog")
	store, err := backlog.Open(backlog.OS{}, folder, backlog.Bounds{Bytes: 4 << 20})
	require.NoError(t, err)
	defer store.Close()
	lane := backlog.Lane{Destination: 7}
	expiry := time.Now().Add(time.Minute).UnixMicro()
	message := &backlog.Message{Seq: 1, Lane: lane, Type: "status", ID: "a", Body: []byte("hello"), Expiry: expiry}
	require.NoError(t, store.Append(message))
	out, code := spanflow("backlog", "stat", "-f", folder)
	require.Equal(t, 0, code, out)
	require.Regexp(t, fmt.Sprintf(`(?m)^owner +pid %d$`, os.Getpid()), out)
	require.Regexp(t, `(?m)^stored +1 documents in 1 lanes`, out)
	out, code = spanflow("backlog", "show", "a", "-f", folder)
	require.Equal(t, 0, code, out)
	require.Contains(t, out, `"hello"`)
	require.NoError(t, store.Append(&backlog.Message{Seq: 2, Lane: lane, ID: "b"}),
		"the process that has the backlog open can still write to it")
	out, code = spanflow("backlog", "verify", "-f", folder)
	require.Equal(t, 0, code, out)
	require.NoError(t, store.Close())
	out, _ = spanflow("backlog", "stat", "-f", folder)
	require.Regexp(t, `(?m)^owner +none$`, out)
}

// A backlog is opened only at startup, and a reload with invalid limits changes nothing.
func TestReloadDoesNotOpenBacklog(t *testing.T) {
	h := startSingle(t)
	h.writeConfig("[backlog]\nfolder = \"stored\"\nwindow = 0\n")
	h.sendReload()
	h.awaitLog("backlog.window: 0 is below the minimum, 1")
	h.writeConfig("[backlog]\nfolder = \"stored\"\nwindow = 8\n")
	h.sendReload()
	h.awaitLog(`"at_next_start":["backlog_folder"]`)
	require.NoDirExists(t, h.backlogFolder())
	h.put("a", "c=status,d=5000,dest=7")
	require.Equal(t, "a", (<-h.endpoint.Calls).ID)
}

// Stored messages are listed while the forwarder runs and after it was killed, and no longer once they are delivered.
func TestBacklogOfRunningForwarderIsListed(t *testing.T) {
	h := newSingleHarness(t)
	h.writeConfig("[backlog]\nfolder = \"stored\"\nwindow = 2\nbehind = 4\n")
	h.start()
	hold := make(chan struct{})
	h.endpoint.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	const messages = 30
	for i := range messages {
		h.put(fmt.Sprintf("a%02d", i), fmt.Sprintf("c=ticket,k=%d,d=20000,dest=7", i))
	}
	stored := func() (ids []string) {
		out, code := spanflow("backlog", "list", "-c", h.configFile, "--json")
		require.Equal(t, 0, code, out)
		for line := range strings.Lines(out) {
			var r struct {
				ID, State string
				Dest      int
			}
			require.NoError(t, json.Unmarshal([]byte(line), &r), line)
			require.Equal(t, []any{"untried", 7}, []any{r.State, r.Dest})
			ids = append(ids, r.ID)
		}
		return ids
	}
	require.Eventually(t, func() bool { return len(stored()) >= messages-6 }, 5*time.Second, 50*time.Millisecond)
	ids := stored()
	require.IsIncreasing(t, ids, "must be in the order of acceptance")
	require.Equal(t, fmt.Sprintf("a%02d", messages-1), ids[len(ids)-1])
	out, code := spanflow("backlog", "stat", "-c", h.configFile)
	require.Equal(t, 0, code, out)
	require.Contains(t, out, fmt.Sprintf("pid %d", h.process.Pid()))
	out, code = spanflow("backlog", "show", ids[0], "-c", h.configFile)
	require.Equal(t, 0, code, out)
	require.Contains(t, out, `"hello"`)
	out, code = spanflow("check", "-c", h.configFile)
	require.Equal(t, 0, code, out)
	require.Contains(t, out, h.backlogFolder()+", 256MB at most")

	h.kill()
	left := stored() // the first ones may have been loaded from the store meanwhile
	require.NotEmpty(t, left)
	require.Equal(t, ids[len(ids)-len(left):], left)
	out, code = spanflow("backlog", "verify", "-c", h.configFile)
	require.Equal(t, 0, code, out)
	close(hold)
	h.endpoint.Do(nil)
	h.start()
	require.Eventually(t, func() bool { return len(stored()) == 0 }, 15*time.Second, 50*time.Millisecond)
}
