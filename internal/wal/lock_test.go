package wal

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFolderOfARunningProcessIsRefusedWithItsPID(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir)
	require.Equal(t, os.Getpid(), LockHolder(dir))
	_, err := Open(dir, testLimit)
	var owned *LockedError
	require.ErrorAs(t, err, &owned)
	require.Equal(t, LockedError{dir, os.Getpid()}, *owned)
	l.Close()
	require.Zero(t, LockHolder(dir))
	openLog(t, dir).Close()
}
