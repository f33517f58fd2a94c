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
		Short: "Play a scenario with forwarder processes and sockets, in real time",
		Long: `Starts a built forwarder for each of the scenario's, with destinations, discovery and clients on loopback, and plays the
scenario in real time; then the same seed simulated. Beyond loopback without privileges, and left out: reap and list;
silence is a destination that takes calls and says nothing.`,
		Example: "  spanflow-lab real forwarders-restart-in-a-wave --program bin/spanflow --logs logs",
		RunE:    cli.Run(func(args []string) error { return s.playReal(r, args[0], html) })}
	f := c.Flags()
	f.StringVar(&r.Program, "program", "bin/spanflow", "the built forwarder")
	f.StringVar(&r.Folder, "logs", "", "folder for logs, write-ahead logs and configurations (default: none is kept)")
	f.IntVar(&r.Memory, "memory-mb", r.Memory, "memory that each forwarder may use")
	f.IntVar(&r.Sockets, "sockets", r.Sockets, "descriptors that each forwarder may open")
	f.Uint64Var(&s.seed, "seed", 0, "the seed; 0: the scenario's")
	f.StringVar(&html, "html", "", "write a page with plots to this file")
	return c
}

// playReal plays a scenario on real sockets, then simulated, and prints both; a broken rule on sockets is an error.
func (s *session) playReal(r sim.Real, name, html string) error {
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
		fmt.Fprintf(s.err, "playing for %s\n", sc.Length+sc.Drain)
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
