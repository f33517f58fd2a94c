package config

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/forwarder"
)

const validConfig = `name = "n1"
zones = ["a", "b"]
zone = "b"
[limits]
memory = "48MB"
[[fronts]]
listen = "127.0.0.1:6379"
[[types]]
name = "ticket"
repeat = "numbered"
in_order = true
agreed = "3s"
life = "24s"
memory = "15s"
[[tenants]]
name = "x"
per_second = 2.5
[[targets]]
uid = "t1"
address = "127.0.0.1:9001"
dest = 7
`

func writeFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "c.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// problemsOf returns the problems of a configuration, as one text; the file is c.toml.
func problemsOf(t *testing.T, text string, environ, flags []string) string {
	path := writeFile(t, text)
	l, err := Load(path, environ, flags)
	if err == nil {
		if p, _ := l.Check(); len(p) > 0 {
			err = p
		}
	}
	if err == nil {
		return ""
	}
	return strings.ReplaceAll(err.Error(), path, "c.toml")
}

func TestForwarderConfigFromFile(t *testing.T) {
	path := writeFile(t, validConfig)
	cfg, err := ForwarderConfig(path, nil, nil)
	require.NoError(t, err)
	require.Equal(t, []any{"n1", 48, 1024, 1, 7, 1},
		[]any{cfg.Name, cfg.MemoryMB, cfg.Descriptors, cfg.Scheduler.Zone, int(cfg.StaticEndpoints.Endpoints[0].Destination), len(cfg.Frontends)})
	require.Equal(t, forwarder.Frontend{Name: "resp", Protocol: "resp", Listen: "127.0.0.1:6379"}, cfg.Frontends[0])
	messageType := cfg.Scheduler.Types[0]
	require.Equal(t, []any{true, 3.0, 24.0, 15.0}, []any{messageType.InOrder, messageType.LatencyObjective, messageType.TimeToLive, messageType.DeduplicationWindow})
	require.Equal(t, []float64{2.5}, cfg.Scheduler.TenantRate)
	require.Equal(t, filepath.Join(filepath.Dir(path), "state"), cfg.Folder)
	require.DirExists(t, cfg.Folder)
	next, err := cfg.Reload()
	require.NoError(t, err)
	require.Equal(t, cfg.Seed, next.Seed, "the random seed is kept on reload")
}

func TestProblemsNameFileLineAndField(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`memory = "48MB"`, `memroy = "48MB"`, "c.toml:5: limits.memroy: unknown key; memory may be meant"},
		{`[limits]`, `[limit]`, "c.toml:4: limit: unknown key; limits may be meant"},
		{`memory = "48MB"`, `memory = 48`, "c.toml:5: limits.memory"},
		{`memory = "48MB"`, `memory = "48"`, `c.toml:5: limits.memory: "48" is not a size with its unit`},
		{`memory = "48MB"`, `memory = "1MB"`, "c.toml:5: limits.memory: 1MB is below the minimum, 16MB"},
		{`agreed = "3s"`, `agreed = "3 years"`, `c.toml:12: types.agreed: "3 years" is not a time with its unit`},
		{`agreed = "3s"`, `agreed = "30s"`, "c.toml:12: types[0].agreed: 30s is longer than life, 24s"},
		{`repeat = "numbered"`, `repeat = "numberd"`, `c.toml:10: types[0].repeat: "numberd" is not one of ["replayable" "numbered" "binding"]; numbered may be meant`},
		{"memory = \"15s\"\n", "", "c.toml:8: types[0].memory: a numbered type needs the time for which targets remember a number"},
		{`zone = "b"`, `zone = "c"`, `c.toml:3: zone: "c" is not one of zones`},
		{`name = "n1"`, "name = \"n1\"\nname = \"n2\"", "c.toml:2: "},
		{`name = "n1"`, `name = "n1`, "c.toml:1: "},
		{`listen = "127.0.0.1:6379"`, `listen = "here"`, `c.toml:7: fronts[0].listen: "here" is not an address with a port`},
		{`listen = "127.0.0.1:6379"`, `protocol = "smtp"`, `fronts[0].protocol: unknown protocol "smtp"`},
		{"[[targets]]\n", "[[targets]]\nuid = \"t1\"\naddress = \":1\"\n[[targets]]\n", "targets[1].uid: targets[0] already has this uid"},
		{"[[targets]]\n", "[discovery]\naddress = \"127.0.0.1:1\"\n[[targets]]\n", "targets: discovery.address is also set, but the list can come from only one of them"},
		{"[[targets]]\n", "[dispatch]\nask_within = \"0s\"\n[[targets]]\n", "dispatch.ask_within: 0s leaves no time between two polls of the endpoint list"},
		{`dest = 7`, `dest = -7`, "c.toml:21: targets.dest"},
		{`per_second = 2.5`, `per_second = nan`, "c.toml:17: tenants[0].per_second: NaN is not a rate greater than 0"},
		{"[[tenants]]\n", "[[kinds]]\nname = \"k\"\noutlet = \"smtp\"\n[[tenants]]\n", `kinds[0].outlet: "smtp" is not the name of an outlet`},
		{"[[tenants]]\n", "[[outlets]]\nprotocol = \"smtp\"\n[[tenants]]\n", `outlets[0].protocol: unknown protocol "smtp"`},
		{`[limits]`, "[limits]\ndescriptors = 64\n[ledger]\nfolder = \"c.toml\"\n[limitz]", "limitz"}} {
		text := strings.Replace(validConfig, c.old, c.new, 1)
		require.NotEqual(t, validConfig, text)
		require.Contains(t, problemsOf(t, text, nil, nil), c.want, c.new)
	}
	require.Contains(t, problemsOf(t, validConfig+"[[fronts]]\nlisten = \"127.0.0.1:6379\"\n", nil, nil), "fronts[1].listen: fronts[0] already listens on this address")
	require.Contains(t, problemsOf(t, validConfig, nil, []string{"limits.descriptors=64", "fronts[0].connections=60"}),
		"fronts: 60 configured connections, and at least 8 for each frontend without a setting, exceed the 22")
	_, err := Load("/nowhere/c.toml", nil, nil)
	require.ErrorContains(t, err, "/nowhere/c.toml: no such file")
}

func TestFlagsOverrideVariablesAndVariablesOverrideTheFile(t *testing.T) {
	path := writeFile(t, validConfig)
	l, err := Load(path, []string{"SPANFLOW_LIMITS_MEMORY=64MB", "SPANFLOW_LIMITS_CORES=2", "PROXY_LISTEN=127.0.0.9:1", "SPANFLOW_ZONES=a, b,c",
		"SPANFLOW_CONFIG=x", "OTHER=1"}, []string{"limits.memory=96MB", "targets.t1.dest=8"})
	require.NoError(t, err)
	require.Equal(t, []any{Size(96e6), 2.0, "127.0.0.9:1", []string{"a", "b", "c"}, uint64(8)},
		[]any{l.Limits.Memory, l.Limits.Cores, l.Frontends[0].Listen, l.Zones, l.Endpoints[0].Destination})
	sources := map[string]Source{}
	for _, v := range l.Values() {
		sources[v.Field] = v.Source
	}
	require.Equal(t, []Source{{ByFlag, "--set", 5}, {ByVariable, "SPANFLOW_LIMITS_CORES", 0}, {ByFile, "", 1}, {ByDefault, "", 0}},
		[]Source{sources["limits.memory"], sources["limits.cores"], sources["name"], sources["ledger.disk"]})
	_, notes := l.Check()
	require.Contains(t, notes.Error(), "fronts[0].listen: PROXY_LISTEN overrides line 7 of the file", "the variable and the file differ")
}

func TestUnknownVariablesAndFlagsAreProblems(t *testing.T) {
	require.Contains(t, problemsOf(t, validConfig, []string{"SPANFLOW_LIMITS_MEMROY=1MB"}, nil), "SPANFLOW_LIMITS_MEMROY: unknown variable; SPANFLOW_LIMITS_MEMORY may be meant")
	require.Contains(t, problemsOf(t, validConfig, []string{"SPANFLOW_LIMITS_MEMORY=much"}, nil), `SPANFLOW_LIMITS_MEMORY: "much" is not a size`)
	for flag, want := range map[string]string{"limits": "--set limits" + "", "limits=1": "is a table; set its fields one by one", "limits.memroy=1MB": "memory may be meant",
		"targets.t9.dest=1": `there is no element named "t9"`, "targets[4].dest=1": "there is no element with the index 4", "limits.cores=many": `"many" is not a number`,
		"zones.a=b": "must be set as a whole, as in a,b,c", "fronts=x": "is a list of tables; set the fields of one of its elements", "name.x=1": "name has no fields"} {
		if flag == "limits" {
			want = "limits: is not FIELD=VALUE"
		}
		require.Contains(t, problemsOf(t, validConfig, nil, []string{flag}), want, flag)
	}
}

func TestVariableAddsAFrontend(t *testing.T) {
	text := strings.Replace(validConfig, "[[fronts]]\nlisten = \"127.0.0.1:6379\"\n", "", 1)
	require.Contains(t, problemsOf(t, text, nil, nil), "fronts: none is configured, so no message can be submitted")
	require.Empty(t, problemsOf(t, text, []string{"PROXY_LISTEN=127.0.0.1:1"}, nil))
}

// A file that is written to or replaced during a read is read again.
func TestFileThatChangesWhileReadIsReadAgain(t *testing.T) {
	path := writeFile(t, "one")
	touched := false
	text, stable, err := readOnce(path, func(string) (os.FileInfo, error) {
		if !touched {
			touched = true
			require.NoError(t, os.WriteFile(path, []byte("two"), 0o600))
			later := time.Now().Add(time.Minute)
			require.NoError(t, os.Chtimes(path, later, later))
		}
		return os.Stat(path)
	})
	require.NoError(t, err)
	require.Equal(t, []any{"one", false}, []any{string(text), stable})
	_, stable, err = readOnce(path, func(string) (os.FileInfo, error) {
		other := writeFile(t, "two")
		info, err := os.Stat(path)
		require.NoError(t, err)
		require.NoError(t, os.Chtimes(other, info.ModTime(), info.ModTime()))
		require.NoError(t, os.Rename(other, path))
		return os.Stat(path)
	})
	require.NoError(t, err)
	require.False(t, stable, "the path names another file of the same length and time")
	_, stable, err = readOnce(path, func(string) (os.FileInfo, error) { return nil, os.ErrNotExist })
	require.True(t, err == nil && !stable)
	text, err = readFile(path)
	require.Equal(t, []any{"two", nil}, []any{string(text), err})
}

func TestTokenIsInAPrivateFileAndNotShown(t *testing.T) {
	path := writeFile(t, "[metrics]\nlisten = \"127.0.0.1:9100\"\ntoken_file = \"token\"\n"+strings.Replace(validConfig, `name = "n1"`+"\nzones = [\"a\", \"b\"]\nzone = \"b\"\n", "", 1))
	token := filepath.Join(filepath.Dir(path), "token")
	l, err := Load(path, nil, nil)
	require.NoError(t, err)
	problems, _ := l.Check()
	require.ErrorContains(t, problems, "metrics.token_file: no such file")
	require.NoError(t, os.WriteFile(token, []byte("hush\n"), 0o644))
	problems, _ = l.Check()
	require.ErrorContains(t, problems, "is accessible to other users (mode 644); remove their permissions with chmod o-rwx")
	require.NoError(t, os.Chmod(token, 0o600))
	problems, _ = l.Check()
	require.Empty(t, problems)
	shown, err := json.Marshal(l.Values())
	require.NoError(t, err)
	require.False(t, bytes.Contains(shown, []byte("hush")))
}

func TestSchemaAndConfigPartsContainEveryField(t *testing.T) {
	b, err := Schema()
	require.NoError(t, err)
	var s struct {
		Properties map[string]any
		Additional any `json:"additionalProperties"`
	}
	require.NoError(t, json.Unmarshal(b, &s))
	for _, name := range keys(reflect.TypeFor[File]()) {
		require.Contains(t, s.Properties, name)
		found := false
		for _, p := range forwarder.ConfigParts {
			for _, k := range p.Keys {
				found = found || k == name || strings.HasPrefix(k, name+".")
			}
		}
		require.True(t, found || name == "seed", "%s is a key of no config part", name)
	}
	require.Equal(t, false, s.Additional)
	require.Equal(t, forwarder.OnReload, ReloadBehavior("fronts[0].listen"))
	require.Equal(t, forwarder.OnRestart, ReloadBehavior("limits.memory"))
}

func TestUnitsSurviveParsingAndFormatting(t *testing.T) {
	for text, want := range map[string]Size{"48MB": 48e6, "4MiB": 4 << 20, "1.5kB": 1500, "0B": 0} {
		var s Size
		require.NoError(t, s.UnmarshalText([]byte(text)))
		require.Equal(t, want, s)
		var again Size
		require.NoError(t, again.UnmarshalText([]byte(s.String())))
		require.Equal(t, want, again)
	}
	for text, want := range map[string]Duration{"3s": 3, "100ms": 0.1, "1m30s": 90} {
		var s Duration
		require.NoError(t, s.UnmarshalText([]byte(text)))
		require.InDelta(t, float64(want), float64(s), 1e-9)
		require.Equal(t, text, s.String())
	}
	for _, text := range []string{"", "3", "-3s", "s"} {
		require.Error(t, new(Duration).UnmarshalText([]byte(text)), text)
		require.Error(t, new(Size).UnmarshalText([]byte(text)), text)
	}
}

func FuzzLoad(f *testing.F) {
	f.Add(validConfig)
	f.Add(validConfig + backlogSection)
	f.Fuzz(func(t *testing.T, text string) {
		l := &Loaded{File: Defaults(), Path: "c.toml", Sources: map[string]Source{}, lines: map[string]int{}}
		if l.parse([]byte(text)) == nil {
			l.applyElementDefaults()
			if problems, _ := l.Check(); len(problems) == 0 {
				_, err := l.ForwarderConfig()
				require.NoError(t, err)
			}
		}
	})
}

func TestAdminAddressComesFromFileOrVariable(t *testing.T) {
	path := writeFile(t, "admin = \"127.0.0.1:9800\"\n"+validConfig)
	l, err := Load(path, nil, nil)
	require.NoError(t, err)
	cfg, err := l.ForwarderConfig()
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:9800", cfg.Admin)
	l, err = Load(path, []string{"PROXY_ADMIN=127.0.0.1:9801"}, nil)
	require.NoError(t, err)
	cfg, err = l.ForwarderConfig()
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:9801", cfg.Admin)
	require.Contains(t, problemsOf(t, "admin = \"nowhere\"\n"+validConfig, nil, nil), "admin")
}
