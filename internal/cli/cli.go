// Package cli holds the code that the command-line programs share: exit codes, and the printing of errors and values.
package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	ExitOK    = 0
	ExitError = 1 // the command failed or found a problem
	ExitUsage = 2 // the command line is invalid
)

// failure is an error of a command whose command line is valid.
type failure struct{ error }

// Unwrap returns the command's error.
func (f failure) Unwrap() error { return f.error }

// ErrReported is returned by a command that has already printed its problems. Main then exits with ExitError and prints
// nothing more.
var ErrReported error = failure{errors.New("")}

// Run adapts a command's work to cobra, so that its error counts as a failure and not as an invalid command line.
func Run(work func(args []string) error) func(*cobra.Command, []string) error {
	return func(_ *cobra.Command, args []string) error {
		if err := work(args); err != nil {
			return failure{err}
		}
		return nil
	}
}

// Main runs a command line, prints its error to errOut and returns the exit code.
func Main(root *cobra.Command, args []string, out, errOut io.Writer) int {
	root.SilenceErrors, root.SilenceUsage = true, true
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	var failed failure
	if !errors.As(err, &failed) {
		fmt.Fprintf(errOut, "%s: %v\nTry '%s --help'.\n", root.Name(), err, root.Name())
		return ExitUsage
	}
	if failed.Error() != "" {
		fmt.Fprintf(errOut, "%s: %v\n", root.Name(), failed.error)
	}
	return ExitError
}

// PrintJSON writes a value as indented JSON.
func PrintJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
