package commands

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spanflow/internal/cli"
	"spanflow/lab/experiment"
	"spanflow/lab/scenario"
)

// huntOptions holds the flags of 'hunt'.
type huntOptions struct {
	lasts  time.Duration
	limit  int
	folder string
}

func (s *session) hunt() *cobra.Command {
	o := huntOptions{lasts: time.Minute, limit: unlimitedScenarios}
	c := &cobra.Command{Use: "hunt --out FOLDER", Args: cobra.NoArgs,
		Short: "Search for broken rules in fully random scenarios; can be continued",
		Long: `Generates scenarios with 1 to 300 forwarders and endpoints, limits, message types, and one to four faults that mostly
overlap, and simulates each scenario once. The folder contains hunt.toml (seeds tried, what they covered, violations
found) and a scenario file for each violation, shrunk as long as it breaks the same rule. When started again with the same
folder, the search continues with untried seeds. The same seeds give the same files on any number of cores. When
interrupted, the search finishes and saves the current batch.`,
		Example: "  spanflow-lab hunt --out hunted --lasts 10m\n  spanflow-lab hunt --out hunted --from 1 --most 5000 --lasts 1h",
		RunE:    cli.Run(func([]string) error { return s.searchViolations(&o) })}
	c.Flags().StringVar(&s.policy, "policy", schedulerPolicy, "dispatch policy")
	c.Flags().Uint64Var(&s.seed, "from", 1, "first seed")
	c.Flags().DurationVar(&o.lasts, "lasts", o.lasts, "time limit for the search")
	c.Flags().IntVar(&o.limit, "most", o.limit, "maximum number of scenarios")
	c.Flags().StringVar(&o.folder, "out", "", "folder for the state of the search and its findings; created if missing")
	return c
}

// searchViolations starts or continues the search stored in a folder. It returns an error if the search has
// found violations, including those of earlier runs.
func (s *session) searchViolations(o *huntOptions) error {
	if o.folder == "" {
		return errors.New("--out: a folder is required to save the state of the search")
	}
	newPolicy, err := policy(s.policy)
	if err != nil {
		return err
	}
	v, err := experiment.OpenViolationSearch(o.folder)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(s.ctx, o.lasts)
	defer cancel()
	before, began := v.Scenarios, time.Now()
	err = v.Run(ctx, o.folder, newPolicy, max(1, s.seed), o.limit, func(v *experiment.ViolationSearch) {
		if !s.quiet && !s.json {
			fmt.Fprintf(s.err, "\r%d scenarios, %d violations, %s   ", v.Scenarios-before, len(v.Violations), time.Since(began).Round(time.Second))
		}
	})
	if err != nil {
		return err
	}
	if s.json {
		err = cli.PrintJSON(s.out, v)
	} else {
		err = s.printViolationSearch(v)
	}
	if n := len(v.Violations) + v.Unshrunk; err == nil && n > 0 {
		first := &v.Violations[0]
		err = fmt.Errorf("%d violations, the first in %s: %s: %s", n, first.File, first.Rule, first.Reason)
	}
	return err
}

// printViolationSearch prints the coverage and the violations of a search.
func (s *session) printViolationSearch(v *experiment.ViolationSearch) error {
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "\n%d scenarios, seeds %v\n", v.Scenarios, v.Tried)
	for _, part := range []struct {
		name   string
		counts map[string]int
	}{{"SIZE", v.Sizes}, {"TROUBLE", v.Kinds}} {
		fmt.Fprintf(t, "%s\tSCENARIOS\n", part.name)
		for _, k := range slices.Sorted(maps.Keys(part.counts)) {
			fmt.Fprintf(t, "%s\t%d\n", k, part.counts[k])
		}
	}
	all := len(scenario.FaultKinds) * (len(scenario.FaultKinds) - 1) / 2
	count, rarest := 0, ""
	for _, pair := range slices.Sorted(maps.Keys(v.Pairs)) {
		if rarest == "" || v.Pairs[pair] < count {
			count, rarest = v.Pairs[pair], pair
		}
	}
	fmt.Fprintf(t, "overlapping pairs\t%d of %d; the rarest is %s, in %d scenarios\n", len(v.Pairs), all, rarest, count)
	for _, found := range v.Violations {
		fmt.Fprintf(t, "%s\t%s: %s\n", found.File, found.Rule, found.Reason)
	}
	return t.Flush()
}

// findings simulates the scenarios that earlier searches found, and reports those in which a rule is broken or the
// share of value delivered is below the scenario's floor.
func (s *session) findings() *cobra.Command {
	seeds := 1
	c := &cobra.Command{Use: "findings [SCENARIO...]", Args: cobra.ArbitraryArgs,
		Short:   "Check that kept findings break no rule and deliver at least their floor",
		Example: "  spanflow-lab findings\n  spanflow-lab findings hunted/*.toml --seeds 8",
		RunE:    cli.Run(func(names []string) error { return s.runFindings(names, seeds) })}
	c.Flags().IntVar(&seeds, "seeds", seeds, "number of seeds per scenario, starting with the scenario's own seed, for which its floor was set")
	c.Flags().StringVar(&s.policy, "policy", schedulerPolicy, "dispatch policy")
	return c
}

func (s *session) runFindings(names []string, seeds int) error {
	if len(names) == 0 {
		names = scenario.Findings()
	}
	var arms []experiment.Arm
	for _, name := range names {
		arm, err := s.arm(name)
		if err != nil {
			return err
		}
		arms = append(arms, arm)
	}
	failed := 0
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "SCENARIO\tWORST G\tFLOOR\tRULES")
	for _, arm := range arms {
		sum := experiment.Summarize(arm.Name, experiment.Play(arm, experiment.Seeds(arm.Scenario.Seed, seeds), nil))
		verdict := "kept"
		if len(sum.Violations) > 0 {
			verdict = fmt.Sprint(sum.Violations)
		}
		if len(sum.Violations) > 0 || sum.Worst < arm.Scenario.Floor {
			failed++
			verdict += " FAILED"
		}
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%s\n", arm.Name, sum.Worst, arm.Scenario.Floor, verdict)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d findings broke a rule or fell below their floor", failed, len(arms))
	}
	return nil
}
