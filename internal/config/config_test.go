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

func TestForwarderConfigOfAFile(t *testing.T) {
	path := writeFile(t, validConfig)
	o, err := ForwarderConfig(path, nil, nil)
	require.NoError(t, err)
	require.Equal(t, []any{"n1", 48, 1024, 1, 7, 1},
		[]any{o.Name, o.MemoryMB, o.Descriptors, o.Scheduler.Zone, int(o.StaticEndpoints.Endpoints[0].Destination), len(o.Frontends)})
	require.Equal(t, forwarder.Frontend{Name: "resp", Protocol: "resp", Listen: "127.0.0.1:6379"}, o.Frontends[0])
	y := o.Scheduler.Types[0]
	require.Equal(t, []any{true, 3.0, 24.0, 15.0}, []any{y.InOrder, y.LatencyObjective, y.TimeToLive, y.DeduplicationWindow})
	require.Equal(t, []float64{2.5}, o.Scheduler.TenantRate)
	require.Equal(t, filepath.Join(filepath.Dir(path), "state"), o.Folder)
	require.DirExists(t, o.Folder)
	next, err := o.Reload()
	require.NoError(t, err)
	require.Equal(t, o.Seed, next.Seed, "drawn once")
}

func TestProblemsNameFileLineAndField(t *testing.T) {
	for _, c := range []struct{ old, new, says string }{
		{`memory = "48MB"`, `memroy = "48MB"`, "c.toml:5: limits.memroy: unknown key; memory may be meant"},
		{`[limits]`, `[limit]`, "c.toml:4: limit: unknown key; limits may be meant"},
		{`memory = "48MB"`, `memory = 48`, "c.toml:5: limits.memory"},
		{`memory = "48MB"`, `memory = "48"`, `c.toml:5: limits.memory: "48" is not a size with its unit`},
		{`memory = "48MB"`, `memory = "1MB"`, "c.toml:5: limits.memory: 1MB is under the least, 16MB"},
		{`agreed = "3s"`, `agreed = "3 years"`, `c.toml:12: types.agreed: "3 years" is not a time with its unit`},
		{`agreed = "3s"`, `agreed = "30s"`, "c.toml:12: types[0].agreed: 30s is over life, 24s"},
		{`repeat = "numbered"`, `repeat = "numberd"`, `c.toml:10: types[0].repeat: "numberd" is none of ["replayable" "numbered" "binding"]; numbered may be meant`},
		{"memory = \"15s\"\n", "", "c.toml:8: types[0].memory: a numbered type needs"},
		{`zone = "b"`, `zone = "c"`, `c.toml:3: zone: "c" is none of zones`},
		{`name = "n1"`, "name = \"n1\"\nname = \"n2\"", "c.toml:2: "},
		{`name = "n1"`, `name = "n1`, "c.toml:1: "},
		{`listen = "127.0.0.1:6379"`, `listen = "here"`, `c.toml:7: fronts[0].listen: "here" is not an address with a port`},
		{`listen = "127.0.0.1:6379"`, `protocol = "smtp"`, `fronts[0].protocol: unknown protocol "smtp"`},
		{"[[targets]]\n", "[[targets]]\nuid = \"t1\"\naddress = \":1\"\n[[targets]]\n", "targets[1].uid: targets[0] has it too"},
		{"[[targets]]\n", "[discovery]\naddress = \"127.0.0.1:1\"\n[[targets]]\n", "targets: discovery.address is set as well"},
		{"[[targets]]\n", "[dispatch]\nask_within = \"0s\"\n[[targets]]\n", "dispatch.ask_within: 0s leaves no time"},
		{`dest = 7`, `dest = -7`, "c.toml:21: targets.dest"},
		{`per_second = 2.5`, `per_second = nan`, "c.toml:17: tenants[0].per_second: NaN is not a rate"},
		{"[[tenants]]\n", "[[kinds]]\nname = \"k\"\noutlet = \"smtp\"\n[[tenants]]\n", `kinds[0].outlet: "smtp" is the name of none of outlets`},
		{"[[tenants]]\n", "[[outlets]]\nprotocol = \"smtp\"\n[[tenants]]\n", `outlets[0].protocol: unknown protocol "smtp"`},
		{`[limits]`, "[limits]\ndescriptors = 64\n[ledger]\nfolder = \"c.toml\"\n[limitz]", "limitz"}} {
		text := strings.Replace(validConfig, c.old, c.new, 1)
		require.NotEqual(t, validConfig, text)
		require.Contains(t, problemsOf(t, text, nil, nil), c.says, c.new)
	}
	require.Contains(t, problemsOf(t, validConfig+"[[fronts]]\nlisten = \"127.0.0.1:6379\"\n", nil, nil), "fronts[1].listen: fronts[0] listens there too")
	require.Contains(t, problemsOf(t, validConfig, nil, []string{"limits.descriptors=64", "fronts[0].connections=60"}),
		"fronts: their connections, 60 and at least 8 for each other one, are more than the 22")
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
	from := map[string]Source{}
	for _, v := range l.Values() {
		from[v.Field] = v.Source
	}
	require.Equal(t, []Source{{ByFlag, "--set", 5}, {ByVariable, "SPANFLOW_LIMITS_CORES", 0}, {ByFile, "", 1}, {ByDefault, "", 0}},
		[]Source{from["limits.memory"], from["limits.cores"], from["name"], from["ledger.disk"]})
	_, notes := l.Check()
	require.Contains(t, notes.Error(), "fronts[0].listen: PROXY_LISTEN goes before line 7 of the file", "they contradict")
}

func TestUnknownVariablesAndFlagsAreProblems(t *testing.T) {
	require.Contains(t, problemsOf(t, validConfig, []string{"SPANFLOW_LIMITS_MEMROY=1MB"}, nil), "SPANFLOW_LIMITS_MEMROY: unknown variable; SPANFLOW_LIMITS_MEMORY may be meant")
	require.Contains(t, problemsOf(t, validConfig, []string{"SPANFLOW_LIMITS_MEMORY=much"}, nil), `SPANFLOW_LIMITS_MEMORY: "much" is not a size`)
	for flag, says := range map[string]string{"limits": "--set limits" + "", "limits=1": "is a table", "limits.memroy=1MB": "memory may be meant",
		"targets.t9.dest=1": `there is none named "t9"`, "targets[4].dest=1": "there is no number 4", "limits.cores=many": `"many" is not a number`,
		"zones.a=b": "is set as a whole", "fronts=x": "is a list of tables", "name.x=1": "name has no parts"} {
		if flag == "limits" {
			says = "limits: is not FIELD=VALUE"
		}
		require.Contains(t, problemsOf(t, validConfig, nil, []string{flag}), says, flag)
	}
}

func TestVariableAddsAFrontend(t *testing.T) {
	text := strings.Replace(validConfig, "[[fronts]]\nlisten = \"127.0.0.1:6379\"\n", "", 1)
	require.Contains(t, problemsOf(t, text, nil, nil), "fronts: there is none")
	require.Empty(t, problemsOf(t, text, []string{"PROXY_LISTEN=127.0.0.1:1"}, nil))
}

// A file that is written to or replaced while it is read is read again.
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
		was, err := os.Stat(path)
		require.NoError(t, err)
		require.NoError(t, os.Chtimes(other, was.ModTime(), was.ModTime()))
		require.NoError(t, os.Rename(other, path))
		return os.Stat(path)
	})
	require.NoError(t, err)
	require.False(t, stable, "another file of the same length and time")
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
	p, _ := l.Check()
	require.ErrorContains(t, p, "metrics.token_file: no such file")
	require.NoError(t, os.WriteFile(token, []byte("hush\n"), 0o644))
	p, _ = l.Check()
	require.ErrorContains(t, p, "is open to everybody (mode 644)")
	require.NoError(t, os.Chmod(token, 0o600))
	p, _ = l.Check()
	require.Empty(t, p)
	shown, err := json.Marshal(l.Values())
	require.NoError(t, err)
	require.False(t, bytes.Contains(shown, []byte("hush")))
}

func TestSchemaAndConfigPartsKnowEachField(t *testing.T) {
	b, err := Schema()
	require.NoError(t, err)
	var s struct {
		Properties map[string]any
		Additional any `json:"additionalProperties"`
	}
	require.NoError(t, json.Unmarshal(b, &s))
	for _, name := range keys(reflect.TypeFor[File]()) {
		require.Contains(t, s.Properties, name)
		known := false
		for _, p := range forwarder.ConfigParts {
			for _, k := range p.Keys {
				known = known || k == name || strings.HasPrefix(k, name+".")
			}
		}
		require.True(t, known || name == "seed", "%s stands in no part of an order", name)
	}
	require.Equal(t, false, s.Additional)
	require.Equal(t, forwarder.OnReload, ReloadBehavior("fronts[0].listen"))
	require.Equal(t, forwarder.OnRestart, ReloadBehavior("limits.memory"))
}

func TestUnitsSurviveReadingAndWriting(t *testing.T) {
	for text, want := range map[string]Size{"48MB": 48e6, "4MiB": 4 << 20, "1.5kB": 1500, "0B": 0} {
		var s Size
		require.NoError(t, s.UnmarshalText([]byte(text)))
		require.Equal(t, want, s)
		var back Size
		require.NoError(t, back.UnmarshalText([]byte(s.String())))
		require.Equal(t, want, back)
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
	o, err := l.ForwarderConfig()
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:9800", o.Admin)
	l, err = Load(path, []string{"PROXY_ADMIN=127.0.0.1:9801"}, nil)
	require.NoError(t, err)
	o, err = l.ForwarderConfig()
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:9801", o.Admin)
	require.Contains(t, problemsOf(t, "admin = \"nowhere\"\n"+validConfig, nil, nil), "admin")
}
