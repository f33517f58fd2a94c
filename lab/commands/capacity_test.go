package commands

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/cli"
	"spanflow/lab/capacity"
)

func runLab(t *testing.T, args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Main(t.Context(), args, &o, &e)
	return code, o.String(), e.String()
}

func TestUnknownRoleIsAUsageError(t *testing.T) {
	code, _, errOut := runLab(t, "capacity", "measure", "restrat")
	require.Equal(t, cli.ExitUsage, code)
	require.Contains(t, errOut, `unknown role "restrat"; the nearest is "restart"`)
}

func TestMeasureChecksItsFlags(t *testing.T) {
	for _, c := range []struct{ flag, value, want string }{
		{"--memory", "much", "--memory"}, {"--memory", "900TB", "--memory"}, {"--lasts", "0s", "--lasts"}, {"--largest", "-1", "--largest"}} {
		code, _, errOut := runLab(t, "capacity", "measure", "down-destination", c.flag, c.value)
		require.Equal(t, cli.ExitError, code)
		require.Contains(t, errOut, c.want)
	}
}

func TestMeasuredCurvesArePrintedAndMerged(t *testing.T) {
	path := filepath.Join(t.TempDir(), "measured.json")
	code, out, errOut := runLab(t, "capacity", "measure", "down-destination", "--largest", "10", "--json", "--into", path)
	require.Equal(t, cli.ExitOK, code, errOut)
	require.Contains(t, errOut, "forwarders")
	var printed []capacity.Curve
	require.NoError(t, json.Unmarshal([]byte(out), &printed))
	kept, err := capacity.ReadResults(path)
	require.NoError(t, err)
	require.Equal(t, printed, kept.Curves)
	require.NotEmpty(t, kept.Machine)
	code, out, errOut = runLab(t, "capacity", "measure", "down-destination", "--largest", "10", "-q", "--into", path)
	require.Equal(t, cli.ExitOK, code, errOut)
	require.Empty(t, errOut)
	require.Contains(t, out, "RESIDUAL")
	again, err := capacity.ReadResults(path)
	require.NoError(t, err)
	require.Equal(t, kept.Curves, again.Curves, "the same seed gives the same counts, and the merge keeps the order")
}
