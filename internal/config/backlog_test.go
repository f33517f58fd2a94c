package config

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/forwarder"
	"spanflow/internal/backlog"
	"spanflow/internal/backlog/policy"
)

const backlogSection = `[backlog]
folder = "stored"
disk = "64MB"
destination = "16MB"
tenant = "32MB"
window = 32
behind = 500
`

// notesOf returns the notes on a configuration without problems, as one text.
func notesOf(t *testing.T, text string) string {
	l, err := Load(writeFile(t, text), nil, nil)
	require.NoError(t, err)
	problems, notes := l.Check()
	require.Empty(t, problems)
	return notes.Error()
}

func TestNoBacklogStoreWithoutAFolder(t *testing.T) {
	cfg, err := ForwarderConfig(writeFile(t, validConfig), nil, nil)
	require.NoError(t, err)
	require.Nil(t, cfg.Backlog)
	require.NotContains(t, notesOf(t, validConfig), "backlog")
	unused := strings.Replace(backlogSection, "folder = \"stored\"\n", "", 1)
	cfg, err = ForwarderConfig(writeFile(t, validConfig+unused), nil, nil)
	require.NoError(t, err)
	require.Nil(t, cfg.Backlog)
	for _, name := range []string{"disk", "destination", "tenant", "window", "behind"} {
		require.Contains(t, notesOf(t, validConfig+unused), "backlog."+name+": has no effect, because backlog.folder is empty")
	}
	tight := strings.Replace(validConfig, "[limits]", "[dispatch]\nroom = 10\n[limits]\ndescriptors = 64", 1)
	require.NotContains(t, notesOf(t, tight), "backlog", "defaults are not checked without a store")
}

func TestForwarderConfigOfABacklogStore(t *testing.T) {
	path := writeFile(t, validConfig+backlogSection)
	cfg, err := ForwarderConfig(path, nil, nil)
	require.NoError(t, err)
	folder := filepath.Join(filepath.Dir(path), "stored")
	require.Equal(t, &forwarder.Backlog{Folder: folder, Bytes: 64e6, DestinationBytes: 16e6, TenantBytes: 32e6, Window: 32, Behind: 500}, cfg.Backlog)
	require.NoDirExists(t, folder, "the folder is created when the store is opened")
	next, err := cfg.Reload()
	require.NoError(t, err)
	require.Equal(t, cfg.Backlog, next.Backlog)

	cfg, err = ForwarderConfig(writeFile(t, validConfig+"[backlog]\nfolder = \"/var/none/stored\"\n"), nil, nil)
	require.NoError(t, err)
	require.Equal(t, &forwarder.Backlog{Folder: "/var/none/stored", Bytes: 256e6, Window: 64, Behind: 1000}, cfg.Backlog, "the defaults")
}

func TestBacklogProblemsNameTheField(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`folder = "stored"`, `folder = "c.toml"`, "c.toml:23: backlog.folder: c.toml is not a folder"},
		{`folder = "stored"`, `folder = "state"`, "c.toml:23: backlog.folder: "},
		{`folder = "stored"`, `folder = "./state/../state"`, "is also ledger.folder"},
		{`folder = "stored"`, `folder = "state/stored"`, "lies within ledger.folder"},
		{`folder = "stored"`, `folder = "."`, "backlog.folder: ledger.folder, "},
		{`folder = "stored"`, `folder = 7`, "c.toml:23: backlog.folder"},
		{`disk = "64MB"`, `disk = "64"`, `c.toml:24: backlog.disk: "64" is not a size with its unit`},
		{`disk = "64MB"`, `disk = "2MB"`, "c.toml:24: backlog.disk: 2MB is below the minimum, 2MiB"},
		{`disk = "64MB"`, `dsk = "64MB"`, "c.toml:24: backlog.dsk: unknown key; disk may be meant"},
		{`destination = "16MB"`, `destination = "65MB"`, "c.toml:25: backlog.destination: 65MB exceeds backlog.disk, 64MB"},
		{`tenant = "32MB"`, `tenant = "1GB"`, "c.toml:26: backlog.tenant: 1GB exceeds backlog.disk, 64MB"},
		{`window = 32`, `window = 0`, "c.toml:27: backlog.window: 0 is below the minimum, 1"},
		{`window = 32`, `window = -5`, "c.toml:27: backlog.window: -5 is below the minimum, 1"},
		{`window = 32`, `window = 501`, "c.toml:28: backlog.behind: 500 is less than backlog.window, 501"},
		{`window = 32`, `window = "32"`, "c.toml:27: backlog.window"},
		{`behind = 500`, `behind = 31`, "c.toml:28: backlog.behind: 31 is less than backlog.window, 32"},
		{"window = 32\nbehind = 500", "window = 2001\nbehind = 2001", "c.toml:27: backlog.window: 2001 exceeds dispatch.room, 2000"},
		{`behind = 500`, "behind = 500\n[limits]\ndescriptors = 73", "limits.descriptors: 73 is below the minimum with a backlog store, 74"},
	} {
		text := strings.Replace(validConfig+backlogSection, c.old, c.new, 1)
		require.NotEqual(t, validConfig+backlogSection, text)
		if strings.Contains(c.new, "[limits]") {
			text = strings.Replace(text, "[limits]\nmemory = \"48MB\"\n", "", 1)
		}
		require.Contains(t, problemsOf(t, text, nil, nil), c.want, c.new)
	}
	require.Empty(t, problemsOf(t, validConfig+backlogSection, nil, nil))
	require.Contains(t, problemsOf(t, validConfig+backlogSection, nil, []string{"backlog.disk=1MB"}), "backlog.disk: 1MB is below the minimum")
	require.Contains(t, problemsOf(t, validConfig+backlogSection, []string{"SPANFLOW_BACKLOG_WINDOW=many"}, nil), `SPANFLOW_BACKLOG_WINDOW: "many" is not a whole number`)
}

// A path that reaches the write-ahead log's folder through a symbolic link counts as that folder.
func TestSymlinkToTheLogFolderIsTheSameFolder(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(dir, "state"), 0o700))
	require.NoError(t, os.Symlink("state", filepath.Join(dir, "link")))
	for folder, want := range map[string]string{"link": "is also ledger.folder", "link/new/deep": "lies within ledger.folder"} {
		path := filepath.Join(dir, "c.toml")
		require.NoError(t, os.WriteFile(path, []byte(validConfig+strings.Replace(backlogSection, `"stored"`, fmt.Sprintf("%q", folder), 1)), 0o600))
		l, err := Load(path, nil, nil)
		require.NoError(t, err)
		problems, _ := l.Check()
		require.ErrorContains(t, problems, want)
	}
}

func TestNotesOnBacklogSettings(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"window = 32", "window = 126", "backlog.window: dispatch.room, 2000, holds the windows of only 15 lanes"},
		{"behind = 500", "behind = 2001", "backlog.behind: 2001 exceeds dispatch.room, 2000, so a destination that answers never counts as far behind"},
		{`disk = "64MB"`, `disk = "1GB"`, "backlog.disk: when full of 300-byte messages, its index takes up to 160MB of memory, more than half of limits.memory, 48MB"},
	} {
		require.Contains(t, notesOf(t, strings.Replace(validConfig+backlogSection, c.old, c.new, 1)), c.want)
	}
	require.NotContains(t, notesOf(t, validConfig+backlogSection), "backlog")
	require.NotContains(t, notesOf(t, "[backlog]\nfolder = \"stored\"\n"+strings.NewReplacer(`name = "n1"`+"\n", "", `zones = ["a", "b"]`+"\n", "",
		`zone = "b"`+"\n", "", `memory = "48MB"`, "").Replace(validConfig)), "backlog", "no notes on the defaults")
}

// A configuration that passes the check must also be valid in packages backlog and policy, whose limits the check
// repeats.
func TestStoreAndPolicyAcceptWhatPassesTheCheck(t *testing.T) {
	check := func(flags ...string) (*forwarder.Backlog, error) {
		cfg, err := ForwarderConfig(writeFile(t, validConfig+backlogSection), nil, flags)
		if err != nil {
			return nil, err
		}
		return cfg.Backlog, nil
	}
	use := func(b *forwarder.Backlog) error {
		store, err := backlog.Open(backlog.OS{}, t.TempDir(), backlog.Bounds{Bytes: b.Bytes})
		if err != nil {
			return err
		}
		defer store.Close()
		effectiveBound := func(bound int64) int64 { // 0 means no separate limit
			if bound == 0 {
				return b.Bytes
			}
			return bound
		}
		bounds := policy.Bounds{Bytes: b.Bytes, DestinationBytes: effectiveBound(b.DestinationBytes), TenantBytes: effectiveBound(b.TenantBytes),
			Window: b.Window, Behind: b.Behind, Batch: 1, ExpiryLead: time.Second}
		return bounds.Check()
	}
	for _, flags := range [][]string{nil, {"backlog.disk=2MiB", "backlog.destination=2MiB", "backlog.tenant=2MiB"},
		{"backlog.destination=0B", "backlog.tenant=0B"}, {"backlog.destination=1B", "backlog.tenant=1B"},
		{"backlog.window=1", "backlog.behind=1"}, {"backlog.window=2000", "backlog.behind=2000"}} {
		b, err := check(flags...)
		require.NoError(t, err, flags)
		require.NoError(t, use(b), flags)
	}
	valid, err := check()
	require.NoError(t, err)
	for flag, invalidate := range map[string]func(*forwarder.Backlog){
		fmt.Sprintf("backlog.disk=%dB", minBacklog-1): func(b *forwarder.Backlog) { b.Bytes = minBacklog - 1 },
		"backlog.destination=65MB":                    func(b *forwarder.Backlog) { b.DestinationBytes = 65e6 },
		"backlog.tenant=65MB":                         func(b *forwarder.Backlog) { b.TenantBytes = 65e6 },
		"backlog.window=0":                            func(b *forwarder.Backlog) { b.Window = 0 },
		"backlog.behind=31":                           func(b *forwarder.Backlog) { b.Behind = 31 },
	} {
		_, err := check(flag)
		require.Error(t, err, flag)
		b := *valid
		invalidate(&b)
		require.Error(t, use(&b), flag)
	}
}

func TestBacklogFieldsAreLayered(t *testing.T) {
	path := writeFile(t, validConfig+backlogSection)
	l, err := Load(path, []string{"SPANFLOW_BACKLOG_DISK=128MB", "SPANFLOW_BACKLOG_WINDOW=16"}, []string{"backlog.window=8", "backlog.tenant=0B"})
	require.NoError(t, err)
	require.Equal(t, Backlog{Folder: "stored", Disk: 128e6, Destination: 16e6, Tenant: 0, Window: 8, Behind: 500}, l.Backlog)
	sources := map[string]Source{}
	for _, v := range l.Values() {
		sources[v.Field] = v.Source
	}
	require.Equal(t, []Source{{ByFile, "", 23}, {ByVariable, "SPANFLOW_BACKLOG_DISK", 24}, {ByFlag, "--set", 27}, {ByFlag, "--set", 26}, {ByFile, "", 28}},
		[]Source{sources["backlog.folder"], sources["backlog.disk"], sources["backlog.window"], sources["backlog.tenant"], sources["backlog.behind"]})
	_, notes := l.Check()
	require.Contains(t, notes.Error(), "backlog.window: --set overrides line 27 of the file")

	again := validConfig + "[backlog]\n"
	for _, v := range l.Values() { // the shown values can be parsed again
		if name, ok := strings.CutPrefix(v.Field, "backlog."); ok {
			value := fmt.Sprint(v.Value)
			if reflect.TypeOf(v.Value).Kind() != reflect.Int {
				value = fmt.Sprintf("%q", value)
			}
			again += fmt.Sprintf("%s = %s\n", name, value)
		}
	}
	other, err := Load(writeFile(t, again), nil, nil)
	require.NoError(t, err)
	require.Equal(t, l.Backlog, other.Backlog)
}

func TestBacklogBoundsChangeOnReloadAndFolderOnRestart(t *testing.T) {
	for _, name := range keys(reflect.TypeFor[Backlog]()) {
		want := forwarder.OnReload
		if name == "folder" {
			want = forwarder.OnRestart
		}
		require.Equal(t, want, ReloadBehavior("backlog."+name), name)
		parts := 0
		for _, p := range forwarder.ConfigParts {
			for _, key := range p.Keys {
				if key == "backlog."+name {
					parts++
				}
			}
		}
		require.Equal(t, 1, parts, "%s must be a key of exactly one config part", name)
	}
}

// The commented-out [backlog] lines of the example file must show the defaults.
func TestBacklogLinesOfTheExampleFileAreTheDefaults(t *testing.T) {
	text, err := os.ReadFile("../../deploy/spanflow.toml")
	require.NoError(t, err)
	begin := strings.Index(string(text), "# [backlog]\n")
	require.Positive(t, begin)
	section, rest, found := strings.Cut(string(text[begin:]), "\n\n")
	require.True(t, found)
	section = strings.ReplaceAll("\n"+section, "\n# ", "\n")
	l, err := Load(writeFile(t, string(text[:begin])+section+"\n\n"+rest), nil, nil)
	require.NoError(t, err)
	problems, notes := l.Check()
	require.Empty(t, problems)
	require.NotContains(t, notes.Error(), "backlog")
	want := Defaults().Backlog
	want.Folder = "/var/lib/spanflow-backlog"
	require.Equal(t, want, l.Backlog)
	for _, name := range keys(reflect.TypeFor[Backlog]()) {
		require.Contains(t, section, "\n"+name+" = ", "every field is listed")
	}
}
