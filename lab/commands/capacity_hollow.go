package commands

import (
	"context"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spanflow/internal/cli"
	"spanflow/lab/capacity"
	"spanflow/lab/capacity/hollow"
)

const hollowProcess = "hollow-process"

// hollowCommand is 'spanflow-lab capacity hollow'.
func (s *session) hollowCommand() *cobra.Command {
	config := hollow.Config{Forwarders: 500, Processes: 4, Destinations: 1700, Changes: 5, Duration: 10 * time.Second, Seed: 1}
	memoryMB, listMB, into := 0, 0, ""
	c := &cobra.Command{Use: "hollow [SCENARIO...]", Short: "Measure list changes in a fleet of hollow (lightweight simulated) forwarders",
		Long: `Starts hollow forwarders on 127.0.0.1: lightweight simulated forwarders, many per process, with the real discovery client,
scheduler and sockets, but without clients and without calls to endpoints. An emulated discovery server runs in a separate
process. Measures how long a change of the endpoint list takes until it is in force at all forwarders, and what it costs.
If no scenario is named, all of them are run:

  idle     nothing happens
  change   the list changes several times
  restart  a third of the forwarders restart at the same time, and the list changes
  outage   the list changes while discovery is down; times are measured from its return
  zone     the list changes while a zone is cut off from discovery; times of that zone are measured from the end of the cut
  whole    all forwarders start at the same time without a list and receive the full list

If the measured memory of one forwarder does not allow for all of them, fewer are started, and the note says so. When
interrupted, the command ends all processes and prints the finished trials.`,
		Example: "  spanflow-lab capacity hollow change --forwarders 500 --processes 4 --destinations 1700 --into docs/capacity/measured.json",
		RunE: cli.Run(func(args []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			config.Program = []string{self, "capacity", hollowProcess}
			config.MemoryBytes, config.ListBytes = int64(memoryMB)<<20, listMB<<20
			config.Scenarios = hollow.Scenarios
			if len(args) > 0 {
				config.Scenarios = nil
			}
			for _, name := range args {
				config.Scenarios = append(config.Scenarios, hollow.Scenario(name))
			}
			if !s.quiet && !s.json {
				config.Progress = func(line string) { fmt.Fprintln(s.err, line) }
			}
			trials, err := hollow.Run(s.ctx, config)
			if errors.Is(err, context.Canceled) {
				err = errors.New("interrupted")
			}
			if into != "" && len(trials) > 0 {
				err = errors.Join(err, hollow.SaveTrials(into, trials))
			}
			return errors.Join(err, s.printFleets(trials))
		})}
	f := c.Flags()
	f.IntVar(&config.Forwarders, "forwarders", config.Forwarders, "total number of hollow forwarders")
	f.IntVar(&config.Processes, "processes", config.Processes, "number of processes that share the forwarders")
	f.IntVar(&config.Destinations, "destinations", config.Destinations, "number of destinations on the list, with one endpoint each")
	f.IntVar(&config.Changes, "changes", config.Changes, "number of successive list changes in the scenario 'change'")
	f.DurationVar(&config.Duration, "lasts", config.Duration, "duration of the idle period, the outage or the zone cut")
	f.IntVar(&memoryMB, "memory", 0, "memory limit for all processes together, in MB, at most half of the machine's memory; 0 means a quarter of the machine's memory")
	f.IntVar(&listMB, "list-limit", 0, "largest object that a forwarder accepts on a watch, in MB; 0 means the built-in limit")
	f.Uint64Var(&config.Seed, "seed", config.Seed, "random seed for the list changes and for each forwarder")
	f.StringVar(&into, "into", "", "results file to store the trials in; replaces earlier trials of the same size")
	return c
}

func (s *session) printFleets(trials []capacity.FleetTrial) error {
	if s.json {
		return cli.PrintJSON(s.out, trials)
	}
	if len(trials) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "SCENARIO\tFORWARDERS\tDESTINATIONS\tCHANGES\tP50\tP99\tLAST\tMISSED\tBYTES/CHANGE\tCPU/CHANGE\tIDLE BYTES/S\tIDLE CPU\tMEMORY\tSERVER BYTES\tSERVER CPU")
	for _, r := range trials {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.3f s\t%.3f s\t%.3f s\t%d\t%.0f\t%.3f ms\t%.1f\t%.4f%%\t%.2f MB\t%.0f\t%.2f s\n", r.Scenario, r.Forwarders,
			r.Destinations, r.Changes, r.InForce50, r.InForce99, r.InForceLast, r.Missed, r.ForwarderBytesPerChange,
			1000*r.ForwarderCPUPerChange, r.ForwarderIdleBytes, 100*r.ForwarderIdleCPU, r.ForwarderMemory/(1<<20), r.ServerBytes, r.ServerCPU)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range trials {
		fmt.Fprintf(s.out, "%s: %s\n", r.Scenario, r.Note)
	}
	return nil
}

// hollowProcessCommand is a hidden command, which runs in the processes that 'spanflow-lab capacity hollow' starts.
func (s *session) hollowProcessCommand() *cobra.Command {
	return &cobra.Command{Use: hollowProcess + " ROLE", Hidden: true, Args: cobra.ExactArgs(1), Short: "Process started by 'capacity hollow'",
		RunE: cli.Run(func(args []string) error {
			return hollow.Serve(s.ctx, hollow.Role(args[0]), os.Stdin, s.out)
		})}
}
