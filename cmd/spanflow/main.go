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
	order, err := forward.FromEnvironment(os.Getenv)
	if err == nil {
		order.Confine()
		err = forward.Run(ctx, order, os.Stderr, nil)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "spanflow:", err)
		os.Exit(1)
	}
}
