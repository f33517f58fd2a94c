package backlog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSizeIsWhatTheStoreCounts(t *testing.T) {
	s, err := Open(OS{}, t.TempDir(), Bounds{Bytes: 64 << 20})
	require.NoError(t, err)
	defer s.Close()
	m := &Message{Seq: 1, Lane: Lane{Destination: 7, Tenant: 2}, ID: "id", Type: "ticket", DeduplicationKey: "d", Frontend: "front", Body: []byte("body")}
	require.NoError(t, s.Append(m))
	require.Equal(t, int64(m.Size()), s.Bytes())
}
