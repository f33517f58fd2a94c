package statefile

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

const (
	spoolDir    = "by-hand"
	drainWord   = "out"
	undrainWord = "back"

	// maxSpooledCommands bounds the spool. It guards against a caller that fills the folder while the process that holds
	// it hangs. More commands than this between two looks of that process are refused.
	maxSpooledCommands  = 64
	maxSpooledBytes     = 512 // of a command
	spooledNameTemplate = "%08d"
)

// Command is an operator's command on an endpoint.
type Command struct {
	Endpoint string // id
	Undrain  bool   // ends the drain; else the endpoint is drained
}

// Spool is the queue of operators' commands in a forwarder's folder, one file each: a process that waits for the folder
// puts them there, and the process that holds the folder carries them out.
type Spool struct{ dir string }

// NewSpool is the spool of a forwarder's folder. Its own folder is made with the first command.
func NewSpool(folder string) Spool { return Spool{dir: filepath.Join(folder, spoolDir)} }

// Names are the names of the commands in the spool, the oldest first.
func (s Spool) Names() []string {
	entries, _ := os.ReadDir(s.dir) // a folder that cannot be read holds none
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() && !strings.HasSuffix(entry.Name(), temporarySuffix) {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names
}

// Put adds a command at the end. It fails if the spool is full or cannot be written to.
func (s Spool) Put(command Command) error {
	names := s.Names()
	if len(names) >= maxSpooledCommands {
		return &SpoolFullError{Commands: len(names)}
	}
	number := 1
	if len(names) > 0 {
		if _, err := fmt.Sscanf(names[len(names)-1], "%d", &number); err != nil {
			return err
		}
		number++
	}
	if err := os.MkdirAll(s.dir, dirPerm); err != nil {
		return err
	}
	word := drainWord
	if command.Undrain {
		word = undrainWord
	}
	return Write(s.dir, fmt.Sprintf(spooledNameTemplate, number), word+" "+command.Endpoint+"\n")
}

// Read reads the command of a name. It fails with a MalformedCommandError if the file is none.
func (s Spool) Read(name string) (Command, error) {
	f, err := os.Open(filepath.Join(s.dir, name))
	if err != nil {
		return Command{}, err
	}
	text := make([]byte, maxSpooledBytes)
	n, _ := f.Read(text) // what cannot be read is malformed
	if err := f.Close(); err != nil {
		return Command{}, err
	}
	word, endpoint, _ := strings.Cut(strings.TrimSuffix(string(text[:n]), "\n"), " ")
	if endpoint == "" || (word != drainWord && word != undrainWord) {
		return Command{}, &MalformedCommandError{Name: name}
	}
	return Command{Endpoint: endpoint, Undrain: word == undrainWord}, nil
}

// Remove removes the command of a name.
func (s Spool) Remove(name string) error { return os.Remove(filepath.Join(s.dir, name)) }

// SpoolFullError is the error for a command that the spool has no room for.
type SpoolFullError struct{ Commands int }

// Error says how many commands wait.
func (e *SpoolFullError) Error() string {
	return fmt.Sprintf("%d calls wait to be taken up", e.Commands)
}

// MalformedCommandError is the error for a file of the spool that holds no command.
type MalformedCommandError struct{ Name string }

// Error names the file.
func (e *MalformedCommandError) Error() string {
	return fmt.Sprintf("%s/%s is not a command", spoolDir, e.Name)
}
