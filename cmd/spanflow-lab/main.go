// Command spanflow-lab is the laboratory of spanflow: simulated runs, experiments and a load generator.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"spanflow/lab/commands"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(commands.Main(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
