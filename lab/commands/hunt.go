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

func (s *session) hunt() *cobra.Command {
	lasts, most, folder := time.Minute, 1<<30, ""
	c := &cobra.Command{Use: "hunt --out FOLDER", Short: "Hunt for broken rules in scenes drawn in all dimensions; goes on where it stopped", Args: cobra.NoArgs,
		Long: `Draws 1 to 300 forwarders and targets, limits, kinds of document, and one to four troubles that mostly overlap, and plays
each scene once. The folder keeps hunt.toml (seeds tried, what they covered, breaks found) and each break as a scene,
shrunk as long as the same rule breaks. Started again with the folder it goes on with seeds not tried. The files are
the same for the same seeds on any number of cores. Interrupted, it finishes what it has begun and keeps it.`,
		Example: "  spanflow-lab hunt --out hunted --lasts 10m\n  spanflow-lab hunt --out hunted --from 1 --most 5000 --lasts 1h",
		RunE: cli.Run(func([]string) error {
			if folder == "" {
				return errors.New("--out: a folder is needed, that keeps which seeds were tried")
			}
			m, err := policy(s.policy)
			if err != nil {
				return err
			}
			h, err := experiment.OpenViolationSearch(folder)
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(s.ctx, lasts)
			defer cancel()
			before, began := h.Scenarios, time.Now()
			err = h.Run(ctx, folder, m, max(1, s.seed), most, func(h *experiment.ViolationSearch) {
				if !s.quiet && !s.json {
					fmt.Fprintf(s.err, "\r%d scenes, %d breaks, %s   ", h.Scenarios-before, len(h.Violations), time.Since(began).Round(time.Second))
				}
			})
			if err != nil {
				return err
			}
			if s.json {
				err = cli.Print(s.out, h)
			} else {
				err = s.printViolationSearch(h)
			}
			if n := len(h.Violations) + h.Unshrunk; err == nil && n > 0 {
				err = fmt.Errorf("%d breaks, the first in %s: %s: %s", n, h.Violations[0].File, h.Violations[0].Rule, h.Violations[0].Reason)
			}
			return err
		})}
	c.Flags().StringVar(&s.policy, "policy", "module", "who decides")
	c.Flags().Uint64Var(&s.seed, "from", 1, "the first seed")
	c.Flags().DurationVar(&lasts, "lasts", lasts, "time for the hunt")
	c.Flags().IntVar(&most, "most", most, "scenes at most")
	c.Flags().StringVar(&folder, "out", "", "folder that keeps the hunt and its findings; made if missing")
	return c
}

// printViolationSearch prints what a hunt covers and has found.
func (s *session) printViolationSearch(h *experiment.ViolationSearch) error {
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "\n%d scenes, seeds %v\n", h.Scenarios, h.Tried)
	for _, part := range []struct {
		name string
		n    map[string]int
	}{{"SIZE", h.Sizes}, {"TROUBLE", h.Kinds}} {
		fmt.Fprintf(t, "%s\tSCENES\n", part.name)
		for _, k := range slices.Sorted(maps.Keys(part.n)) {
			fmt.Fprintf(t, "%s\t%d\n", k, part.n[k])
		}
	}
	all := len(scenario.FaultKinds) * (len(scenario.FaultKinds) - 1) / 2
	least, which := 0, ""
	for _, k := range slices.Sorted(maps.Keys(h.Pairs)) {
		if which == "" || h.Pairs[k] < least {
			least, which = h.Pairs[k], k
		}
	}
	fmt.Fprintf(t, "pairs that overlapped\t%d of %d, the rarest %s in %d\n", len(h.Pairs), all, which, least)
	for _, b := range h.Violations {
		fmt.Fprintf(t, "%s\t%s: %s\n", b.File, b.Rule, b.Reason)
	}
	return t.Flush()
}

// findings plays the scenes that searches and hunts have left, and says which does not hold.
func (s *session) findings() *cobra.Command {
	seeds := 1
	c := &cobra.Command{Use: "findings [SCENE...]", Short: "Play kept findings: rules hold and each delivers at least its floor", Args: cobra.ArbitraryArgs,
		Example: "  spanflow-lab findings\n  spanflow-lab findings hunted/*.toml --seeds 8",
		RunE: cli.Run(func(args []string) error {
			if len(args) == 0 {
				args = scenario.Findings()
			}
			var arms []experiment.Arm
			for _, name := range args {
				arm, err := s.arm(name)
				if err != nil {
					return err
				}
				arms = append(arms, arm)
			}
			failed := 0
			t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
			fmt.Fprintln(t, "SCENE\tWORST G\tFLOOR\tRULES")
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
				return fmt.Errorf("%d of %d findings do not hold", failed, len(arms))
			}
			return nil
		})}
	c.Flags().IntVar(&seeds, "seeds", seeds, "seeds of each, from its own on; the floor is for its own")
	s.policy = "module"
	c.Flags().StringVar(&s.policy, "policy", "module", "who decides")
	return c
}
