package wal

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const testLimit = 1_000_000

func openLog(t *testing.T, dir string) *Log {
	l, err := Open(dir, testLimit)
	require.NoError(t, err)
	return l
}

func appendMessage(t *testing.T, l *Log, id string, body int) *Entry {
	e := &Entry{Key: 5, Destination: 7, Type: "ticket", ID: id, IdempotencyKey: "m", Expiry: 99, Body: make([]byte, body)}
	require.NoError(t, l.Append(e))
	return e
}

// pendingIDs opens the folder and returns the ids of the pending entries.
func pendingIDs(t *testing.T, dir string) []string {
	l := openLog(t, dir)
	defer l.Close()
	ids := []string{}
	for _, e := range l.Pending() {
		ids = append(ids, e.ID)
	}
	return ids
}

// lastFile returns the path of the last segment.
func lastFile(t *testing.T, dir string) string {
	names, err := filepath.Glob(filepath.Join(dir, "*"+segmentSuffix))
	require.NoError(t, err)
	return names[len(names)-1]
}
