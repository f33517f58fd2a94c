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

// The streams of random numbers that a load draws from its seed.
const (
	messageStream = 5
	arrivalStream = 6
)

// loadCommand is what the flags of 'load' say.
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
	c := &cobra.Command{Use: "load ADDRESS", Short: "Load a real forwarder's RESP frontend, open loop", Args: cobra.ExactArgs(1),
		Long: `Submits messages when they are due, whatever becomes of earlier ones. Latencies count from the intended moment: a
forwarder that stalls is charged for every arrival that met the stall. What a closed loop would have told is printed
beside it.

A shape is a list of SECOND:SHARE points of --rate, joined by straight lines: 0:1,10:1,20:4. A trace is JSON lines
(.jsonl) or CSV with a head (.csv): at (seconds), dest, type, and optionally tenant, key, number, life, bytes.`,
		Example: "  spanflow-lab load 127.0.0.1:6379 --rate 200 --for 30 --shape 0:1,10:3 --types status-update\n" +
			"  spanflow-lab load 127.0.0.1:6379 --trace monday.jsonl --speed 10",
		RunE: cli.Run(func(args []string) error {
			l.run.Addr = args[0]
			return l.play()
		})}
	f := c.Flags()
	f.Float64Var(&l.rate, "rate", 50, "messages a second")
	f.Float64Var(&l.seconds, "for", 10, "seconds")
	f.StringVar(&l.shape, "shape", "", "the rate over time")
	f.BoolVar(&l.even, "even", false, "at even distances, not at random")
	f.StringVar(&l.trace, "trace", "", "a recorded load to play")
	f.Float64Var(&l.speed, "speed", 1, "how many times as fast a trace is played")
	f.IntVar(&l.run.Connections, "connections", 100, "connections at most")
	f.DurationVar(&l.run.Timeout, "timeout", 400*time.Millisecond, "an answer that takes longer is none")
	f.Float64Var(&l.run.TimeToLive, "life", 10, "seconds that a message may take")
	f.IntVar(&l.run.Bytes, "bytes", 400, "of a body")
	f.IntVar(&l.destinations, "dests", 1, "destinations, numbered from 1")
	f.Float64Var(&l.skew, "skew", 0, "heavy tail: the i-th destination gets 1/i^skew")
	f.IntVar(&l.tenants, "tenants", 0, "tenants, named store-1 and so on, with a heavy tail")
	f.StringVar(&l.types, "types", "status-update", "message types, a,b,c")
	f.IntVar(&l.keys, "keys", 0, "ordering keys of each destination; 0: none")
	f.BoolVar(&l.idempotencyKeys, "numbers", false, "each message gets an idempotency key")
	f.Uint64Var(&s.seed, "seed", 0, "of what is drawn")
	return c
}

// play plays the load and prints what it saw.
func (l *loadCommand) play() error {
	if !l.quiet && !l.json {
		l.run.Progress = func(sent, open int) { fmt.Fprintf(l.err, "\r%d sent, %d open   ", sent, open) }
	}
	if l.trace != "" {
		return l.playTrace()
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

func (l *loadCommand) playTrace() error {
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

// generator draws messages as the flags say.
func (l *loadCommand) generator() (*load.Generator, error) {
	shape, err := parseShape(l.shape, l.rate)
	if err != nil {
		return nil, err
	}
	if l.destinations < 1 || l.seconds <= 0 {
		return nil, errors.New("--dests and --for have to be over 0")
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
	fmt.Fprintf(l.out, "\n%d sent in %.1f s: %v; the tool itself late by %.3f s at most\n", r.Sent, r.Seconds, r.Answers, r.MaxLateness)
	t := tabwriter.NewWriter(l.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "COUNTED\tP50\tP90\tP99\tP99.9\tMOST")
	for _, row := range []struct {
		name string
		load.Latencies
	}{{"from the intended moment", r.Intended}, {"from the sending, as a closed loop", r.Naive}} {
		fmt.Fprintf(t, "%s\t%.4f s\t%.4f s\t%.4f s\t%.4f s\t%.4f s\n", row.name, row.P50, row.P90, row.P99, row.P999, row.Max)
	}
	return t.Flush()
}

// parseShape reads a shape: SECOND:SHARE points of a rate; empty: the rate stays.
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
