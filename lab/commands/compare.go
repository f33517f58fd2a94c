package commands

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"spanflow/internal/cli"
	"spanflow/lab/experiment"
)

func (s *session) compare() *cobra.Command {
	other := ""
	c := s.policyFlags(&cobra.Command{Use: "compare SCENARIO [SCENARIO]", Args: cobra.RangeArgs(1, 2),
		Short: "Simulate two arms with the same seeds and compare them",
		Long: `Simulates two scenarios with one policy, or one scenario with the two policies --policy and --with. Both runs of a pair
have the same seed. The differences of the pairs are resampled; if the middle 95% of the means include 0, the verdict is
that no difference is seen.`,
		Example: "  spanflow-lab compare returns-cold --policy backoff --with module --seeds 32",
		RunE: cli.Run(func(args []string) error {
			a, b, err := s.arms(args, other)
			if err != nil {
				return err
			}
			seeds := s.seedsFor(a.Scenario)
			r := experiment.Compare(a, b, seeds, s.progress(2*len(seeds)))
			if s.json {
				return cli.PrintJSON(s.out, r)
			}
			return s.printComparison(&r, len(seeds))
		})})
	c.Flags().StringVar(&other, "with", "", "policy of the second arm")
	return c
}

// arms returns the two sides of a comparison: two scenarios, or one scenario with two policies.
func (s *session) arms(names []string, otherPolicy string) (a, b experiment.Arm, err error) {
	if a, err = s.arm(names[0]); err != nil {
		return a, b, err
	}
	b = a
	if len(names) == 2 {
		if b, err = s.arm(names[1]); err != nil {
			return a, b, err
		}
	} else if otherPolicy == "" {
		return a, b, errors.New("a comparison on one scenario needs --with POLICY")
	}
	if otherPolicy != "" {
		a.Name, b.Name = s.policy, otherPolicy
		b.NewPolicy, err = policy(otherPolicy)
	}
	return a, b, err
}

func (s *session) printComparison(r *experiment.Comparison, pairs int) error {
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "ARM\tMEAN G\tWORST G\tMEAN P99\tRULES BROKEN")
	for _, arm := range []experiment.Summary{r.A, r.B} {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f s\t%v\n", arm.Name, arm.Mean, arm.Worst, arm.P99, arm.Violations)
	}
	t.Flush()
	_, err := fmt.Fprintf(s.out, "mean difference %+.4f, 95%% between %+.4f and %+.4f, from %d pairs: %s\n", r.Mean, r.Low, r.High, pairs, r.Verdict)
	return err
}

// sweepStep is the summary at one value of a sweep's axis.
type sweepStep struct {
	X float64 `json:"x"`
	experiment.Summary
}

func (s *session) sweep() *cobra.Command {
	axis, values := "", ""
	c := s.policyFlags(&cobra.Command{Use: "sweep SCENARIO", Short: "Simulate a scenario at several values along an axis", Args: cobra.ExactArgs(1),
		Example: "  spanflow-lab sweep monday-morning --axis load --values 0.5,1,2,4 --seeds 4",
		RunE: cli.Run(func(args []string) error {
			arm, err := s.arm(args[0])
			if err != nil {
				return err
			}
			steps, err := s.runSweep(arm, axis, values)
			if err != nil {
				return err
			}
			if s.json {
				return cli.PrintJSON(s.out, steps)
			}
			t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
			fmt.Fprintf(t, "%s\tMEAN G\tWORST G\tMEAN P99\tRULES BROKEN\n", strings.ToUpper(axis))
			for _, step := range steps {
				fmt.Fprintf(t, "%g\t%.3f\t%.3f\t%.3f s\t%v\n", step.X, step.Mean, step.Worst, step.P99, step.Violations)
			}
			return t.Flush()
		})})
	c.Flags().StringVar(&axis, "axis", "load", strings.Join(slices.Sorted(maps.Keys(experiment.Axes)), ", "))
	c.Flags().StringVar(&values, "values", "0.5,1,2", "comma-separated values of the axis; for load, trouble and destinations, factors by which the scenario's values are multiplied")
	return c
}

// runSweep simulates an arm at each of the comma-separated values of an axis.
func (s *session) runSweep(arm experiment.Arm, axis, values string) ([]sweepStep, error) {
	var steps []sweepStep
	for _, value := range strings.Split(values, ",") {
		x, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil {
			return nil, fmt.Errorf("--values: %q is not a number", value)
		}
		varied := arm
		if varied.Scenario, err = experiment.Vary(arm.Scenario, axis, x); err != nil {
			return nil, err
		}
		seeds := s.seedsFor(arm.Scenario)
		results := experiment.Play(varied, seeds, s.progress(len(seeds)))
		steps = append(steps, sweepStep{x, experiment.Summarize(value, results)})
	}
	return steps, nil
}
