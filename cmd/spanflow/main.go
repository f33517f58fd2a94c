// Command spanflow is one forwarder, configured by its environment. With arguments it becomes spanflowctl, a program
// in the same folder that has the commands, the operators' configuration and metrics: their libraries would raise the
// memory of a forwarder that uses none of them by half.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"

	"spanflow/forwarder"
	"spanflow/internal/signals"
)

// commandsProgram is the name of the program that has the commands.
const commandsProgram = "spanflowctl"

// runCommand is the command of that program that serves.
const runCommand = "run"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "spanflow:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) > 0 {
		if slices.Contains(args, runCommand) {
			signals.IgnoreReloads()
		}
		return replaceProcess(commandsProgram, args)
	}
	return serve()
}

// serve runs a forwarder until SIGTERM or SIGINT. SIGHUP reloads its configuration.
func serve() error {
	caught := signals.Catch()
	read := func() (*forwarder.Config, error) { return forwarder.ConfigFromEnvironment(os.Getenv) }
	config, err := signals.Interruptible(caught.Stop(), read, nil)
	if caught.Stop().Err() != nil {
		return nil // nobody was served
	}
	if err != nil {
		return err
	}
	config.ApplyProcessLimits()
	return forwarder.Run(caught.Stop(), config, caught.Reloads(), os.Stderr, func(string) { caught.SetServing() })
}

// replaceProcess runs another program of the same build in the place of this one. It returns only with an error.
func replaceProcess(program string, args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), program)
	if _, err := os.Stat(path); err != nil {
		if path, err = exec.LookPath(program); err != nil {
			return fmt.Errorf("the commands are in %s, which is neither beside %s nor on the path", program, self)
		}
	}
	return syscall.Exec(path, append([]string{"spanflow"}, args...), os.Environ())
}
