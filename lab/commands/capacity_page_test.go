package commands

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/cli"
)

// The files of the capacity page, relative to this folder.
const (
	repositoryPage     = "../../" + capacityPage
	repositoryTarget   = "../../" + capacityTarget
	repositoryMeasured = "../../" + capacityMeasured
)

// runPage runs the page command on the repository's target and results; args may override them.
func runPage(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	all := append([]string{"capacity", "page", "--target", repositoryTarget, "--measured", repositoryMeasured}, args...)
	code = Main(context.Background(), all, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// outdatedPage writes a copy of the repository's page with a wrong figure in the table named target.
func outdatedPage(t *testing.T) (file, modified, current string) {
	t.Helper()
	text, err := os.ReadFile(repositoryPage)
	require.NoError(t, err)
	current = string(text)
	modified = strings.Replace(current, "| forwarders | 500 |", "| forwarders | 501 |", 1)
	require.NotEqual(t, current, modified)
	file = filepath.Join(t.TempDir(), "CAPACITY.md")
	require.NoError(t, os.WriteFile(file, []byte(modified), 0o640))
	return file, modified, current
}

func TestPageCheckReportsOutdatedTables(t *testing.T) {
	file, modified, _ := outdatedPage(t)
	code, _, errOut := runPage("--check", file)
	require.Equal(t, cli.ExitError, code)
	require.Contains(t, errOut, "not current: target;")
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, modified, string(text))

	code, out, errOut := runPage("--check", repositoryPage)
	require.Equal(t, cli.ExitOK, code, errOut)
	require.Contains(t, out, "tables are current")
}

func TestPageUpdatesTablesInPlace(t *testing.T) {
	file, _, current := outdatedPage(t)
	code, out, errOut := runPage(file)
	require.Equal(t, cli.ExitOK, code, errOut)
	require.Contains(t, out, "updated: target\n")
	text, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, current, string(text))
	info, err := os.Stat(file)
	require.NoError(t, err)
	require.Equal(t, os.FileMode(0o640), info.Mode().Perm())
	entries, err := os.ReadDir(filepath.Dir(file))
	require.NoError(t, err)
	require.Len(t, entries, 1, "a temporary file was left next to the page")

	code, out, _ = runPage(file)
	require.Equal(t, cli.ExitOK, code)
	require.Contains(t, out, "tables are current")
}

func TestPagePrintsJSON(t *testing.T) {
	file, _, _ := outdatedPage(t)
	code, out, _ := runPage("--check", "--json", file)
	require.Equal(t, cli.ExitError, code)
	var report pageReport
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	require.Equal(t, []string{"target"}, report.Outdated)
	require.Contains(t, report.Tables, "ranking")
}

func TestPageErrorsNameTheFile(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken")
	require.NoError(t, os.WriteFile(broken, []byte("colour = 1\n"), 0o600))
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"no-such-page.md"}, cli.ExitError, "no-such-page.md"},
		{[]string{"--target", "no-such-target.toml", repositoryPage}, cli.ExitError, "no-such-target.toml"},
		{[]string{"--measured", "no-such.json", repositoryPage}, cli.ExitError, "no-such.json"},
		{[]string{"--target", broken, repositoryPage}, cli.ExitError, "colour: unknown key"},
		{[]string{"--measured", broken, repositoryPage}, cli.ExitError, broken},
		{[]string{broken}, cli.ExitError, broken + `: table "assumptions" is not on the page`},
		{[]string{"--checks"}, cli.ExitUsage, "unknown flag"},
		{[]string{"one", "two"}, cli.ExitUsage, "accepts at most 1"},
	} {
		code, _, errOut := runPage(c.args...)
		require.Equal(t, c.code, code, "%v: %s", c.args, errOut)
		require.Contains(t, errOut, c.want)
	}
}
