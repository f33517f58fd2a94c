// Package statefile reads and writes the small state files in a forwarder's folder: learned latencies, Retry-After
// state, endpoint states, drained endpoints and the spool of operators' commands. The package itself keeps no state.
package statefile

import (
	"os"
	"path/filepath"
)

const (
	filePerm = 0o600
	dirPerm  = 0o700

	temporarySuffix = ".new" // suffix of a file being written
)

// Write replaces the content of the file name in dir. It writes a temporary file in the same folder and renames it, so
// that a kill in between leaves either the old or the new content. Nothing is synced to disk.
func Write(dir, name, content string) error {
	temporary := filepath.Join(dir, name+temporarySuffix)
	if err := os.WriteFile(temporary, []byte(content), filePerm); err != nil {
		return err
	}
	return os.Rename(temporary, filepath.Join(dir, name))
}
