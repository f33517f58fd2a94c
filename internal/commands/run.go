package commands

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"spanflow/forwarder"
	"spanflow/internal/cli"
)

func (s *session) runCommand() *cobra.Command {
	return s.withConfigFlags(&cobra.Command{
		Use:   "run",
		Short: "Run a forwarder",
		Args:  cobra.NoArgs,
		Long: `Runs a forwarder in the foreground. Its log goes to standard error.

SIGTERM ends it: it finishes what it can for up to 3.2 s, the rest stays owed in the write-ahead log's folder. SIGHUP
makes it read its configuration again; 'spanflow config show' tells which fields change then and which at a restart.`,
		Example: "  spanflow run --config example/spanflow.toml\n  spanflow run -c spanflow.toml --set log.format=console",
		RunE:    cli.Run(func([]string) error { return s.run() }),
	})
}

func (s *session) run() error {
	c, err := s.forwarderConfig()
	if err != nil {
		return s.reportProblems(err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	c.ApplyProcessLimits()
	return forwarder.Run(ctx, c, reload, s.err, nil)
}
