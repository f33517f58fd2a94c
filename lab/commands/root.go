// Package commands is the laboratory's command line.
package commands

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/spf13/cobra"

	"spanflow/internal/cli"
	"spanflow/lab/experiment"
	"spanflow/lab/scenario"
	"spanflow/lab/sim"
)

// session is what the commands work with.
type session struct {
	ctx      context.Context
	out, err io.Writer
	json     bool
	quiet    bool
	policy   string
	seed     uint64 // 0: the scenario's
	seeds    int
}

// Main runs a command line and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	s := &session{ctx: ctx, out: out, err: errOut}
	return cli.Main(s.root(), args, out, errOut)
}

func (s *session) root() *cobra.Command {
	root := &cobra.Command{Use: "spanflow-lab", Short: "The laboratory of spanflow", Args: cobra.NoArgs,
		Long: `Plays scenarios: destinations with concurrency, queues, limits and faults, forwarders with the real scheduler, and
open-loop load. Simulated runs give the same result for the same scenario and seed. 'spanflow-lab load' loads a real
forwarder.

Exit codes: 0 fine; 1 a rule was broken, or it could not be done; 2 the command line cannot be understood.`,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	root.PersistentFlags().BoolVar(&s.json, "json", false, "output for programs, as JSON")
	root.PersistentFlags().BoolVarP(&s.quiet, "quiet", "q", false, "no progress")
	root.AddCommand(s.scenarios(), s.run(), s.compare(), s.sweep(), s.search(), s.hunt(), s.findings(), s.real(), s.load(),
		s.capacityCommand())
	return root
}

// policyFlags adds the flags that say who decides and which seeds are played.
func (s *session) policyFlags(c *cobra.Command) *cobra.Command {
	names := strings.Join(slices.Sorted(maps.Keys(sim.Baselines)), ", ")
	c.Flags().StringVar(&s.policy, "policy", schedulerPolicy, "who decides: "+schedulerPolicy+", "+names)
	c.Flags().Uint64Var(&s.seed, "seed", 0, "the first seed; 0: the scenario's")
	c.Flags().IntVar(&s.seeds, "seeds", 1, "how many seeds")
	return c
}

// schedulerPolicy is the scheduler's name among the policies.
const schedulerPolicy = "module"

func policy(name string) (sim.PolicyFactory, error) {
	if name == schedulerPolicy {
		return sim.SchedulerPolicy, nil
	}
	if m := sim.Baselines[name]; m != nil {
		return m, nil
	}
	return nil, fmt.Errorf("unknown policy %q", name)
}

// arm is a scenario by its name or file, with the policy that the flags say.
func (s *session) arm(name string) (experiment.Arm, error) {
	sc, err := scenario.Read(name)
	if err != nil {
		return experiment.Arm{}, err
	}
	m, err := policy(s.policy)
	return experiment.Arm{Name: sc.Name, Scenario: sc, NewPolicy: m}, err
}

// seedsFor are the seeds that the flags say.
func (s *session) seedsFor(sc *scenario.Scenario) []uint64 {
	from := s.seed
	if from == 0 {
		from = sc.Seed
	}
	return experiment.Seeds(from, max(1, s.seeds))
}

// progress returns a function that counts what is done and tells how many of all, and the time left; nil without
// progress.
func (s *session) progress(all int) func() {
	if s.quiet || s.json {
		return nil
	}
	var n atomic.Int64
	began := time.Now()
	return func() {
		done := int(n.Add(1))
		left := time.Duration(float64(time.Since(began)) / float64(done) * float64(all-done)).Round(time.Second)
		end := ""
		if done == all {
			end = "\n"
		}
		fmt.Fprintf(s.err, "\r%d of %d, %s left   %s", done, all, left, end)
	}
}
