package wal

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOpenLockedFolderReportsHolder(t *testing.T) {
	dir := t.TempDir()
	l := openLog(t, dir)
	require.Equal(t, os.Getpid(), LockHolder(dir))
	_, err := Open(dir, testLimit)
	var locked *LockedError
	require.ErrorAs(t, err, &locked)
	require.Equal(t, LockedError{dir, os.Getpid()}, *locked)
	l.Close()
	require.Zero(t, LockHolder(dir))
	openLog(t, dir).Close()
}

// Any error of flock used to be taken for a held lock. On a file system without locks, or when a signal interrupted the
// call, "spanflow check" reported as the owner a process that might have ended long before.
func TestLockHolderNeedsAHeldLock(t *testing.T) {
	file := filepath.Join(t.TempDir(), lockFile)
	require.NoError(t, os.WriteFile(file, []byte("4711\n"), filePerm))
	for err, want := range map[error]int{syscall.EWOULDBLOCK: 4711, syscall.ENOLCK: 0, syscall.ENOSYS: 0, nil: 0} {
		require.Equal(t, want, lockHolder(file, func(int, int) error { return err }), "%v", err)
	}
	interruptions := 3
	interrupted := func(int, int) error {
		if interruptions--; interruptions >= 0 {
			return syscall.EINTR
		}
		return nil
	}
	require.Zero(t, lockHolder(file, interrupted))
}
