package scenario

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBuiltinScenariosAreValidAndDescribed(t *testing.T) {
	require.GreaterOrEqual(t, len(Builtin()), 10)
	for _, name := range Builtin() {
		s, err := Read(name)
		require.NoError(t, err, name)
		require.NotEmpty(t, s.About, name)
		require.Equal(t, name, strings.ReplaceAll(s.Name, " ", "-"))
	}
}

func TestErrorsNameTheInvalidField(t *testing.T) {
	text, err := os.ReadFile("scenes/one-partner-hangs.toml")
	require.NoError(t, err)
	for _, c := range []struct{ old, new, wantError string }{
		{`kind = "hang"`, `kind = "hangs"`, `x.toml: troubles[0].kind: unknown fault "hangs"`},
		{`kind = "hang"`, `kind = "lose"`, "troubles[0].share: is missing"},
		{`dest = [0]`, `dest = [99]`, "there is no destination 99"},
		{`mean = "60ms"`, `maen = "60ms"`, "unknown key; mean may be meant"},
		{`per_second = 40`, `per_second = 0`, "load.per_second: 0 is not a valid rate"},
		{`repeat = "binding"`, `repeat = "once"`, "types[1].repeat"},
		{`slots = 16`, `slots = 0`, "dispatch: forwarders, slots"},
		{`length = "60s"`, `length = "60"`, "is not a time with its unit"}} {
		changed := strings.Replace(string(text), c.old, c.new, 1)
		require.NotEqual(t, string(text), changed)
		_, err := Parse("x.toml", []byte(changed))
		require.ErrorContains(t, err, c.wantError)
	}
	_, err = Read("nowhere")
	require.ErrorContains(t, err, "nowhere is neither a file nor a built-in scenario (calm")
}
