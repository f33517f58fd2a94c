package respserver

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/transport"
)

// parse parses a command without a client connection.
func parse(args ...string) transport.Request {
	var b [][]byte
	for _, a := range args {
		b = append(b, []byte(a))
	}
	return parseCommand(nil, b)
}

func TestSubmissionIsParsedFromCommand(t *testing.T) {
	const options = "c=notice,d=8000.5,k=5c0f,dest=7,t=x,r=1,again=1,q=1"
	submission := parse("msg.put", "7f3a9c21e0b4d655", "9b1f", options, "\x00body").Submission
	require.NotNil(t, submission)
	require.Equal(t, []any{uint64(0x7f3a9c21e0b4d655), "9b1f", "notice", 8.0005, "5c0f", uint64(7), "x", "q", "\x00body"},
		[]any{submission.Key, submission.ID, submission.Type, submission.SecondsLeft, submission.IdempotencyKey,
			submission.Destination, submission.Tenant, submission.UnknownOption, string(submission.Body)})
	require.True(t, parse("ping").Ping)
}

func TestMalformedCommandsAreRejected(t *testing.T) {
	const options = "c=notice,d=8000,dest=7"
	for _, args := range [][]string{{"GET", "x"}, {"MSG.PUT", "0", "a", options}, {"MSG.PUT", "key", "a", options, ""},
		{"MSG.PUT", "0", "", options, ""}, {"MSG.PUT", "0", "a b", options, ""}, {"MSG.PUT", "0", "a\r\nX: y", options, ""},
		{"MSG.PUT", "0", "a", "c=notice,dest=7", ""}, {"MSG.PUT", "0", "a", "c=notice,d=8000", ""},
		{"MSG.PUT", "0", "a", "d=NaN,dest=7", ""}, {"MSG.PUT", "0", "a", "d=-1,dest=7", ""},
		{"MSG.PUT", "0", "a", "d=8000,dest=-7", ""}, {"MSG.PUT", "0", "a", options + ",k=x\ny", ""},
		{"MSG.PUT", "0", "a", options, strings.Repeat("x", 64<<10+1)}} {
		request := parse(args...)
		require.Nil(t, request.Submission, "%.80q", args)
		require.True(t, strings.HasPrefix(request.Malformed, "ERR "), "%.80q", args)
		require.False(t, request.Close)
	}
}

func FuzzPut(f *testing.F) {
	f.Add("0", "a", "c=notice,d=8000,dest=7,k=x", "body")
	f.Fuzz(func(t *testing.T, key, id, options, body string) {
		if submission := parse("MSG.PUT", key, id, options, body).Submission; submission != nil {
			require.True(t, submission.SecondsLeft >= 0 && submission.SecondsLeft < 1e12)
			require.NotContains(t, submission.ID+submission.IdempotencyKey, "\n")
		}
	})
}
