package forwarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTracesSampleKeysAndIDs(t *testing.T) {
	traced := func(l Log) (n int) {
		tr := newTrace(l)
		for i := range 10_000 {
			if tr.matches(time.Duration(i).String(), uint64(i)) {
				n++
			}
		}
		return n
	}
	require.Zero(t, traced(Log{}))
	require.Equal(t, 10_000, traced(Log{Sample: 1}))
	require.InDelta(t, 1000, traced(Log{Sample: 0.1}), 200)
	require.Equal(t, 2, traced(Log{Keys: []uint64{7}, IDs: []string{"9ns"}}))
}
