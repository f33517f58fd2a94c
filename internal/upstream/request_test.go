package upstream

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/transport"
)

// FuzzBatchBody holds the sizes by which messages are joined against the encoded body.
func FuzzBatchBody(f *testing.F) {
	f.Add("9b1f03aa5c7e2d41", "5c0f6e1a", 8192, 7)
	f.Add("<&\"\\>", "", 1, 1)
	f.Add("\x00\xff\u2028é", "\x7f", 0, 3)
	f.Fuzz(func(t *testing.T, id, key string, bodyBytes, count int) {
		if bodyBytes < 0 || bodyBytes > transport.MaxBodyBytes || count < 1 || count > 100 {
			return
		}
		var messages []transport.Message
		size := BatchFramingBytes
		for n := range count {
			m := transport.Message{ID: fmt.Sprint(id, n), IdempotencyKey: key, Body: []byte(strings.Repeat("x", max(0, bodyBytes-n)))}
			m.BatchBytes = BatchBytes(&m)
			size += m.BatchBytes
			messages = append(messages, m)
		}
		body := encodeBatchBody(messages)
		require.LessOrEqual(t, len(body), size)
		if strings.Trim(id+key, "0123456789abcdef") == "" {
			require.Equal(t, size-1, len(body), "the bound is exact but for the first comma")
		}
	})
}
