package hollow

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestWorkerCountsSlowTurnsAndEndedWatches(t *testing.T) {
	w := newWorker(context.Background())
	for _, line := range []string{
		`{"message":"slow turn","events":3}`,
		`{"message":"late","news":3}`,
		`{"message":"watch ended","reason":"dial tcp 127.0.0.1:1: connection refused"}`,
		`{"message":"watch ended","why":"dial tcp 127.0.0.1:2: connection refused"}`,
		`{"message":"watch ended","reason":"silent"}`,
		`{"message":"ready"}`,
		`no JSON`,
	} {
		n, err := w.Write([]byte(line))
		require.NoError(t, err)
		require.Equal(t, len(line), n)
	}
	require.Equal(t, 2, w.slowTurns)
	require.Equal(t, map[string]int{"connection refused": 2, "silent": 1}, w.endings)
}
