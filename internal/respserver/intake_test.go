package respserver

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/transport"
)

func ask(args ...string) transport.Request {
	var b [][]byte
	for _, a := range args {
		b = append(b, []byte(a))
	}
	return command(nil, b)
}

func TestAMessageIsReadFromItsCommand(t *testing.T) {
	p := ask("msg.put", "7f3a9c21e0b4d655", "9b1f", "c=notice,d=8000.5,k=5c0f,dest=7,t=x,r=1,again=1,q=1", "\x00body").Submission
	require.NotNil(t, p)
	require.Equal(t, []any{uint64(0x7f3a9c21e0b4d655), "9b1f", "notice", 8.0005, "5c0f", uint64(7), "x", "q", "\x00body"},
		[]any{p.Key, p.ID, p.Type, p.SecondsLeft, p.IdempotencyKey, p.Destination, p.Tenant, p.UnknownOption, string(p.Body)})
	require.True(t, ask("ping").Ping)
}

func TestWhatIsNoMessageIsToldSo(t *testing.T) {
	const names = "c=notice,d=8000,dest=7"
	for _, args := range [][]string{{"GET", "x"}, {"MSG.PUT", "0", "a", names}, {"MSG.PUT", "key", "a", names, ""},
		{"MSG.PUT", "0", "", names, ""}, {"MSG.PUT", "0", "a b", names, ""}, {"MSG.PUT", "0", "a\r\nX: y", names, ""},
		{"MSG.PUT", "0", "a", "c=notice,dest=7", ""}, {"MSG.PUT", "0", "a", "c=notice,d=8000", ""},
		{"MSG.PUT", "0", "a", "d=NaN,dest=7", ""}, {"MSG.PUT", "0", "a", "d=-1,dest=7", ""},
		{"MSG.PUT", "0", "a", "d=8000,dest=-7", ""}, {"MSG.PUT", "0", "a", names + ",k=x\ny", ""},
		{"MSG.PUT", "0", "a", names, strings.Repeat("x", 64<<10+1)}} {
		a := ask(args...)
		require.Nil(t, a.Submission, "%.80q", args)
		require.True(t, strings.HasPrefix(a.Malformed, "ERR "), "%.80q", args)
		require.False(t, a.Close)
	}
}

func FuzzPut(f *testing.F) {
	f.Add("0", "a", "c=notice,d=8000,dest=7,k=x", "body")
	f.Fuzz(func(t *testing.T, key, id, names, body string) {
		if p := ask("MSG.PUT", key, id, names, body).Submission; p != nil {
			require.True(t, p.SecondsLeft >= 0 && p.SecondsLeft < 1e12)
			require.NotContains(t, p.ID+p.IdempotencyKey, "\n")
		}
	})
}
