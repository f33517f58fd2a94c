// Command spanflow is one forwarder, told by its environment what to do.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"spanflow/forward"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	order, err := forward.FromEnvironment(os.Getenv)
	if err == nil {
		order.Confine()
		err = forward.Run(ctx, order, again, os.Stderr, nil)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "spanflow:", err)
		os.Exit(1)
	}
}
