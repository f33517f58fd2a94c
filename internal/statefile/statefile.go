// Package statefile reads and writes the small state files of a forwarder's folder: learned latencies, retry-after
// state, states of endpoints, drained endpoints and the spool of operators' commands. It holds no state of its own and
// decides nothing.
package statefile

import (
	"os"
	"path/filepath"
)

const (
	filePerm = 0o600
	dirPerm  = 0o700

	temporarySuffix = ".new" // of a file that is being written
)

// Write replaces the file name in dir by one with the given content. It writes a temporary file beside it and renames
// that, so that a process killed meanwhile leaves the old or the new content, never a part. Nothing is synced to disk.
func Write(dir, name, content string) error {
	temporary := filepath.Join(dir, name+temporarySuffix)
	if err := os.WriteFile(temporary, []byte(content), filePerm); err != nil {
		return err
	}
	return os.Rename(temporary, filepath.Join(dir, name))
}
