package commands

import (
	"github.com/spf13/cobra"

	"spanflow/forwarder"
	"spanflow/internal/cli"
	"spanflow/internal/signals"
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
	caught := signals.Catch() // first: a signal that is not caught ends the process
	c, err := signals.Interruptible(caught.Stop(), s.forwarderConfig, nil)
	if caught.Stop().Err() != nil {
		return nil // nobody was served
	}
	if err != nil {
		return s.reportProblems(err)
	}
	c.ApplyProcessLimits()
	return forwarder.Run(caught.Stop(), c, caught.Reloads(), s.err, func(string) { caught.SetServing() })
}
