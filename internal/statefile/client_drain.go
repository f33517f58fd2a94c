package statefile

import (
	"errors"
	"os"
	"path/filepath"
)

// ClientDrainFile is the name of the file in a forwarder's folder that exists while operators send its clients elsewhere.
const ClientDrainFile = "lame-duck"

// WriteClientDrain records whether lame duck mode is on. The record keeps the mode in force across restarts and upgrades.
func WriteClientDrain(dir string, on bool) error {
	if on {
		return Write(dir, ClientDrainFile, "on\n")
	}
	err := os.Remove(filepath.Join(dir, ClientDrainFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	return err
}

// ReadClientDrain reports whether lame duck mode is recorded as on. A record that cannot be examined counts as on: clients
// that go elsewhere lose nothing.
func ReadClientDrain(dir string) bool {
	_, err := os.Lstat(filepath.Join(dir, ClientDrainFile))
	return !errors.Is(err, os.ErrNotExist)
}
