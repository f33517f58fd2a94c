package statefile

import (
	"errors"
	"os"
	"path/filepath"
)

// LameDuckFile is the name of the file in a forwarder's folder that exists while operators send its clients elsewhere.
const LameDuckFile = "lame-duck"

// WriteLameDuck records whether lame duck mode is on. The record keeps the mode in force across restarts and upgrades.
func WriteLameDuck(dir string, on bool) error {
	if on {
		return Write(dir, LameDuckFile, "on\n")
	}
	err := os.Remove(filepath.Join(dir, LameDuckFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// ReadLameDuck reports whether lame duck mode is recorded as on. A record that cannot be examined counts as on: clients
// that go elsewhere lose nothing.
func ReadLameDuck(dir string) bool {
	_, err := os.Lstat(filepath.Join(dir, LameDuckFile))
	return !errors.Is(err, os.ErrNotExist)
}
