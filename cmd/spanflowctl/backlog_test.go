package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/backlog"
)

// The store of a running process is looked at by another one.
func TestAStoreInUseIsLookedAtFromAnotherProcess(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "backlog")
	store, err := backlog.Open(backlog.OS{}, folder, backlog.Bounds{Bytes: 4 << 20})
	require.NoError(t, err)
	defer store.Close()
	lane := backlog.Lane{Destination: 7}
	require.NoError(t, store.Append(&backlog.Message{Seq: 1, Lane: lane, Type: "status", ID: "a", Body: []byte("hello"),
		Expiry: time.Now().Add(time.Minute).UnixMicro()}))
	out, code := spanflow("backlog", "stat", "-f", folder)
	require.Equal(t, 0, code, out)
	require.Regexp(t, fmt.Sprintf(`(?m)^owner +pid %d$`, os.Getpid()), out)
	require.Regexp(t, `(?m)^stored +1 documents in 1 lanes`, out)
	out, code = spanflow("backlog", "show", "a", "-f", folder)
	require.Equal(t, 0, code, out)
	require.Contains(t, out, `"hello"`)
	require.NoError(t, store.Append(&backlog.Message{Seq: 2, Lane: lane, ID: "b"}), "the owner is not hindered")
	out, code = spanflow("backlog", "verify", "-f", folder)
	require.Equal(t, 0, code, out)
	require.NoError(t, store.Close())
	out, _ = spanflow("backlog", "stat", "-f", folder)
	require.Regexp(t, `(?m)^owner +none$`, out)
}

// A store comes and goes only at a start; bounds that are wrong change nothing.
func TestSIGHUPDoesNotOpenAStore(t *testing.T) {
	s := newStage(t).start()
	s.write("[backlog]\nfolder = \"stored\"\nwindow = 0\n")
	s.cmd.Process.Signal(syscall.SIGHUP)
	s.await("backlog.window: 0 is under the least, 1")
	s.write("[backlog]\nfolder = \"stored\"\nwindow = 8\n")
	s.cmd.Process.Signal(syscall.SIGHUP)
	s.await(`"at_next_start":["backlog_folder"]`)
	require.NoDirExists(t, filepath.Join(filepath.Dir(s.file), "stored"))
	s.put("a", "c=status,d=5000,dest=7")
	require.Equal(t, "a", (<-s.target.Calls).ID)
}
