package statefile

import (
	"os"
	"path/filepath"
	"strings"
)

// DrainsFile is the name of the file in a forwarder's folder that lists the drained endpoints.
const DrainsFile = "out-by-hand"

// WriteDrains replaces the file of drained endpoints, one id per line. The file keeps drains in force across restarts
// and upgrades.
func WriteDrains(dir string, ids []string) error {
	content := strings.Join(ids, "\n")
	if len(ids) > 0 {
		content += "\n"
	}
	return Write(dir, DrainsFile, content)
}

// ReadDrains reads the ids of drained endpoints. It returns nil if the file cannot be read.
func ReadDrains(dir string) []string {
	text, err := os.ReadFile(filepath.Join(dir, DrainsFile))
	if err != nil {
		return nil
	}
	var ids []string
	for id := range strings.SplitSeq(string(text), "\n") {
		if id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}
