// Command spanflow runs one forwarder, configured by environment variables. With arguments it executes spanflowctl, a
// program in the same folder that contains the commands, the operators' configuration and the metrics. They are in a
// separate program because their libraries would increase the memory of a forwarder by half, even if it does not use
// them.
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

// commandsProgram is the name of the program that contains the commands.
const commandsProgram = "spanflowctl"

// runCommand is the command of commandsProgram that runs a forwarder.
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
		return nil // stopped before serving
	}
	if err != nil {
		return err
	}
	config.ApplyProcessLimits()
	return forwarder.Run(caught.Stop(), config, caught.Reloads(), os.Stderr, func(string) { caught.SetServing() })
}

// replaceProcess replaces this process with another program of the same build. It returns only if that fails.
func replaceProcess(program string, args []string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), program)
	if _, err := os.Stat(path); err != nil {
		if path, err = exec.LookPath(program); err != nil {
			return fmt.Errorf("the commands are in %s, which is neither in the folder of %s nor on the PATH", program, self)
		}
	}
	return syscall.Exec(path, append([]string{"spanflow"}, args...), os.Environ())
}
