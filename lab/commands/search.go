package commands

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"spanflow/internal/cli"
	"spanflow/lab/experiment"
)

// manyScenarios is as good as no limit.
const manyScenarios = 1 << 30

// searchOptions are what the flags of 'search' say.
type searchOptions struct {
	lasts       time.Duration
	limit, keep int
	folder      string // empty: findings are not written
}

func (s *session) search() *cobra.Command {
	o := searchOptions{lasts: time.Minute, limit: manyScenarios, keep: 3}
	c := s.policyFlags(&cobra.Command{Use: "search [SCENARIO]", Args: cobra.MaximumNArgs(1),
		Short: "Draw scenarios in which the policy does badly, and shrink the worst",
		Long: `Draws sizes, load and faults on the destinations of a scenario (calm, if none is named). A broken rule counts most, then
what the best baseline that keeps the rules delivers more. The worst are shrunk as long as three quarters of the loss
stay.`,
		RunE: cli.Run(func(args []string) error { return s.playSearch(append(args, "calm")[0], &o) })})
	c.Flags().DurationVar(&o.lasts, "lasts", o.lasts, "time for drawing")
	c.Flags().IntVar(&o.limit, "most", o.limit, "scenarios at most")
	c.Flags().IntVar(&o.keep, "keep", o.keep, "how many to keep")
	c.Flags().StringVar(&o.folder, "out", "", "folder for the findings, as scenarios")
	return c
}

func (s *session) playSearch(name string, o *searchOptions) error {
	arm, err := s.arm(name)
	if err != nil {
		return err
	}
	if o.folder != "" { // made, or refused, before the work
		if err := makeWritable(o.folder); err != nil {
			return fmt.Errorf("--out: %w", err)
		}
	}
	ctx, cancel := context.WithTimeout(s.ctx, o.lasts)
	defer cancel()
	progress := func(n int, worst float64) {
		if !s.quiet && !s.json {
			fmt.Fprintf(s.err, "\r%d scenarios, worst loss %.3f   ", n, worst)
		}
	}
	for _, f := range experiment.Search(ctx, arm.Scenario, arm.NewPolicy, max(1, s.seed), o.limit, o.keep, progress) {
		if err := s.printFinding(f, o.folder); err != nil {
			return err
		}
	}
	return nil
}

// makeWritable makes a folder and tells whether files can be written there.
func makeWritable(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	probe, err := os.CreateTemp(folder, ".probe")
	if err != nil {
		return err
	}
	probe.Close()
	os.Remove(probe.Name())
	return nil
}

// printFinding prints a finding and writes it to a folder, if there is one.
func (s *session) printFinding(f *experiment.Finding, folder string) error {
	fmt.Fprintf(s.out, "\n%s: G %.3f, best baseline %.3f, rules broken %v, shrunk by %d steps\n", f.Scenario.Name, f.G, f.Best, f.Rules, f.Steps)
	text, err := f.Text()
	if err != nil || folder == "" {
		return err
	}
	path := filepath.Join(folder, f.Scenario.Name+".toml")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	fmt.Fprintln(s.out, "written to", path)
	return nil
}
