package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

func TestCommandsReportErrorsAndExitCodes(t *testing.T) {
	h := newSingleHarness(t)
	bad := filepath.Join(t.TempDir(), "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("[limits]\nmemroy = \"1MB\"\n"), 0o600))
	for _, c := range []struct {
		args    []string
		code    int
		message string
	}{
		{[]string{"frob"}, 2, `unknown command "frob"`},
		{[]string{"run", "--frob"}, 2, "unknown flag"},
		{[]string{"ledger", "show"}, 2, "accepts 1 arg"},
		{[]string{"check"}, 1, "no configuration"},
		{[]string{"check", "-c", bad}, 1, bad + ":2: limits.memroy: unknown key; memory may be meant"},
		{[]string{"run", "-c", bad}, 1, bad + ":2: limits.memroy"},
		{[]string{"config", "show", "-c", bad}, 1, "limits.memroy"},
		{[]string{"check", "-c", h.configFile}, 0, "fine"},
		{[]string{"check", "-c", h.configFile, "--json"}, 0, `"fine": true`},
		{[]string{"config", "show", "-c", h.configFile, "--set", "limits.cores=2"}, 0, "flag --set"},
		{[]string{"config", "show", "-c", h.configFile, "--json"}, 0, `"change": "reload"`},
		{[]string{"config", "schema"}, 0, `"memory"`},
		{[]string{"ledger", "list", "-f", "/nowhere"}, 1, "no such file"},
		{[]string{"ledger", "list"}, 1, "no folder"},
		{[]string{"ledger", "list", "-f", ".", "--dest", "x"}, 1, `--dest: "x" is not a number`},
		{[]string{"ledger", "list", "-f", ".", "--state", "x"}, 1, `--state: "x" is none of`},
		{[]string{"ledger", "show", "x", "-f", "."}, 1, "has no pending message with the id"},
		{[]string{"version", "--json"}, 0, `"go"`},
		{[]string{"completion", "bash"}, 0, "spanflow"},
		{[]string{"completion", "zsh"}, 0, "compdef"},
		{[]string{"completion", "fish"}, 0, "complete"},
		{[]string{"--help"}, 0, "Exit codes"},
		{[]string{"help", "ledger", "list"}, 0, "may-have-run"},
	} {
		out, code := spanflow(c.args...)
		require.Equal(t, c.code, code, "%v: %s", c.args, out)
		require.Contains(t, out, c.message, c.args)
	}
}

func TestWALVerifyDistinguishesCorruptionFromTornEnd(t *testing.T) {
	h := startSingle(t)
	hold := make(chan struct{})
	defer close(hold)
	h.endpoint.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	h.put("a", "c=status,d=20000,dest=7")
	h.put("b", "c=status,d=20000,dest=7")
	out, code := spanflow("ledger", "verify", "-c", h.configFile)
	require.True(t, code == 0 && strings.Contains(out, "sound; 2 documents owed"), out)
	h.kill()
	files, _ := filepath.Glob(filepath.Join(h.folder, "state", "*.ledger"))
	file := files[len(files)-1]
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(file, text[:len(text)-3], 0o600))
	out, code = spanflow("ledger", "verify", "-c", h.configFile)
	require.True(t, code == 0 && strings.Contains(out, "a torn end"), out)
	text[40] ^= 1
	require.NoError(t, os.WriteFile(file, text, 0o600))
	out, code = spanflow("ledger", "verify", "-c", h.configFile)
	require.True(t, code == 1 && strings.Contains(out, "a record fails its checksum"), out)
}
