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

// session holds the streams and the flags that commands share.
type session struct {
	ctx      context.Context
	out, err io.Writer
	json     bool
	quiet    bool
	policy   string
	seed     uint64 // 0 means the scenario's seed
	seeds    int
}

// Main runs a command line, without the program's name, and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	s := &session{ctx: ctx, out: out, err: errOut}
	return cli.Main(s.root(), args, out, errOut)
}

func (s *session) root() *cobra.Command {
	root := &cobra.Command{Use: "spanflow-lab", Short: "Simulation and load testing for spanflow", Args: cobra.NoArgs,
		Long: `Simulates scenarios: destinations with concurrency, queues, limits and faults, forwarders with the real scheduler, and
open-loop load. Simulated runs give the same result for the same scenario and seed. 'spanflow-lab load' sends load to a
real forwarder.

Exit codes: 0 success; 1 a rule was broken or the command failed; 2 the command line is invalid.`,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	root.PersistentFlags().BoolVar(&s.json, "json", false, "print JSON")
	root.PersistentFlags().BoolVarP(&s.quiet, "quiet", "q", false, "do not print progress")
	root.AddCommand(s.scenarios(), s.run(), s.compare(), s.sweep(), s.search(), s.hunt(), s.findings(), s.real(), s.load(),
		s.capacityCommand())
	return root
}

// policyFlags adds the flags for the policy and the seeds.
func (s *session) policyFlags(c *cobra.Command) *cobra.Command {
	names := strings.Join(slices.Sorted(maps.Keys(sim.Baselines)), ", ")
	c.Flags().StringVar(&s.policy, "policy", schedulerPolicy, "dispatch policy: "+schedulerPolicy+", "+names)
	c.Flags().Uint64Var(&s.seed, "seed", 0, "first seed; 0 means the scenario's seed")
	c.Flags().IntVar(&s.seeds, "seeds", 1, "number of seeds")
	return c
}

// schedulerPolicy is the name of the real scheduler among the policies.
const schedulerPolicy = "module"

func policy(name string) (sim.PolicyFactory, error) {
	if name == schedulerPolicy {
		return sim.SchedulerPolicy, nil
	}
	if newPolicy := sim.Baselines[name]; newPolicy != nil {
		return newPolicy, nil
	}
	return nil, fmt.Errorf("unknown policy %q", name)
}

// arm reads a scenario by its name or file and combines it with the policy of the flags.
func (s *session) arm(name string) (experiment.Arm, error) {
	sc, err := scenario.Read(name)
	if err != nil {
		return experiment.Arm{}, err
	}
	newPolicy, err := policy(s.policy)
	return experiment.Arm{Name: sc.Name, Scenario: sc, NewPolicy: newPolicy}, err
}

// seedsFor returns the seeds that the flags select for simulating a scenario.
func (s *session) seedsFor(sc *scenario.Scenario) []uint64 {
	from := s.seed
	if from == 0 {
		from = sc.Seed
	}
	return experiment.Seeds(from, max(1, s.seeds))
}

// progress returns a function that prints the number of finished runs and the estimated time left. The caller calls
// it after each run. It is nil if progress is not printed.
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
