package commands

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"spanflow/internal/cli"
	"spanflow/lab/scenario"
	"spanflow/lab/sim"
)

func (s *session) real() *cobra.Command {
	r, html := sim.Real{Memory: 192, Sockets: 1024}, ""
	c := &cobra.Command{Use: "real SCENARIO", Args: cobra.ExactArgs(1),
		Short: "Run a scenario with forwarder processes and sockets, in real time",
		Long: `Starts a forwarder process for each forwarder of the scenario, with destinations, discovery and clients on loopback, and
runs the scenario in real time. Then it simulates the same seed for comparison. The faults reap and list are left out, as
they cannot be reproduced on loopback without privileges; silent is reproduced as a destination that accepts calls
and never answers.`,
		Example: "  spanflow-lab real forwarders-restart-in-a-wave --program bin/spanflow --logs logs",
		RunE:    cli.Run(func(args []string) error { return s.runReal(r, args[0], html) })}
	f := c.Flags()
	f.StringVar(&r.Program, "program", "bin/spanflow", "path of the forwarder binary")
	f.StringVar(&r.Folder, "logs", "", "folder for logs, write-ahead logs and configurations (default: a temporary folder that is deleted)")
	f.IntVar(&r.Memory, "memory-mb", r.Memory, "memory limit of each forwarder, in MB")
	f.IntVar(&r.Sockets, "sockets", r.Sockets, "file descriptor limit of each forwarder")
	f.Uint64Var(&s.seed, "seed", 0, "random seed; 0 means the scenario's seed")
	f.StringVar(&html, "html", "", "file to write an HTML report with plots to")
	return c
}

// runReal runs a scenario on real sockets, simulates it, and prints both results. It returns an error
// if a rule was broken on sockets.
func (s *session) runReal(r sim.Real, name, html string) error {
	sc, err := scenario.Read(name)
	if err != nil {
		return err
	}
	if r.Program, err = filepath.Abs(r.Program); err != nil {
		return err
	}
	if r.Folder == "" {
		if r.Folder, err = os.MkdirTemp("", "spanflow-lab"); err != nil {
			return err
		}
		defer os.RemoveAll(r.Folder)
	}
	if s.seed == 0 {
		s.seed = sc.Seed
	}
	if !s.quiet && !s.json {
		fmt.Fprintf(s.err, "running for %s\n", sc.Length+sc.Drain)
	}
	result, err := r.Play(s.ctx, sc, s.seed)
	if err != nil {
		return err
	}
	results := []*sim.Result{result, sim.Play(sc, s.seed, sim.SchedulerPolicy)}
	if html != "" {
		if err := writeReport(html, sc, results); err != nil {
			return err
		}
	}
	if s.json {
		return cli.PrintJSON(s.out, results)
	}
	fmt.Fprintln(s.out, "on sockets, then simulated:")
	s.printResults(results)
	if len(result.Violations) > 0 {
		return fmt.Errorf("rule broken: %s: %s", result.Violations[0].Rule, result.Violations[0].Reason)
	}
	return nil
}
