package commands

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"spanflow/internal/cli"
	"spanflow/lab/experiment"
	"spanflow/lab/report"
	"spanflow/lab/scenario"
	"spanflow/lab/sim"
)

func (s *session) scenarios() *cobra.Command {
	return &cobra.Command{Use: "scenes", Args: cobra.NoArgs,
		Short: "List the built-in scenarios and the kinds of faults",
		RunE: cli.Run(func([]string) error {
			t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
			for _, name := range scenario.Builtin() {
				sc, err := scenario.Read(name)
				if err != nil {
					return err
				}
				fmt.Fprintf(t, "%s\t%s\n", name, sc.About)
			}
			fmt.Fprintln(t, "\t")
			for _, kind := range slices.Sorted(maps.Keys(scenario.FaultKinds)) {
				fmt.Fprintf(t, "%s\t%s\n", kind, scenario.FaultKinds[kind])
			}
			return t.Flush()
		})}
}

func (s *session) run() *cobra.Command {
	html := ""
	c := s.policyFlags(&cobra.Command{Use: "run SCENARIO", Short: "Simulate a scenario", Args: cobra.ExactArgs(1),
		Example: "  spanflow-lab run one-partner-hangs --seeds 8\n  spanflow-lab run my.toml --html report.html",
		RunE:    cli.Run(func(args []string) error { return s.runSimulated(args[0], html) })})
	c.Flags().StringVar(&html, "html", "", "file to write an HTML report with plots to")
	return c
}

// runSimulated simulates a scenario and prints the results. It returns an error if a rule was broken.
func (s *session) runSimulated(name, html string) error {
	arm, err := s.arm(name)
	if err != nil {
		return err
	}
	seeds := s.seedsFor(arm.Scenario)
	results := experiment.Play(arm, seeds, s.progress(len(seeds)))
	if html != "" {
		if err := writeReport(html, arm.Scenario, results); err != nil {
			return err
		}
	}
	if s.json {
		if err := cli.PrintJSON(s.out, results); err != nil {
			return err
		}
	} else {
		s.printResults(results)
	}
	for _, r := range results {
		if len(r.Violations) > 0 {
			return fmt.Errorf("seed %d: rule broken: %s: %s", r.Seed, r.Violations[0].Rule, r.Violations[0].Reason)
		}
	}
	return nil
}

// writeReport writes an HTML page with plots.
func writeReport(path string, sc *scenario.Scenario, results []*sim.Result) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(report.Write(f, sc, results), f.Close())
}

func (s *session) printResults(results []*sim.Result) {
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "SEED\tG\tDOCUMENTS\tSERVED\tLATE\tTURNED AWAY\tRETURNED\tABANDONED\tP50\tP99\tRULES")
	for _, r := range results {
		broken := map[string]int{}
		for _, v := range r.Violations {
			broken[string(v.Rule)]++
		}
		rules := "kept"
		if len(broken) > 0 {
			rules = fmt.Sprint(broken)
		}
		fmt.Fprintf(t, "%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f s\t%.3f s\t%s\n", r.Seed, r.G, r.Messages, r.Served, r.Late, r.Refused,
			r.FinalAnswers["returned"], r.FinalAnswers["abandoned"], r.Latency.P50, r.Latency.P99, rules)
	}
	t.Flush()
}
