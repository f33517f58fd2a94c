package commands

import (
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/wal"
)

// The former name of the command must have the same output and be offered by shell completion.
func TestLedgerIsAnAliasOfWAL(t *testing.T) {
	folder := t.TempDir()
	log, err := wal.Open(folder, 64e6)
	require.NoError(t, err)
	require.NoError(t, log.Close())
	for _, args := range [][]string{{"stat"}, {"stat", "--json"}, {"list"}, {"verify"}, {"show", "none"}} {
		out, code := run(append(append([]string{walName}, args...), "-f", folder)...)
		aliasOut, aliasCode := run(append(append([]string{walAlias}, args...), "-f", folder)...)
		require.Equal(t, out, aliasOut, args)
		require.Equal(t, code, aliasCode, args)
	}
	for _, c := range []struct {
		typed []string
		want  string
	}{
		{[]string{"wa"}, walName + "\t"},
		{[]string{"led"}, walAlias + "\t"},
		{[]string{walName, ""}, "verify\t"},
		{[]string{walAlias, ""}, "verify\t"},
	} {
		out, code := run(append([]string{"__complete"}, c.typed...)...)
		require.Equal(t, 0, code, out)
		require.Contains(t, out, c.want, c.typed)
	}
}
