// Package commands is the laboratory's command line.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spanflow/internal/cli"
	"spanflow/lab/experiment"
	"spanflow/lab/load"
	"spanflow/lab/report"
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
	seed     uint64
	seeds    int
}

// Main runs a command line and returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	s := &session{ctx: ctx, out: out, err: errOut}
	return cli.Main(s.root(), args, out, errOut)
}

func (s *session) root() *cobra.Command {
	root := &cobra.Command{Use: "spanflow-lab", Short: "The laboratory of spanflow", Args: cobra.NoArgs,
		Long: `Plays scenes: partners with places, queues, limits and troubles, forwarders that are the real decision module, and
open-loop load. Simulated days give the same result for the same scene and seed. 'spanflow-lab load' loads a real forwarder.

Exit codes: 0 fine; 1 a rule was broken, or it could not be done; 2 the command line cannot be understood.`,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	root.PersistentFlags().BoolVar(&s.json, "json", false, "output for programs, as JSON")
	root.PersistentFlags().BoolVarP(&s.quiet, "quiet", "q", false, "no progress")
	root.AddCommand(s.scenes(), s.run(), s.compare(), s.sweep(), s.search(), s.hunt(), s.findings(), s.real(), s.load(),
		s.capacityCommand())
	return root
}

func (s *session) policyFlags(c *cobra.Command) *cobra.Command {
	c.Flags().StringVar(&s.policy, "policy", "module", "who decides: module, "+strings.Join(slices.Sorted(maps.Keys(sim.Baselines)), ", "))
	c.Flags().Uint64Var(&s.seed, "seed", 0, "the first seed; 0: the scene's")
	c.Flags().IntVar(&s.seeds, "seeds", 1, "how many seeds")
	return c
}

func policy(name string) (sim.Maker, error) {
	if name == "module" {
		return sim.SchedulerPolicy, nil
	}
	if m := sim.Baselines[name]; m != nil {
		return m, nil
	}
	return nil, fmt.Errorf("unknown policy %q", name)
}

func (s *session) arm(name string) (experiment.Arm, error) {
	sc, err := scenario.Read(name)
	if err != nil {
		return experiment.Arm{}, err
	}
	m, err := policy(s.policy)
	return experiment.Arm{Name: sc.Name, Scenario: sc, NewPolicy: m}, err
}

func (s *session) from(sc *scenario.Scenario) []uint64 {
	from := s.seed
	if from == 0 {
		from = sc.Seed
	}
	return experiment.Seeds(from, max(1, s.seeds))
}

// progress tells how many of so many are done, and the time left.
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

func (s *session) scenes() *cobra.Command {
	return &cobra.Command{Use: "scenes", Short: "List the scenes that come with the laboratory, and the troubles there are", Args: cobra.NoArgs,
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
			for _, k := range slices.Sorted(maps.Keys(scenario.FaultKinds)) {
				fmt.Fprintf(t, "%s\t%s\n", k, scenario.FaultKinds[k])
			}
			return t.Flush()
		})}
}

func (s *session) run() *cobra.Command {
	html := ""
	c := s.policyFlags(&cobra.Command{Use: "run SCENE", Short: "Play a scene, simulated", Args: cobra.ExactArgs(1),
		Example: "  spanflow-lab run one-partner-hangs --seeds 8\n  spanflow-lab run my.toml --html report.html",
		RunE: cli.Run(func(args []string) error {
			arm, err := s.arm(args[0])
			if err != nil {
				return err
			}
			seeds := s.from(arm.Scenario)
			results := experiment.Play(arm, seeds, s.progress(len(seeds)))
			if html != "" {
				f, err := os.Create(html)
				if err != nil {
					return err
				}
				if err := errors.Join(report.Write(f, arm.Scenario, results), f.Close()); err != nil {
					return err
				}
			}
			if s.json {
				if err := cli.Print(s.out, results); err != nil {
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
		})})
	c.Flags().StringVar(&html, "html", "", "write a page with plots to this file")
	return c
}

func (s *session) printResults(results []*sim.Result) {
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "SEED\tG\tDOCUMENTS\tSERVED\tLATE\tTURNED AWAY\tRETURNED\tABANDONED\tP50\tP99\tRULES")
	for _, r := range results {
		rules := map[string]int{}
		for _, b := range r.Violations {
			rules[string(b.Rule)]++
		}
		kept := "kept"
		if len(rules) > 0 {
			kept = fmt.Sprint(rules)
		}
		fmt.Fprintf(t, "%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f s\t%.3f s\t%s\n", r.Seed, r.G, r.Messages, r.Served, r.Late, r.Refused,
			r.FinalAnswers["returned"], r.FinalAnswers["abandoned"], r.Latency.P50, r.Latency.P99, kept)
	}
	t.Flush()
}

func (s *session) compare() *cobra.Command {
	other := ""
	c := s.policyFlags(&cobra.Command{Use: "compare SCENE [SCENE]", Short: "Play two arms in pairs by seed and tell what differs", Args: cobra.RangeArgs(1, 2),
		Long: `Plays two scenes with one policy, or one scene with --policy and --with, each pair with the same seed. The differences of
the pairs are resampled; where the middle 95% hold 0 it says that no difference is seen.`,
		Example: "  spanflow-lab compare returns-cold --policy backoff --with module --seeds 32",
		RunE: cli.Run(func(args []string) error {
			a, err := s.arm(args[0])
			if err != nil {
				return err
			}
			b := a
			if len(args) == 2 {
				if b, err = s.arm(args[1]); err != nil {
					return err
				}
			} else if other == "" {
				return errors.New("one scene needs --with POLICY")
			}
			if other != "" {
				a.Name, b.Name = s.policy, other
				if b.NewPolicy, err = policy(other); err != nil {
					return err
				}
			}
			seeds := s.from(a.Scenario)
			r := experiment.Compare(a, b, seeds, s.progress(2*len(seeds)))
			if s.json {
				return cli.Print(s.out, r)
			}
			t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
			fmt.Fprintln(t, "ARM\tMEAN G\tWORST G\tMEAN P99\tRULES BROKEN")
			for _, x := range []experiment.Summary{r.A, r.B} {
				fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f s\t%v\n", x.Name, x.Mean, x.Worst, x.P99, x.Violations)
			}
			t.Flush()
			_, err = fmt.Fprintf(s.out, "difference %+.4f, 95%% between %+.4f and %+.4f, of %d pairs: %s\n", r.Mean, r.Low, r.High, len(seeds), r.Verdict)
			return err
		})})
	c.Flags().StringVar(&other, "with", "", "the other arm's policy")
	return c
}

func (s *session) sweep() *cobra.Command {
	axis, values := "", ""
	c := s.policyFlags(&cobra.Command{Use: "sweep SCENE", Short: "Play a scene along an axis", Args: cobra.ExactArgs(1),
		Example: "  spanflow-lab sweep monday-morning --axis load --values 0.5,1,2,4 --seeds 4",
		RunE: cli.Run(func(args []string) error {
			arm, err := s.arm(args[0])
			if err != nil {
				return err
			}
			type step struct {
				X float64 `json:"x"`
				experiment.Summary
			}
			var steps []step
			for _, v := range strings.Split(values, ",") {
				x, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
				if err != nil {
					return fmt.Errorf("--values: %q is not a number", v)
				}
				at := arm
				if at.Scenario, err = experiment.Vary(arm.Scenario, axis, x); err != nil {
					return err
				}
				seeds := s.from(arm.Scenario)
				steps = append(steps, step{x, experiment.Summarize(v, experiment.Play(at, seeds, s.progress(len(seeds))))})
			}
			if s.json {
				return cli.Print(s.out, steps)
			}
			t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
			fmt.Fprintf(t, "%s\tMEAN G\tWORST G\tMEAN P99\tRULES BROKEN\n", strings.ToUpper(axis))
			for _, x := range steps {
				fmt.Fprintf(t, "%g\t%.3f\t%.3f\t%.3f s\t%v\n", x.X, x.Mean, x.Worst, x.P99, x.Violations)
			}
			return t.Flush()
		})})
	c.Flags().StringVar(&axis, "axis", "load", strings.Join(slices.Sorted(maps.Keys(experiment.Axes)), ", "))
	c.Flags().StringVar(&values, "values", "0.5,1,2", "values of the axis; load, trouble and destinations: times what the scene has")
	return c
}

func (s *session) search() *cobra.Command {
	lasts, most, keep, folder := time.Minute, 1<<30, 3, ""
	c := s.policyFlags(&cobra.Command{Use: "search [SCENE]", Short: "Draw scenes in which the policy does badly, and shrink the worst", Args: cobra.MaximumNArgs(1),
		Long: `Draws sizes, load and troubles on the partners of a scene (calm, if none is named). A broken rule counts most, then what
the best baseline that keeps the rules delivers more. The worst are shrunk as long as three quarters of the loss stay.`,
		RunE: cli.Run(func(args []string) error {
			arm, err := s.arm(append(args, "calm")[0])
			if err != nil {
				return err
			}
			if folder != "" { // made, or refused, before the work
				if err := os.MkdirAll(folder, 0o755); err != nil {
					return fmt.Errorf("--out: %w", err)
				}
				probe, err := os.CreateTemp(folder, ".probe")
				if err != nil {
					return fmt.Errorf("--out: %w", err)
				}
				probe.Close()
				os.Remove(probe.Name())
			}
			ctx, cancel := context.WithTimeout(s.ctx, lasts)
			defer cancel()
			tell := func(n int, worst float64) {
				if !s.quiet && !s.json {
					fmt.Fprintf(s.err, "\r%d scenes, worst loss %.3f   ", n, worst)
				}
			}
			found := experiment.Search(ctx, arm.Scenario, arm.NewPolicy, max(1, s.seed), most, keep, tell)
			for _, f := range found {
				fmt.Fprintf(s.out, "\n%s: G %.3f, best baseline %.3f, rules broken %v, shrunk by %d steps\n", f.Scenario.Name, f.G, f.Best, f.Rules, f.Steps)
				text, err := f.Text()
				if err != nil {
					return err
				}
				if folder == "" {
					continue
				}
				path := filepath.Join(folder, f.Scenario.Name+".toml")
				if err := os.WriteFile(path, text, 0o644); err != nil {
					return err
				}
				fmt.Fprintln(s.out, "written to", path)
			}
			return nil
		})})
	c.Flags().DurationVar(&lasts, "lasts", lasts, "time for drawing")
	c.Flags().IntVar(&most, "most", most, "scenes at most")
	c.Flags().IntVar(&keep, "keep", keep, "how many to keep")
	c.Flags().StringVar(&folder, "out", "", "folder for the findings, as scenes")
	return c
}

func (s *session) real() *cobra.Command {
	r, html := sim.Real{Memory: 192, Sockets: 1024}, ""
	c := &cobra.Command{Use: "real SCENE", Short: "Play a scene with forwarder processes and sockets, in real time", Args: cobra.ExactArgs(1),
		Long: `Starts a built forwarder for each of the scene's, with partners, discovery and clients on loopback, and plays the scene in
real time; then the same seed simulated. Beyond loopback without privileges, and left out: reap and list; silence is a
partner that takes calls and says nothing.`,
		Example: "  spanflow-lab real forwarders-restart-in-a-wave --program bin/spanflow --logs logs",
		RunE: cli.Run(func(args []string) error {
			sc, err := scenario.Read(args[0])
			if err != nil {
				return err
			}
			if r.Program, err = filepath.Abs(r.Program); err != nil {
				return err
			}
			if r.Folder == "" {
				if r.Folder, err = os.MkdirTemp("", "spanflow-lab"); err != nil {
					return err
				}
				defer os.RemoveAll(r.Folder)
			}
			if s.seed == 0 {
				s.seed = sc.Seed
			}
			if !s.quiet && !s.json {
				fmt.Fprintf(s.err, "playing for %s\n", sc.Length+sc.Drain)
			}
			result, err := r.Play(s.ctx, sc, s.seed)
			if err != nil {
				return err
			}
			twin := sim.Play(sc, s.seed, sim.SchedulerPolicy)
			if html != "" {
				f, err := os.Create(html)
				if err != nil {
					return err
				}
				if err := errors.Join(report.Write(f, sc, []*sim.Result{result, twin}), f.Close()); err != nil {
					return err
				}
			}
			if s.json {
				return cli.Print(s.out, []*sim.Result{result, twin})
			}
			fmt.Fprintln(s.out, "on sockets, then simulated:")
			s.printResults([]*sim.Result{result, twin})
			if len(result.Violations) > 0 {
				return fmt.Errorf("rule broken: %s: %s", result.Violations[0].Rule, result.Violations[0].Reason)
			}
			return nil
		})}
	f := c.Flags()
	f.StringVar(&r.Program, "program", "bin/spanflow", "the built forwarder")
	f.StringVar(&r.Folder, "logs", "", "folder for logs, ledgers and configurations (default: none is kept)")
	f.IntVar(&r.Memory, "memory-mb", r.Memory, "memory that each forwarder is told")
	f.IntVar(&r.Sockets, "sockets", r.Sockets, "descriptors that each forwarder is told")
	f.Uint64Var(&s.seed, "seed", 0, "the seed; 0: the scene's")
	f.StringVar(&html, "html", "", "write a page with plots to this file")
	return c
}

func (s *session) load() *cobra.Command {
	r := load.Run{Prefix: fmt.Sprintf("%x-", time.Now().UnixNano())}
	var rate, seconds, life, speed, skew float64
	var shape, trace, kinds string
	var dests, tenants, keys int
	var numbers, even bool
	c := &cobra.Command{Use: "load ADDRESS", Short: "Load a real forwarder's RESP front, open loop", Args: cobra.ExactArgs(1),
		Long: `Hands documents in when they are due, whatever becomes of earlier ones. Times count from the intended moment: a forwarder
that stalls is charged for every arrival that met the stall. What a closed loop would have told is printed beside it.

A shape is a list of SECOND:SHARE points of --rate, joined by straight lines: 0:1,10:1,20:4. A trace is JSON lines
(.jsonl) or CSV with a head (.csv): at (seconds), dest, type, and if told tenant, key, number, life, bytes.`,
		Example: "  spanflow-lab load 127.0.0.1:6379 --rate 200 --for 30 --shape 0:1,10:3 --types status-update\n  spanflow-lab load 127.0.0.1:6379 --trace monday.jsonl --speed 10",
		RunE: cli.Run(func(args []string) error {
			r.Addr, r.TimeToLive = args[0], life
			if !s.quiet && !s.json {
				r.Progress = func(sent, open int) { fmt.Fprintf(s.err, "\r%d sent, %d open   ", sent, open) }
			}
			var src load.Source
			var t *load.Trace
			if trace != "" {
				var err error
				if t, err = load.Open(trace, speed); err != nil {
					return err
				}
				defer t.Close()
				src = t
			} else {
				points, err := shapeOf(shape, rate)
				if err != nil {
					return err
				}
				if dests < 1 || seconds <= 0 {
					return errors.New("--dests and --for have to be over 0")
				}
				seed := s.seed
				if seed == 0 {
					seed = 1
				}
				random := rand.New(rand.NewPCG(seed, 5))
				d := &load.Generator{Arrivals: load.Poisson(points, seconds, rand.New(rand.NewPCG(seed, 6))), Random: random, DestinationPicker: load.Zipf(dests, skew),
					Types: strings.Split(kinds, ","), Keys: keys, IdempotencyKeys: numbers}
				if even {
					d.Arrivals = load.Even(points, seconds)
				}
				for i := range dests {
					d.Destinations = append(d.Destinations, uint64(i+1))
				}
				if tenants > 0 {
					d.TenantPicker = load.Zipf(tenants, 1)
					for i := range tenants {
						d.Tenants = append(d.Tenants, fmt.Sprintf("store-%d", i+1))
					}
				}
				src = d
			}
			rep, err := r.Do(s.ctx, src)
			if rep == nil {
				return err
			}
			if t != nil && t.Err != nil {
				return t.Err
			}
			if s.json {
				return cli.Print(s.out, rep)
			}
			fmt.Fprintf(s.out, "\n%d sent in %.1f s: %v; the tool itself late by %.3f s at most\n", rep.Sent, rep.Lasted, rep.Answers, rep.MostLate)
			w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "COUNTED\tP50\tP90\tP99\tP99.9\tMOST")
			for _, x := range []struct {
				name string
				t    load.Latencies
			}{{"from the intended moment", rep.Intended}, {"from the sending, as a closed loop", rep.Naive}} {
				fmt.Fprintf(w, "%s\t%.4f s\t%.4f s\t%.4f s\t%.4f s\t%.4f s\n", x.name, x.t.P50, x.t.P90, x.t.P99, x.t.P999, x.t.Max)
			}
			return w.Flush()
		})}
	f := c.Flags()
	f.Float64Var(&rate, "rate", 50, "documents a second")
	f.Float64Var(&seconds, "for", 10, "seconds")
	f.StringVar(&shape, "shape", "", "the rate over time")
	f.BoolVar(&even, "even", false, "at even distances, not at random")
	f.StringVar(&trace, "trace", "", "a recorded load to play")
	f.Float64Var(&speed, "speed", 1, "how many times as fast a trace is played")
	f.IntVar(&r.Connections, "connections", 100, "connections at most")
	f.DurationVar(&r.Timeout, "timeout", 400*time.Millisecond, "an answer that takes longer is none")
	f.Float64Var(&life, "life", 10, "seconds that a document may take")
	f.IntVar(&r.Bytes, "bytes", 400, "of a body")
	f.IntVar(&dests, "dests", 1, "destinations, numbered from 1")
	f.Float64Var(&skew, "skew", 0, "heavy tail: the i-th destination gets 1/i^skew")
	f.IntVar(&tenants, "tenants", 0, "tenants, named store-1 and so on, with a heavy tail")
	f.StringVar(&kinds, "types", "status-update", "document types, a,b,c")
	f.IntVar(&keys, "keys", 0, "ordering keys of each destination; 0: none")
	f.BoolVar(&numbers, "numbers", false, "each document gets a number by which a repeat is known")
	f.Uint64Var(&s.seed, "seed", 0, "of what is drawn")
	return c
}

func shapeOf(text string, rate float64) (load.Shape, error) {
	if text == "" {
		return load.Shape{{Rate: rate}}, load.Shape{{Rate: rate}}.Check()
	}
	var shape load.Shape
	for _, p := range strings.Split(text, ",") {
		at, share, ok := strings.Cut(p, ":")
		x, err1 := strconv.ParseFloat(strings.TrimSpace(at), 64)
		y, err2 := strconv.ParseFloat(strings.TrimSpace(share), 64)
		if !ok || err1 != nil || err2 != nil {
			return nil, fmt.Errorf("--shape: %q is not SECOND:SHARE", p)
		}
		shape = append(shape, load.Point{At: x, Rate: y * rate})
	}
	return shape, shape.Check()
}
