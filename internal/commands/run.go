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

On SIGTERM it processes its messages for up to 3.2 s more and exits; unfinished messages stay pending in the write-ahead
log. On SIGHUP it reloads its configuration; 'spanflow config show' shows which fields change on reload and which only at
a restart.`,
		Example: "  spanflow run --config example/spanflow.toml\n  spanflow run -c spanflow.toml --set log.format=console",
		RunE:    cli.Run(func([]string) error { return s.run() }),
	})
}

func (s *session) run() error {
	caught := signals.Catch() // before anything else, as an uncaught signal ends the process
	c, err := signals.Interruptible(caught.Stop(), s.forwarderConfig, nil)
	if caught.Stop().Err() != nil {
		return nil // stopped before serving
	}
	if err != nil {
		return s.reportProblems(err)
	}
	c.ApplyProcessLimits()
	return forwarder.Run(caught.Stop(), c, caught.Reloads(), s.err, func(string) { caught.SetServing() })
}
