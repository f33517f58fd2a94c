package commands

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/backlog"
)

// storeBounds make small segments, so that a short test frees some.
var storeBounds = backlog.Bounds{Bytes: 8 << 14, SegmentBytes: 1 << 14}

// run runs a command line and gives what it printed, errors too, and its exit code.
func run(args ...string) (string, int) { return runWith(nil, args...) }

func runWith(environ []string, args ...string) (string, int) {
	var out bytes.Buffer
	code := Main(args, environ, &out, &out)
	return out.String(), code
}

func stored(lane backlog.Lane, seq uint64) *backlog.Message {
	return &backlog.Message{Seq: seq, Lane: lane, Key: 5, Type: "ticket", ID: fmt.Sprintf("id-%d", seq), Body: []byte(fmt.Sprintf("body of %d", seq)),
		Taken: time.Now().UnixMicro(), Expiry: time.Now().Add(time.Hour).UnixMicro()}
}

func openStore(t *testing.T, folder string, bounds backlog.Bounds) *backlog.Store {
	store, err := backlog.Open(backlog.OS{}, folder, bounds)
	require.NoError(t, err)
	return store
}

// newStore is a closed store with messages of three lanes, each with another history.
func newStore(t *testing.T) string {
	folder := filepath.Join(t.TempDir(), "backlog")
	store := openStore(t, folder, storeBounds)
	tried := stored(backlog.Lane{Destination: 9, Tenant: 0}, 2)
	tried.Attempts = 2
	ran := stored(backlog.Lane{Destination: 7, Tenant: 1}, 3)
	ran.Attempts, ran.MayHaveRun, ran.DeduplicationKey, ran.Frontend, ran.CallerWaits = 1, time.Now().UnixMicro(), "n-3", "web", true
	soon := stored(backlog.Lane{Destination: 9, Tenant: 0}, 4)
	soon.Expiry = time.Now().Add(10 * time.Second).UnixMicro()
	for _, m := range []*backlog.Message{stored(backlog.Lane{Destination: 9, Tenant: 0}, 1), tried, ran, soon, stored(backlog.Lane{Destination: 7, Tenant: 0}, 5)} {
		require.NoError(t, store.Append(m))
	}
	require.NoError(t, store.Close())
	return folder
}

// configured writes a configuration with a tenant's name and, unless the text is empty, a [backlog] section.
func configured(t *testing.T, section string) string {
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

// ids are those of a listing as JSON, a message a line.
func ids(t *testing.T, out string) []string {
	all := []string{}
	for line := range strings.Lines(out) {
		var r row
		require.NoError(t, json.Unmarshal([]byte(line), &r), line)
		all = append(all, r.ID)
	}
	return all
}

// files are a folder's files with their texts.
func files(t *testing.T, folder string) map[string]string {
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

func TestStoredMessagesAreListedByLaneAndFiltered(t *testing.T) {
	folder := newStore(t)
	before := files(t, folder)
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
		require.Equal(t, c.want, ids(t, out), c.flags)
	}
	out, code := run("backlog", "list", "-f", folder)
	require.Equal(t, 0, code, out)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 6)
	require.Regexp(t, `^ID +STATE +DEST +TYPE +TENANT +KEY +FRONT +SENT +EXPIRY +BYTES$`, lines[0])
	require.Regexp(t, `^id-3 +may-have-run +7 +ticket +1 +0000000000000005 +web +1 .* 9$`, lines[2])
	require.Equal(t, before, files(t, folder), "nothing is altered")
}

func TestTheConfigurationNamesTheStoreAndItsTenants(t *testing.T) {
	folder := newStore(t)
	path := configured(t, fmt.Sprintf("[backlog]\nfolder = %q\n", folder))
	out, code := run("backlog", "list", "-c", path, "--tenant", "shop", "--json")
	require.Equal(t, 0, code, out)
	require.Equal(t, []string{"id-5", "id-1", "id-2", "id-4"}, ids(t, out))
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

func TestAStoredMessageIsShownWithItsHistory(t *testing.T) {
	folder := newStore(t)
	out, code := run("backlog", "show", "id-3", "-f", folder)
	require.Equal(t, 0, code, out)
	for _, line := range []string{`state +may-have-run`, `destination +7`, `tenant +1`, `number +n-3`, `front +web`, `caller waits +true`,
		`transmissions +1`, `taken +2\S+`, `may have run since +2\S+`, `body +9 bytes`, `"body of 3"`} {
		require.Regexp(t, `(?m)^`+line+`$`, out)
	}
	out, code = run("backlog", "show", "id-3", "-f", folder, "--json", "--dest", "7")
	require.Equal(t, 0, code, out)
	var r row
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Equal(t, []any{"id-3", "body of 3", uint64(3), true}, []any{r.ID, string(r.Body), r.Seq, r.Held})
	out, code = run("backlog", "show", "id-3", "-f", folder, "--dest", "9")
	require.Equal(t, 1, code)
	require.Contains(t, out, folder+` stores no document with the id "id-3"`)
}

func TestStoredMessagesAreSummedUp(t *testing.T) {
	folder := newStore(t)
	out, code := run("backlog", "stat", "-f", folder, "--json")
	require.Equal(t, 0, code, out)
	var sums backlogSums
	require.NoError(t, json.Unmarshal([]byte(out), &sums))
	require.Equal(t, []any{folder, 0, 1, 5, 3}, []any{sums.Folder, sums.Owner, sums.Segments, sums.Stored, sums.Lanes})
	require.Equal(t, map[string]int{"untried": 3, "tried": 1, "may-have-run": 1}, sums.States)
	require.Len(t, sums.Destinations, 2)
	require.Equal(t, []any{"9", 3, "7", 2}, []any{sums.Destinations[0].Of, sums.Destinations[0].Stored, sums.Destinations[1].Of, sums.Destinations[1].Stored})
	require.Equal(t, []any{"0", 4, "1", 1}, []any{sums.Tenants[0].Of, sums.Tenants[0].Stored, sums.Tenants[1].Of, sums.Tenants[1].Stored})
	require.Equal(t, sums.Bytes, sums.Destinations[0].Bytes+sums.Destinations[1].Bytes)
	require.Equal(t, sums.Bytes, sums.Tenants[0].Bytes+sums.Tenants[1].Bytes)
	require.WithinDuration(t, time.Now(), sums.Oldest, time.Minute)

	store := openStore(t, folder, storeBounds)
	defer store.Close()
	out, code = run("backlog", "stat", "-f", folder)
	require.Equal(t, 0, code, out)
	for _, line := range []string{fmt.Sprintf(`owner +pid %d`, os.Getpid()), `stored +5 documents in 3 lanes, \d+ bytes`, `untried +3`,
		`destination 9 +3, \d+ bytes, oldest taken 2\S+`, `tenant 1 +1, \d+ bytes, oldest taken 2\S+`} {
		require.Regexp(t, `(?m)^`+line+`$`, out)
	}
	out, code = run("check", "-c", configured(t, fmt.Sprintf("[backlog]\nfolder = %q\n", folder)))
	require.Equal(t, 0, code, out)
	require.Contains(t, out, fmt.Sprintf("backlog.folder: belongs to a running process, pid %d", os.Getpid()))
}

func TestAnEmptyStoreIsSumsOfNothing(t *testing.T) {
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

func TestATornEndOfAStoreIsToldAndIsNoDamage(t *testing.T) {
	folder := newStore(t)
	name := lastSegment(t, folder)
	text, err := os.ReadFile(name)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(name, text[:len(text)-3], 0o600))
	before := files(t, folder)
	out, code := run("backlog", "verify", "-f", folder)
	require.Equal(t, 0, code, out)
	require.Regexp(t, filepath.Base(name)+`: a torn end of \d+ bytes, no damage`, out)
	require.Contains(t, out, "sound; 1 segments")
	out, code = run("backlog", "list", "-f", folder, "--json")
	require.Equal(t, 0, code, out)
	require.Equal(t, []string{"id-3", "id-1", "id-2", "id-4"}, ids(t, out), "the message that was being written is not there")
	require.Equal(t, before, files(t, folder), "nothing is altered")
}

func TestDamagedAndNewerStoresAreRefusedByNameOfTheFile(t *testing.T) {
	const versionAt, recordAt = 8, 60 // bytes from a segment's begin
	for _, c := range []struct {
		what string
		at   int
		to   byte
	}{{"checksum", recordAt, 0xff}, {"version 9 of the backlog store", versionAt, 9}, {"not a segment of a backlog store", 0, 'x'}} {
		folder := newStore(t)
		name := lastSegment(t, folder)
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		text[c.at] = c.to
		require.NoError(t, os.WriteFile(name, text, 0o600))
		for _, command := range [][]string{{"list"}, {"list", "--json"}, {"show", "id-1"}, {"stat"}, {"verify"}, {"verify", "--json"}} {
			out, code := run(append(append([]string{"backlog"}, command...), "-f", folder)...)
			require.Equal(t, 1, code, "%v: %s", command, out)
			require.Contains(t, out, name+": ", command)
			require.Contains(t, out, c.what, command)
		}
	}
}

func TestAMissingSegmentIsNamed(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "backlog")
	store := openStore(t, folder, storeBounds)
	for seq := range uint64(300) {
		require.NoError(t, store.Append(stored(backlog.Lane{Destination: 1}, seq+1)))
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

func TestALongListingIsPrintedWhole(t *testing.T) {
	const messages = 2*rowsAtOnce + 500
	folder := filepath.Join(t.TempDir(), "backlog")
	store := openStore(t, folder, backlog.Bounds{Bytes: 4 << 20})
	for seq := range uint64(messages) {
		require.NoError(t, store.Append(stored(backlog.Lane{Destination: seq % 3}, seq+1)))
	}
	require.NoError(t, store.Close())
	out, code := run("backlog", "list", "-f", folder)
	require.Equal(t, 0, code)
	require.Equal(t, 1+messages, strings.Count(out, "\n"))
}

// A table's rows do not gather in memory until its end.
func TestRowsArePrintedAThousandAtATime(t *testing.T) {
	var out bytes.Buffer
	rows := (&session{out: &out}).newTable()
	for range rowsAtOnce {
		require.NoError(t, rows.add(row{ID: "id"}))
	}
	require.Equal(t, 1+rowsAtOnce, strings.Count(out.String(), "\n"))
}

// writer appends and releases messages in one lane, so that segments come and go, until it is stopped.
type writer struct {
	stop chan struct{}
	done sync.WaitGroup
	err  error
}

func startWriter(store *backlog.Store, lane backlog.Lane, next uint64) *writer {
	w := &writer{stop: make(chan struct{})}
	w.done.Go(func() {
		for ; w.err == nil; next++ {
			select {
			case <-w.stop:
				return
			default:
			}
			if w.err = store.Append(stored(lane, next)); w.err == nil && store.Stored(lane) > 20 {
				var head []*backlog.Message
				if head, w.err = store.Head(lane, 1); w.err == nil {
					w.err = store.Release([]backlog.Ref{head[0].Ref()})
				}
			}
		}
	})
	return w
}

func (w *writer) end(t *testing.T) {
	close(w.stop)
	w.done.Wait()
	require.NoError(t, w.err)
}

// A store is read while its owner writes to it and frees segments: what stays stored is seen at each look, once and in
// its order, and nothing hinders the event loop.
func TestAStoreIsReadWhileItIsWrittenTo(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "backlog")
	store := openStore(t, folder, storeBounds)
	defer store.Close()
	staying, busy := backlog.Lane{Destination: 7, Tenant: 1}, backlog.Lane{Destination: 5}
	const stay = 50
	want := make([]string, stay)
	for i := range want {
		m := stored(staying, uint64(i+1))
		want[i] = m.ID
		require.NoError(t, store.Append(m))
	}
	first := lastSegment(t, folder)
	w := startWriter(store, busy, 1000)
	looks := 0
	for began := time.Now(); time.Since(began) < time.Second; looks++ {
		out, code := run("backlog", "list", "-f", folder, "--dest", "7", "--json")
		require.Equal(t, 0, code, out)
		require.Equal(t, want, ids(t, out))
		out, code = run("backlog", "list", "-f", folder, "--dest", "5", "--json")
		require.Equal(t, 0, code, out)
		previous := 0
		for _, id := range ids(t, out) {
			seq := 0
			_, err := fmt.Sscanf(id, "id-%d", &seq)
			require.NoError(t, err)
			require.Greater(t, seq, previous)
			previous = seq
		}
		out, code = run("backlog", "show", "id-50", "-f", folder)
		require.Equal(t, 0, code, out)
		out, code = run("backlog", "stat", "-f", folder, "--json")
		require.Equal(t, 0, code, out)
		require.Contains(t, out, fmt.Sprintf(`"owner_pid": %d`, os.Getpid()))
		out, code = run("backlog", "verify", "-f", folder)
		require.Equal(t, 0, code, out)
	}
	w.end(t)
	require.NoFileExists(t, first, "segments were freed meanwhile")
	t.Logf("%d rounds of looks", looks)
}

// Segments that are freed between the look and the reading make the store be read anew, on from where it was.
func TestAListingGoesOnWhereSegmentsWereFreed(t *testing.T) {
	const messages = 400
	folder := filepath.Join(t.TempDir(), "backlog")
	store := openStore(t, folder, storeBounds)
	defer store.Close()
	lane := backlog.Lane{Destination: 7}
	var refs []backlog.Ref
	for seq := range uint64(messages) {
		m := stored(lane, seq+1)
		require.NoError(t, store.Append(m))
		refs = append(refs, m.Ref())
	}
	names, err := filepath.Glob(filepath.Join(folder, "*.backlog"))
	require.NoError(t, err)
	require.Greater(t, len(names), 3)
	free := func() error {
		for i := 20; i < messages/2; i += 10 { // all but 20 at the begin
			if err := store.Release(refs[i : i+10]); err != nil {
				return err
			}
		}
		for seq := range uint64(messages) { // what is written gives leave to free segments
			m := stored(backlog.Lane{Destination: 5}, 1000+seq)
			if err := store.Append(m); err != nil {
				return err
			}
			if err := store.Release([]backlog.Ref{m.Ref()}); err != nil {
				return err
			}
		}
		return nil
	}
	var seen []uint64
	err = eachStored(folder, &backlogFilter{}, func(m *backlog.Message) error {
		if seen = append(seen, m.Seq); len(seen) == 10 {
			return free()
		}
		return nil
	})
	require.NoError(t, err)
	require.NoFileExists(t, names[1])
	var want []uint64
	for seq := uint64(1); seq <= messages; seq++ {
		if seq <= 20 || seq > messages/2 {
			want = append(want, seq)
		}
	}
	// Of the released ones some may be seen: the segment that was open can still be read.
	var kept []uint64
	for i, seq := range seen {
		if i > 0 {
			require.Greater(t, seq, seen[i-1], "each once and in order")
		}
		if seq <= 20 || seq > messages/2 {
			kept = append(kept, seq)
		}
	}
	require.Equal(t, want, kept)
	require.Less(t, len(seen), messages, "it was read anew")
}

func TestTheBacklogCommandsTellWhatIsWrongWithThem(t *testing.T) {
	folder := newStore(t)
	without := configured(t, "")
	for _, c := range []struct {
		args []string
		code int
		says string
	}{
		{[]string{"list"}, 1, "no folder: use --folder, or --config FILE"},
		{[]string{"list", "-f", "/nowhere"}, 1, "/nowhere"},
		{[]string{"stat", "-f", "/nowhere"}, 1, "no such file"},
		{[]string{"verify", "-f", "/nowhere"}, 1, "no such file"},
		{[]string{"list", "-c", without}, 1, without + " names no folder: use --folder"},
		{[]string{"list", "-f", folder, "--dest", "x"}, 1, `--dest: "x" is not a number`},
		{[]string{"list", "-f", folder, "--tenant", "shop"}, 1, `--tenant: "shop" is not a number`},
		{[]string{"list", "-f", folder, "--state", "held"}, 1, `--state: "held" is none of ["untried" "tried" "may-have-run"]`},
		{[]string{"list", "-f", folder, "--limit", "-1"}, 1, "--limit: -1 is under 0"},
		{[]string{"list", "-f", folder, "--expires-within", "-1s"}, 1, "--expires-within: -1s is under 0s"},
		{[]string{"list", "-f", folder, "--expires-within", "soon"}, 2, "expires-within"},
		{[]string{"show", "-f", folder}, 2, "accepts 1 arg"},
		{[]string{"show", "none", "-f", folder}, 1, `stores no document with the id "none"`},
		{[]string{"lst"}, 2, `unknown command "lst"`},
		{nil, 0, "verify"},
	} {
		out, code := run(append([]string{"backlog"}, c.args...)...)
		require.Equal(t, c.code, code, "%v: %s", c.args, out)
		require.Contains(t, out, c.says, c.args)
	}
	out, code := run("__complete", "backlog", "list", "--state", "")
	require.Equal(t, 0, code, out)
	require.Contains(t, out, "may-have-run")
	out, _ = run("__complete", "backlog", "")
	require.Contains(t, out, "verify")
}
