package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/backlog"
	"spanflow/internal/emulator"
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

// Reason a running forwarder has stored is listed while it runs, after it was killed, and no longer once it is delivered.
func TestTheStoreOfARunningForwarderIsLookedAt(t *testing.T) {
	s := newStage(t)
	s.write("[backlog]\nfolder = \"stored\"\nwindow = 2\nbehind = 4\n")
	s.start()
	hold := make(chan struct{})
	s.target.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	const documents = 30
	for i := range documents {
		s.put(fmt.Sprintf("a%02d", i), fmt.Sprintf("c=ticket,k=%d,d=20000,dest=7", i))
	}
	stored := func() (ids []string) {
		out, code := spanflow("backlog", "list", "-c", s.file, "--json")
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
	require.Eventually(t, func() bool { return len(stored()) >= documents-6 }, 5*time.Second, 50*time.Millisecond)
	ids := stored()
	require.IsIncreasing(t, ids, "in the order of taking")
	require.Equal(t, fmt.Sprintf("a%02d", documents-1), ids[len(ids)-1])
	out, code := spanflow("backlog", "stat", "-c", s.file)
	require.Equal(t, 0, code, out)
	require.Contains(t, out, fmt.Sprintf("pid %d", s.cmd.Process.Pid))
	out, code = spanflow("backlog", "show", ids[0], "-c", s.file)
	require.Equal(t, 0, code, out)
	require.Contains(t, out, `"hello"`)
	out, code = spanflow("check", "-c", s.file)
	require.Equal(t, 0, code, out)
	require.Contains(t, out, filepath.Join(filepath.Dir(s.file), "stored")+", 256MB at most")

	s.cmd.Process.Kill()
	<-s.ended
	left := stored() // the first may have come back meanwhile
	require.NotEmpty(t, left)
	require.Equal(t, ids[len(ids)-len(left):], left)
	out, code = spanflow("backlog", "verify", "-c", s.file)
	require.Equal(t, 0, code, out)
	close(hold)
	s.target.Do(nil)
	s.start()
	require.Eventually(t, func() bool { return len(stored()) == 0 }, 15*time.Second, 50*time.Millisecond)
}

// A store that cannot be read whole, or that another process has, keeps a forwarder from starting, and is not altered.
func TestAForwarderDoesNotStartOnAStoreThatItCannotRead(t *testing.T) {
	for _, c := range []struct {
		says string
		at   int // byte of the segment that is altered
		to   byte
	}{{"fails its checksum", 60, 0xff}, {"version 9 of the backlog store", 8, 9}} {
		s := newStage(t)
		s.write("[backlog]\nfolder = \"stored\"\n")
		folder := filepath.Join(filepath.Dir(s.file), "stored")
		store, err := backlog.Open(backlog.OS{}, folder, backlog.Bounds{Bytes: 4 << 20})
		require.NoError(t, err)
		require.NoError(t, store.Append(&backlog.Message{Seq: 1, ID: "a", Body: []byte("hello")}))
		out, code := spanflow("run", "-c", s.file)
		require.Equal(t, 1, code, out)
		require.Contains(t, out, fmt.Sprintf("another running process has the backlog store, pid %d", os.Getpid()))
		require.NoError(t, store.Close())
		names, err := filepath.Glob(filepath.Join(folder, "*.backlog"))
		require.NoError(t, err)
		require.Len(t, names, 1)
		text, err := os.ReadFile(names[0])
		require.NoError(t, err)
		text[c.at] = c.to
		require.NoError(t, os.WriteFile(names[0], text, 0o600))
		out, code = spanflow("run", "-c", s.file)
		require.Equal(t, 1, code, out)
		require.Contains(t, out, "spanflow: backlog: "+names[0]+": ")
		require.Contains(t, out, c.says)
		after, err := os.ReadFile(names[0])
		require.NoError(t, err)
		require.Equal(t, text, after)
	}
}
