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

func TestBacklogListOrdersByLaneAndFilters(t *testing.T) {
	folder := newStore(t)
	before := readFiles(t, folder)
	for _, c := range []struct {
		flags []string
		want  []string
	}{
		{nil, []string{"id-5", "id-3", "id-1", "id-2", "id-4"}},
		{[]string{"--dest", "9"}, []string{"id-1", "id-2", "id-4"}},
		{[]string{"--dest", "8"}, []string{}},
		{[]string{"--tenant", "1"}, []string{"id-3"}},
		{[]string{"--tenant", "0", "--dest", "7"}, []string{"id-5"}},
		{[]string{"--state", "untried"}, []string{"id-5", "id-1", "id-4"}},
		{[]string{"--state", "tried"}, []string{"id-2"}},
		{[]string{"--state", "may-have-run"}, []string{"id-3"}},
		{[]string{"--limit", "2"}, []string{"id-5", "id-3"}},
		{[]string{"--limit", "1", "--dest", "9"}, []string{"id-1"}},
		{[]string{"--expires-within", "1m"}, []string{"id-4"}},
	} {
		out, code := run(append([]string{"backlog", "list", "-f", folder, "--json"}, c.flags...)...)
		require.Equal(t, 0, code, out)
		require.Equal(t, c.want, listedIDs(t, out), c.flags)
	}
	out, code := run("backlog", "list", "-f", folder)
	require.Equal(t, 0, code, out)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 6)
	require.Regexp(t, `^ID +STATE +DEST +TYPE +TENANT +KEY +FRONT +SENT +EXPIRY +BYTES$`, lines[0])
	require.Regexp(t, `^id-3 +may-have-run +7 +ticket +1 +0000000000000005 +web +1 .* 9$`, lines[2])
	require.Equal(t, before, readFiles(t, folder), "reading must not change any file")
}

func TestConfigurationProvidesStoreFolderAndTenantNames(t *testing.T) {
	folder := newStore(t)
	path := writeConfig(t, fmt.Sprintf("[backlog]\nfolder = %q\n", folder))
	out, code := run("backlog", "list", "-c", path, "--tenant", "shop", "--json")
	require.Equal(t, 0, code, out)
	require.Equal(t, []string{"id-5", "id-1", "id-2", "id-4"}, listedIDs(t, out))
	require.Contains(t, out, `"tenant":"shop"`)
	out, code = runWith([]string{"SPANFLOW_CONFIG=" + path}, "backlog", "show", "id-1")
	require.Equal(t, 0, code, out)
	require.Regexp(t, `(?m)^tenant +shop$`, out)
	out, code = run("check", "-c", path)
	require.Equal(t, 0, code, out)
	require.Regexp(t, `(?m)^backlog +`+folder+`, 256MB at most$`, out)
	out, code = run("config", "show", "-c", path)
	require.Equal(t, 0, code, out)
	require.Regexp(t, `(?m)^backlog.folder +\S+ +\S+c.toml:16 +restart$`, out)
	require.Regexp(t, `(?m)^backlog.disk +256MB +default +reload$`, out)
}

func TestBacklogShowPrintsAMessageWithItsHistory(t *testing.T) {
	folder := newStore(t)
	out, code := run("backlog", "show", "id-3", "-f", folder)
	require.Equal(t, 0, code, out)
	for _, line := range []string{`state +may-have-run`, `destination +7`, `tenant +1`, `number +n-3`, `front +web`, `caller waits +true`,
		`transmissions +1`, `taken +2\S+`, `may have run since +2\S+`, `body +9 bytes`, `"body of 3"`} {
		require.Regexp(t, `(?m)^`+line+`$`, out)
	}
	out, code = run("backlog", "show", "id-3", "-f", folder, "--json", "--dest", "7")
	require.Equal(t, 0, code, out)
	var r messageReport
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Equal(t, []any{"id-3", "body of 3", uint64(3), true}, []any{r.ID, string(r.Body), r.Sequence, r.CallerWaits})
	out, code = run("backlog", "show", "id-3", "-f", folder, "--dest", "9")
	require.Equal(t, 1, code)
	require.Contains(t, out, folder+` stores no message with the id "id-3"`)
}

func TestBacklogStatCountsMessages(t *testing.T) {
	folder := newStore(t)
	out, code := run("backlog", "stat", "-f", folder, "--json")
	require.Equal(t, 0, code, out)
	var stats backlogStats
	require.NoError(t, json.Unmarshal([]byte(out), &stats))
	require.Equal(t, []any{folder, 0, 1, 5, 3}, []any{stats.Folder, stats.HolderPID, stats.Segments, stats.Stored, stats.Lanes})
	require.Equal(t, map[string]int{"untried": 3, "tried": 1, "may-have-run": 1}, stats.States)
	require.Len(t, stats.Destinations, 2)
	require.Equal(t, []any{"9", 3, "7", 2}, []any{stats.Destinations[0].Of, stats.Destinations[0].Stored, stats.Destinations[1].Of, stats.Destinations[1].Stored})
	require.Equal(t, []any{"0", 4, "1", 1}, []any{stats.Tenants[0].Of, stats.Tenants[0].Stored, stats.Tenants[1].Of, stats.Tenants[1].Stored})
	require.Equal(t, stats.Bytes, stats.Destinations[0].Bytes+stats.Destinations[1].Bytes)
	require.Equal(t, stats.Bytes, stats.Tenants[0].Bytes+stats.Tenants[1].Bytes)
	require.WithinDuration(t, time.Now(), stats.Oldest, time.Minute)

	store := openStore(t, folder, storeBounds)
	defer store.Close()
	out, code = run("backlog", "stat", "-f", folder)
	require.Equal(t, 0, code, out)
	for _, line := range []string{fmt.Sprintf(`owner +pid %d`, os.Getpid()), `stored +5 documents in 3 lanes, \d+ bytes`, `untried +3`,
		`destination 9 +3, \d+ bytes, oldest taken 2\S+`, `tenant 1 +1, \d+ bytes, oldest taken 2\S+`} {
		require.Regexp(t, `(?m)^`+line+`$`, out)
	}
	out, code = run("check", "-c", writeConfig(t, fmt.Sprintf("[backlog]\nfolder = %q\n", folder)))
	require.Equal(t, 0, code, out)
	require.Contains(t, out, fmt.Sprintf("backlog.folder: belongs to a running process, pid %d, so a second process could not start", os.Getpid()))
}

func TestBacklogCommandsOnAnEmptyStore(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "backlog")
	require.NoError(t, openStore(t, folder, storeBounds).Close())
	out, code := run("backlog", "stat", "-f", folder, "--json")
	require.Equal(t, 0, code, out)
	require.Contains(t, out, `"by_destination": []`)
	out, code = run("backlog", "list", "-f", folder, "--json")
	require.Equal(t, []any{"", 0}, []any{out, code})
	out, code = run("backlog", "verify", "-f", folder)
	require.Equal(t, []any{"sound; 0 segments\n", 0}, []any{out, code})
}

func TestBacklogVerifyDoesNotCountATornEndAsDamage(t *testing.T) {
	folder := newStore(t)
	name := lastSegment(t, folder)
	text, err := os.ReadFile(name)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(name, text[:len(text)-3], 0o600))
	before := readFiles(t, folder)
	out, code := run("backlog", "verify", "-f", folder)
	require.Equal(t, 0, code, out)
	require.Regexp(t, filepath.Base(name)+`: a torn end of \d+ bytes, no damage`, out)
	require.Contains(t, out, "sound; 1 segments")
	out, code = run("backlog", "list", "-f", folder, "--json")
	require.Equal(t, 0, code, out)
	require.Equal(t, []string{"id-3", "id-1", "id-2", "id-4"}, listedIDs(t, out), "the partly written message must not be listed")
	require.Equal(t, before, readFiles(t, folder), "reading must not change any file")
}

func TestBacklogCommandsNameTheDamagedOrNewerFile(t *testing.T) {
	const versionOffset, recordOffset = 8, 60 // in bytes, within a segment
	for _, c := range []struct {
		reason string
		offset int
		value  byte
	}{{"checksum", recordOffset, 0xff}, {"version 9 of the backlog store", versionOffset, 9}, {"not a segment of a backlog store", 0, 'x'}} {
		folder := newStore(t)
		name := lastSegment(t, folder)
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		text[c.offset] = c.value
		require.NoError(t, os.WriteFile(name, text, 0o600))
		for _, command := range [][]string{{"list"}, {"list", "--json"}, {"show", "id-1"}, {"stat"}, {"verify"}, {"verify", "--json"}} {
			out, code := run(append(append([]string{"backlog"}, command...), "-f", folder)...)
			require.Equal(t, 1, code, "%v: %s", command, out)
			require.Contains(t, out, name+": ", command)
			require.Contains(t, out, c.reason, command)
		}
	}
}

func TestBacklogCommandsNameAMissingSegment(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "backlog")
	store := openStore(t, folder, storeBounds)
	for seq := range uint64(300) {
		require.NoError(t, store.Append(newMessage(backlog.Lane{Destination: 1}, seq+1)))
	}
	require.NoError(t, store.Close())
	names, err := filepath.Glob(filepath.Join(folder, "*.backlog"))
	require.NoError(t, err)
	require.Greater(t, len(names), 2)
	require.NoError(t, os.Remove(names[1]))
	for _, command := range []string{"list", "stat", "verify"} {
		out, code := run("backlog", command, "-f", folder)
		require.Equal(t, 1, code, out)
		require.Contains(t, out, names[1]+": byte 0: missing", command)
	}
}

func TestLongListIsPrintedCompletely(t *testing.T) {
	const messages = 2*rowsPerFlush + 500
	folder := filepath.Join(t.TempDir(), "backlog")
	store := openStore(t, folder, backlog.Bounds{Bytes: 4 << 20})
	for seq := range uint64(messages) {
		require.NoError(t, store.Append(newMessage(backlog.Lane{Destination: seq % 3}, seq+1)))
	}
	require.NoError(t, store.Close())
	out, code := run("backlog", "list", "-f", folder)
	require.Equal(t, 0, code)
	require.Equal(t, 1+messages, strings.Count(out, "\n"))
}

// A table must not keep all its rows in memory until its end.
func TestTableFlushesRowsInGroups(t *testing.T) {
	var out bytes.Buffer
	rows := (&session{out: &out}).newMessageTable()
	for range rowsPerFlush {
		require.NoError(t, rows.add(&messageReport{ID: "id"}))
	}
	require.Equal(t, 1+rowsPerFlush, strings.Count(out.String(), "\n"))
}

func TestBacklogCommandsRejectInvalidArguments(t *testing.T) {
	folder := newStore(t)
	withoutStore := writeConfig(t, "")
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"list"}, 1, "no folder; use --folder or --config FILE"},
		{[]string{"list", "-f", "/nowhere"}, 1, "/nowhere"},
		{[]string{"stat", "-f", "/nowhere"}, 1, "no such file"},
		{[]string{"verify", "-f", "/nowhere"}, 1, "no such file"},
		{[]string{"list", "-c", withoutStore}, 1, withoutStore + " sets no folder; use --folder"},
		{[]string{"list", "-f", folder, "--dest", "x"}, 1, `--dest: "x" is not a number`},
		{[]string{"list", "-f", folder, "--tenant", "shop"}, 1, `--tenant: "shop" is not a number`},
		{[]string{"list", "-f", folder, "--state", "held"}, 1, `--state: "held" is none of ["untried" "tried" "may-have-run"]`},
		{[]string{"list", "-f", folder, "--limit", "-1"}, 1, "--limit: -1 is negative"},
		{[]string{"list", "-f", folder, "--expires-within", "-1s"}, 1, "--expires-within: -1s is negative"},
		{[]string{"list", "-f", folder, "--expires-within", "soon"}, 2, "expires-within"},
		{[]string{"show", "-f", folder}, 2, "accepts 1 arg"},
		{[]string{"show", "none", "-f", folder}, 1, `stores no message with the id "none"`},
		{[]string{"lst"}, 2, `unknown command "lst"`},
		{nil, 0, "verify"},
	} {
		out, code := run(append([]string{"backlog"}, c.args...)...)
		require.Equal(t, c.code, code, "%v: %s", c.args, out)
		require.Contains(t, out, c.want, c.args)
	}
	out, code := run("__complete", "backlog", "list", "--state", "")
	require.Equal(t, 0, code, out)
	require.Contains(t, out, "may-have-run")
	out, _ = run("__complete", "backlog", "")
	require.Contains(t, out, "verify")
}
