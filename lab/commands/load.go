package commands

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spanflow/internal/cli"
	"spanflow/lab/load"
)

// Random number streams that are derived from the seed of a load.
const (
	messageStream = 5
	arrivalStream = 6
)

// loadCommand holds the flags of 'load'.
type loadCommand struct {
	*session
	run                         load.Run
	trace                       string
	speed                       float64
	rate, seconds               float64
	shape                       string
	even                        bool
	destinations, tenants, keys int
	skew                        float64
	types                       string
	idempotencyKeys             bool
}

func (s *session) load() *cobra.Command {
	l := &loadCommand{session: s, run: load.Run{Prefix: fmt.Sprintf("%x-", time.Now().UnixNano())}}
	c := &cobra.Command{Use: "load ADDRESS", Short: "Send open-loop load to a real forwarder's RESP frontend", Args: cobra.ExactArgs(1),
		Long: `Submits each message at its intended time, regardless of the answers to earlier ones. Latencies are measured from the
intended time, so that a stall of the forwarder shows in the latency of every message that arrives during it. The
latencies that a closed loop would have reported are printed for comparison.

A shape is a list of SECOND:SHARE points of --rate, joined by straight lines, such as 0:1,10:1,20:4. A trace is a file of
JSON lines (.jsonl) or CSV with a header (.csv) with the fields at (seconds), dest, type, and optionally tenant, key,
number, life, bytes.`,
		Example: "  spanflow-lab load 127.0.0.1:6379 --rate 200 --for 30 --shape 0:1,10:3 --types status-update\n" +
			"  spanflow-lab load 127.0.0.1:6379 --trace monday.jsonl --speed 10",
		RunE: cli.Run(func(args []string) error {
			l.run.Addr = args[0]
			return l.runLoad()
		})}
	f := c.Flags()
	f.Float64Var(&l.rate, "rate", 50, "messages per second")
	f.Float64Var(&l.seconds, "for", 10, "duration in seconds")
	f.StringVar(&l.shape, "shape", "", "rate over time, as SECOND:SHARE points")
	f.BoolVar(&l.even, "even", false, "send at even intervals instead of random ones")
	f.StringVar(&l.trace, "trace", "", "file with a recorded load to replay")
	f.Float64Var(&l.speed, "speed", 1, "factor by which a trace is sped up")
	f.IntVar(&l.run.Connections, "connections", 100, "maximum number of connections")
	f.DurationVar(&l.run.Timeout, "timeout", 400*time.Millisecond, "time after which a message counts as unanswered")
	f.Float64Var(&l.run.TimeToLive, "life", 10, "time to live of messages, in seconds")
	f.IntVar(&l.run.Bytes, "bytes", 400, "size of message bodies, in bytes")
	f.IntVar(&l.destinations, "dests", 1, "number of destinations; their ids start at 1")
	f.Float64Var(&l.skew, "skew", 0, "skew of the destinations; the i-th one has the weight 1/i^skew")
	f.IntVar(&l.tenants, "tenants", 0, "number of tenants, named store-1 and so on; the i-th one has the weight 1/i")
	f.StringVar(&l.types, "types", "status-update", "comma-separated message types")
	f.IntVar(&l.keys, "keys", 0, "ordering keys per destination; 0 means none")
	f.BoolVar(&l.idempotencyKeys, "numbers", false, "add an idempotency key to each message")
	f.Uint64Var(&s.seed, "seed", 0, "random seed")
	return c
}

// runLoad sends the load and prints its report.
func (l *loadCommand) runLoad() error {
	if !l.quiet && !l.json {
		l.run.Progress = func(sent, open int) { fmt.Fprintf(l.err, "\r%d sent, %d open   ", sent, open) }
	}
	if l.trace != "" {
		return l.runTrace()
	}
	generator, err := l.generator()
	if err != nil {
		return err
	}
	report, err := l.run.Do(l.ctx, generator)
	if report == nil {
		return err
	}
	return l.printReport(report)
}

func (l *loadCommand) runTrace() error {
	trace, err := load.Open(l.trace, l.speed)
	if err != nil {
		return err
	}
	defer trace.Close()
	report, err := l.run.Do(l.ctx, trace)
	if report == nil {
		return err
	}
	if trace.Err != nil {
		return trace.Err
	}
	return l.printReport(report)
}

// generator returns the message generator for the flags.
func (l *loadCommand) generator() (*load.Generator, error) {
	shape, err := parseShape(l.shape, l.rate)
	if err != nil {
		return nil, err
	}
	if l.destinations < 1 || l.seconds <= 0 {
		return nil, errors.New("--dests and --for must be greater than 0")
	}
	seed := max(1, l.seed)
	g := &load.Generator{
		Arrivals:          load.Poisson(shape, l.seconds, rand.New(rand.NewPCG(seed, arrivalStream))),
		Random:            rand.New(rand.NewPCG(seed, messageStream)),
		DestinationPicker: load.Zipf(l.destinations, l.skew),
		Types:             strings.Split(l.types, ","),
		Keys:              l.keys,
		IdempotencyKeys:   l.idempotencyKeys,
	}
	if l.even {
		g.Arrivals = load.Even(shape, l.seconds)
	}
	for i := range l.destinations {
		g.Destinations = append(g.Destinations, uint64(i+1))
	}
	if l.tenants > 0 {
		g.TenantPicker = load.Zipf(l.tenants, 1)
		for i := range l.tenants {
			g.Tenants = append(g.Tenants, fmt.Sprintf("store-%d", i+1))
		}
	}
	return g, nil
}

func (l *loadCommand) printReport(r *load.Report) error {
	if l.json {
		return cli.PrintJSON(l.out, r)
	}
	fmt.Fprintf(l.out, "\n%d sent in %.1f s: %v; sent at most %.3f s late by this tool\n", r.Sent, r.Seconds, r.Answers, r.MaxLateness)
	t := tabwriter.NewWriter(l.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "LATENCY\tP50\tP90\tP99\tP99.9\tMAX")
	for _, row := range []struct {
		name string
		load.Latencies
	}{{"from the intended time", r.Intended}, {"from sending, as in a closed loop", r.Naive}} {
		fmt.Fprintf(t, "%s\t%.4f s\t%.4f s\t%.4f s\t%.4f s\t%.4f s\n", row.name, row.P50, row.P90, row.P99, row.P999, row.Max)
	}
	return t.Flush()
}

// parseShape parses a shape given as comma-separated SECOND:SHARE points of a rate. An empty text means a constant
// rate.
func parseShape(text string, rate float64) (load.Shape, error) {
	if text == "" {
		shape := load.Shape{{Rate: rate}}
		return shape, shape.Check()
	}
	var shape load.Shape
	for _, point := range strings.Split(text, ",") {
		second, share, ok := strings.Cut(point, ":")
		at, errSecond := strconv.ParseFloat(strings.TrimSpace(second), 64)
		fraction, errShare := strconv.ParseFloat(strings.TrimSpace(share), 64)
		if !ok || errSecond != nil || errShare != nil {
			return nil, fmt.Errorf("--shape: %q is not SECOND:SHARE", point)
		}
		shape = append(shape, load.Point{At: at, Rate: fraction * rate})
	}
	return shape, shape.Check()
}
