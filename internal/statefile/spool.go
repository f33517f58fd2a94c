package statefile

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

const (
	spoolDir        = "by-hand"
	drainWord       = "out"
	unlistedWord    = "out-if-listed"
	undrainWord     = "back"
	clientDrainWord = "lameduck"
	onWord          = "on"
	offWord         = "off"

	// maxSpooledCommands limits the spool, so that a caller cannot fill the folder while the process that holds it hangs.
	// Commands beyond the limit are rejected until that process reads the spool again.
	maxSpooledCommands  = 64
	maxSpooledBytes     = 512 // maximum size of a command
	spooledNameTemplate = "%08d"
)

// Command is an operator's command to drain or restore an endpoint, or to switch lame duck mode.
type Command struct {
	Endpoint    string // id; empty for lame duck mode
	Undrain     bool   // true ends the drain; false drains the endpoint
	Unlisted    bool   // the process that took the command did not know the endpoint
	ClientDrain ClientDrainSwitch
}

// ClientDrainSwitch says how a command switches lame duck mode.
type ClientDrainSwitch uint8

// The ways to switch lame duck mode.
const (
	ClientDrainUnchanged ClientDrainSwitch = iota // the command concerns an endpoint
	ClientDrainOn
	ClientDrainOff
)

// line returns the command as it is written.
func (c Command) line() string {
	switch {
	case c.ClientDrain == ClientDrainOn:
		return clientDrainWord + " " + onWord + "\n"
	case c.ClientDrain == ClientDrainOff:
		return clientDrainWord + " " + offWord + "\n"
	case c.Undrain:
		return undrainWord + " " + c.Endpoint + "\n"
	case c.Unlisted:
		return unlistedWord + " " + c.Endpoint + "\n"
	}
	return drainWord + " " + c.Endpoint + "\n"
}

// parseCommand returns the command of a line, and reports whether it is one.
func parseCommand(line string) (command Command, ok bool) {
	word, argument, _ := strings.Cut(line, " ")
	switch {
	case argument == "":
		return Command{}, false
	case word == drainWord || word == undrainWord:
		return Command{Endpoint: argument, Undrain: word == undrainWord}, true
	case word == unlistedWord:
		return Command{Endpoint: argument, Unlisted: true}, true
	case word == clientDrainWord && argument == onWord:
		return Command{ClientDrain: ClientDrainOn}, true
	case word == clientDrainWord && argument == offWord:
		return Command{ClientDrain: ClientDrainOff}, true
	}
	return Command{}, false
}

// Spool is the queue of operators' commands in a forwarder's folder, with one file per command. The successor of an
// upgrade adds commands while it waits for the folder, and the process that holds the folder executes them.
type Spool struct{ dir string }

// NewSpool returns the spool of a forwarder's folder. The first Put creates its subfolder.
func NewSpool(folder string) Spool { return Spool{dir: filepath.Join(folder, spoolDir)} }

// Names returns the names of the commands in the spool, oldest first.
func (s Spool) Names() []string {
	entries, _ := os.ReadDir(s.dir) // an unreadable folder counts as empty
	var names []string
	for _, entry := range entries {
		if entry.Type().IsRegular() && !strings.HasSuffix(entry.Name(), temporarySuffix) {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names
}

// Put adds a command at the end. It fails with a SpoolFullError if the spool is full, or with a file system error.
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
	return Write(s.dir, fmt.Sprintf(spooledNameTemplate, number), command.line())
}

// Read reads the command with the given name. It returns a MalformedCommandError if the file does not contain a
// command.
func (s Spool) Read(name string) (Command, error) {
	f, err := os.Open(filepath.Join(s.dir, name))
	if err != nil {
		return Command{}, err
	}
	text := make([]byte, maxSpooledBytes)
	n, _ := f.Read(text) // an unreadable file counts as malformed
	if err := f.Close(); err != nil {
		return Command{}, err
	}
	command, ok := parseCommand(strings.TrimSuffix(string(text[:n]), "\n"))
	if !ok {
		return Command{}, &MalformedCommandError{Name: name}
	}
	return command, nil
}

// Remove removes the command with the given name.
func (s Spool) Remove(name string) error { return os.Remove(filepath.Join(s.dir, name)) }

// SpoolFullError is the error for a command that exceeds the limit of the spool.
type SpoolFullError struct{ Commands int }

// Error returns a text with the number of commands in the spool. Operators get it as part of an HTTP answer.
func (e *SpoolFullError) Error() string {
	return fmt.Sprintf("%d calls wait to be taken up", e.Commands)
}

// MalformedCommandError is the error for a file in the spool that does not contain a command.
type MalformedCommandError struct{ Name string }

// Error returns a text with the file's path in the forwarder's folder.
func (e *MalformedCommandError) Error() string {
	return fmt.Sprintf("%s/%s is not a command", spoolDir, e.Name)
}
