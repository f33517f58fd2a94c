package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/backlog"
)

// A forwarder does not start if its backlog cannot be read completely or is open in another process. The backlog is not
// changed.
func TestUnreadableBacklogFailsStartup(t *testing.T) {
	for _, c := range []struct {
		message string
		at      int // offset in the segment of the byte that is changed
		to      byte
	}{
		{"fails its checksum", 60, 0xff},
		{"version 9 of the backlog store", 8, 9},
	} {
		h := newSingleHarness(t)
		h.writeConfig("[backlog]\nfolder = \"stored\"\n")
		folder := h.backlogFolder()
		store, err := backlog.Open(backlog.OS{}, folder, backlog.Bounds{Bytes: 4 << 20})
		require.NoError(t, err)
		require.NoError(t, store.Append(&backlog.Message{Seq: 1, ID: "a", Body: []byte("hello")}))
		out, code := spanflow("run", "-c", h.configFile)
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
		out, code = spanflow("run", "-c", h.configFile)
		require.Equal(t, 1, code, out)
		require.Contains(t, out, "spanflow: backlog: "+names[0]+": ")
		require.Contains(t, out, c.message)
		after, err := os.ReadFile(names[0])
		require.NoError(t, err)
		require.Equal(t, text, after)
	}
}

const (
	segmentHeader = 32 // length in bytes of a segment's header
	tornBytes     = 37 // longer than the header of a record, shorter than the record
)

// filesOf returns the contents of all files of a folder except lock files, by name.
func filesOf(t *testing.T, folder string) map[string]string {
	all := map[string]string{}
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	for _, e := range entries {
		text, err := os.ReadFile(filepath.Join(folder, e.Name()))
		require.NoError(t, err)
		if !strings.HasSuffix(e.Name(), ".lock") {
			all[e.Name()] = string(text)
		}
	}
	return all
}

// errorLines returns the lines that the program prints to report an error.
func errorLines(output string) (lines []string) {
	for line := range strings.Lines(output) {
		if strings.HasPrefix(line, "spanflow: ") {
			lines = append(lines, line)
		}
	}
	return lines
}

func TestBacklogTornEndIsSkippedAndCorruptionFailsStartup(t *testing.T) {
	const count, keys = 1500, 7
	t.Parallel()
	h := newBacklogHarness(t, 1).writeConfig("disk = \"4MiB\"\nwindow = 8\nbehind = 16")
	h.setReplies(reject)
	h.start()
	messages := submissions("status", 1, "", count, keys)
	for i := range messages {
		messages[i].body = body300
	}
	h.putAll(messages)
	h.kill()
	names, err := filepath.Glob(filepath.Join(h.backlogFolder(), "*.backlog"))
	require.NoError(t, err)
	require.Greater(t, len(names), 1)
	last := names[len(names)-1]

	intact, err := os.ReadFile(names[0])
	require.NoError(t, err)
	corrupt := bytes.Clone(intact)
	corrupt[len(corrupt)/2] ^= 1
	require.NoError(t, os.WriteFile(names[0], corrupt, 0o600))
	for _, missing := range []bool{false, true} {
		if missing && len(names) > 2 {
			require.NoError(t, os.WriteFile(names[0], intact, 0o600))
			require.NoError(t, os.Rename(names[1], filepath.Join(h.folder, "aside")))
		}
		before := filesOf(t, h.backlogFolder())
		out, code := spanflow("run", "-c", h.configFile)
		require.Equal(t, 1, code, out)
		name := names[0]
		if missing && len(names) > 2 {
			name = names[1]
		}
		failures := errorLines(out)
		require.Len(t, failures, 1, out)
		require.Contains(t, failures[0], "spanflow: backlog: "+name)
		require.Equal(t, before, filesOf(t, h.backlogFolder()), "the files must not change")
	}
	if len(names) > 2 {
		require.NoError(t, os.Rename(filepath.Join(h.folder, "aside"), names[1]))
	}
	require.NoError(t, os.WriteFile(names[0], intact, 0o600))

	// A kill during a write leaves an incomplete record.
	f, err := os.OpenFile(last, os.O_WRONLY|os.O_APPEND, 0)
	require.NoError(t, err)
	_, err = f.Write(intact[segmentHeader:][:tornBytes])
	require.NoError(t, err)
	require.NoError(t, f.Close())
	h.setReplies(h.history.deliver)
	h.start()
	h.awaitAnswers(time.Minute)
	h.terminate()
}
