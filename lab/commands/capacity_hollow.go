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
	c := &cobra.Command{Use: "hollow [SCENARIO...]", Short: "Bring list changes into force in a fleet of hollow forwarders",
		Long: `Starts forwarders without clients and without calls to targets, many in a process, with the real discovery client, module
and sockets, and a stand-in for discovery in a process of its own, all on 127.0.0.1. Measures how long a change of the
list takes until it is in force at all of them, and what it costs. Without a scenario all are run:

  idle     nothing happens
  change   the list changes, several times
  restart  a third is restarted at once, and the list changes
  outage   discovery is away, and the list changes meanwhile; times count from its return
  zone     a zone is cut off from discovery, and the list changes meanwhile; its times count from its end
  whole    all start at once without a list and are told the whole of it

The number of forwarders is reduced, and the note says so, where the memory that one was measured to need does not allow
them all. Interrupted, it ends all processes and prints what was finished.`,
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
	f.IntVar(&config.Forwarders, "forwarders", config.Forwarders, "hollow forwarders in all")
	f.IntVar(&config.Processes, "processes", config.Processes, "processes that they are spread over")
	f.IntVar(&config.Destinations, "destinations", config.Destinations, "destinations on the list, with one target each")
	f.IntVar(&config.Changes, "changes", config.Changes, "changes of the scenario 'change', one after another")
	f.DurationVar(&config.Duration, "lasts", config.Duration, "of the idle window, and of an outage or a cut")
	f.IntVar(&memoryMB, "memory", 0, "MB for all processes together; 0: a quarter of the machine's, at most half")
	f.IntVar(&listMB, "list-limit", 0, "MB that a forwarder takes as one object of the watch; 0: its own limit")
	f.Uint64Var(&config.Seed, "seed", config.Seed, "of what changes and of each forwarder's chance")
	f.StringVar(&into, "into", "", "file of results that takes the trials in, in place of earlier ones of the same size")
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

// hollowProcessCommand is what 'spanflow-lab capacity hollow' starts.
func (s *session) hollowProcessCommand() *cobra.Command {
	return &cobra.Command{Use: hollowProcess + " ROLE", Hidden: true, Args: cobra.ExactArgs(1), Short: "A process of 'hollow'",
		RunE: cli.Run(func(args []string) error {
			return hollow.Serve(s.ctx, hollow.Role(args[0]), os.Stdin, s.out)
		})}
}
