package forwarder

import (
	"os"
	"path/filepath"
	"strings"
)

// outFile keeps the ids of endpoints out by hand in the folder, one a line, so that a ban lasts over a restart and is
// taken up by the process that replaces this one.
const outFile = "out-by-hand"

// keepOut keeps the set of endpoints out by hand.
func keepOut(dir string, ids []string) error {
	text := strings.Join(ids, "\n")
	if len(ids) > 0 {
		text += "\n"
	}
	return writeWhole(dir, outFile, text)
}

// readOut reads the set as it was kept; none if there is no file.
func readOut(dir string) []string {
	text, err := os.ReadFile(filepath.Join(dir, outFile))
	if err != nil {
		return nil
	}
	var ids []string
	for _, id := range strings.Split(string(text), "\n") {
		if id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}

// writeWhole writes a file of the folder whole and puts it in place of the old one, so that a process killed meanwhile
// leaves one or the other, never a part.
func writeWhole(dir, name, text string) error {
	fresh := filepath.Join(dir, name+".new")
	if err := os.WriteFile(fresh, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(fresh, filepath.Join(dir, name))
}
