// Command spanflow is one forwarder, told by its environment what to do. With arguments it becomes spanflowctl, which
// lies beside it and has the commands, the configuration format and metrics: their libraries would raise the memory of
// a forwarder that uses none of them by half.
package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"

	"spanflow/forwarder"
)

func main() {
	err := error(nil)
	if len(os.Args) > 1 {
		err = become("spanflowctl")
	} else {
		err = serve()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "spanflow:", err)
		os.Exit(1)
	}
}

func serve() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	order, err := forwarder.ConfigFromEnvironment(os.Getenv)
	if err != nil {
		return err
	}
	order.ApplyProcessLimits()
	return forwarder.Run(ctx, order, again, os.Stderr, nil)
}

// become puts another program of the same build in this one's place, with its arguments.
func become(name string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	path := filepath.Join(filepath.Dir(self), name)
	if _, err := os.Stat(path); err != nil {
		if path, err = exec.LookPath(name); err != nil {
			return fmt.Errorf("the commands are in %s, which is neither beside %s nor on the path", name, self)
		}
	}
	return syscall.Exec(path, append([]string{"spanflow"}, os.Args[1:]...), os.Environ())
}
