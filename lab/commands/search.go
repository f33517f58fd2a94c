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

// unlimitedScenarios is the default of --most. No search gets this far in practice.
const unlimitedScenarios = 1 << 30

// searchOptions holds the flags of 'search'.
type searchOptions struct {
	lasts       time.Duration
	limit, keep int
	folder      string // empty if findings are only printed
}

func (s *session) search() *cobra.Command {
	o := searchOptions{lasts: time.Minute, limit: unlimitedScenarios, keep: 3}
	c := s.policyFlags(&cobra.Command{Use: "search [SCENARIO]", Args: cobra.MaximumNArgs(1),
		Short: "Search for random scenarios in which the policy performs badly, and shrink the worst",
		Long: `Generates scenarios with random sizes, load and faults from the destinations of a scenario (calm by default). The loss of
a scenario counts broken rules most, then the value by which the best baseline that keeps the rules delivers more. The
worst scenarios are shrunk as long as they keep three quarters of their loss.`,
		RunE: cli.Run(func(args []string) error { return s.runSearch(append(args, "calm")[0], &o) })})
	c.Flags().DurationVar(&o.lasts, "lasts", o.lasts, "time limit for generating scenarios")
	c.Flags().IntVar(&o.limit, "most", o.limit, "maximum number of scenarios")
	c.Flags().IntVar(&o.keep, "keep", o.keep, "number of findings to keep")
	c.Flags().StringVar(&o.folder, "out", "", "folder to write the findings to, as scenario files")
	return c
}

func (s *session) runSearch(name string, o *searchOptions) error {
	arm, err := s.arm(name)
	if err != nil {
		return err
	}
	if o.folder != "" { // fails before the search starts if the folder is not writable
		if err := ensureWritable(o.folder); err != nil {
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

// ensureWritable creates a folder and returns an error if no files can be created in it.
func ensureWritable(folder string) error {
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

// printFinding prints a finding and writes it to the folder, unless that is empty.
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
