package statefile

import (
	"os"
	"path/filepath"
	"strings"
)

// DrainsFile is the name of the file with the drained endpoints in a forwarder's folder.
const DrainsFile = "out-by-hand"

// WriteDrains replaces the file of the endpoints that operators drained, one id a line, so that a drain outlasts a
// restart and the process that replaces this one takes it over.
func WriteDrains(dir string, ids []string) error {
	content := strings.Join(ids, "\n")
	if len(ids) > 0 {
		content += "\n"
	}
	return Write(dir, DrainsFile, content)
}

// ReadDrains reads the ids of drained endpoints. It returns none if the file cannot be read.
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
