package commands

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/spf13/cobra"

	"spanflow/internal/cli"
	"spanflow/lab/capacity"
	"spanflow/lab/capacity/measure"
)

func (s *session) capacityMeasure() *cobra.Command {
	options := measure.Options{Lasts: measure.DefaultLasts}
	memory, into := humanize.Bytes(uint64(measure.DefaultMemory())), ""
	c := &cobra.Command{Use: "measure [ROLE...]", Short: "Measure what each role costs at several sizes, and fit lines",
		Long: `Measures each role, or those named, at five sizes over two decades and fits a straight line to each quantity. A curve
that is not straight is said to be so. Sizes that would not fit into --lasts or --memory are left out, which is told on
standard error with the progress.

` + measure.Describe(),
		Example: "  spanflow-lab capacity measure held-message restart\n  spanflow-lab capacity measure --into docs/capacity/measured.json",
		Args: func(_ *cobra.Command, names []string) error {
			for _, name := range names {
				if _, err := measure.Find(name); err != nil {
					return err
				}
			}
			return nil
		},
		RunE: cli.Run(func(names []string) error {
			bytes, err := humanize.ParseBytes(memory)
			if err != nil {
				return fmt.Errorf("--memory: %w", err)
			}
			if options.Memory = int64(bytes); options.Lasts <= 0 || options.Largest < 0 {
				return errors.New("--lasts has to be over 0, --largest 0 or more")
			}
			if err := measure.CheckMemory(options.Memory); err != nil {
				return fmt.Errorf("--%w", err)
			}
			if options.Program, err = filepath.Abs(options.Program); err != nil {
				return err
			}
			if !s.quiet {
				options.Progress = func(line string) { fmt.Fprintln(s.err, line) }
			}
			if len(names) == 0 {
				names = measure.Names()
			}
			curves, err := measureRoles(s.ctx, names, options)
			if err != nil {
				return err
			}
			if into != "" {
				if err := capacity.MergeInto(into, measure.Machine(), time.Now().UTC().Format(time.DateOnly), curves); err != nil {
					return fmt.Errorf("--into: %w", err)
				}
			}
			if s.json {
				return cli.Print(s.out, curves)
			}
			return s.curves(curves)
		})}
	f := c.Flags()
	f.Uint64Var(&options.Seed, "seed", 1, "of what is drawn")
	f.IntVar(&options.Largest, "largest", 0, "the largest size, in the unit of each role; 0: the role's own")
	f.DurationVar(&options.Lasts, "lasts", options.Lasts, "time for each role")
	f.StringVar(&memory, "memory", memory, "memory that the measurement and the forwarders it starts may take")
	f.StringVar(&options.Program, "program", "bin/spanflow", "the built forwarder, with spanflowctl beside it")
	f.StringVar(&options.Folder, "folder", "", "where write-ahead logs and configurations lie meanwhile (default: the system's temporary folder)")
	f.StringVar(&into, "into", "", "merge the curves into this file of results, by role and quantity")
	return c
}

// measureRoles measures roles one after another.
func measureRoles(ctx context.Context, names []string, options measure.Options) ([]capacity.Curve, error) {
	var all []capacity.Curve
	for _, name := range names {
		role, err := measure.Find(name)
		if err != nil {
			return nil, err
		}
		curves, err := role.Measure(ctx, options)
		if err != nil {
			return nil, err
		}
		all = append(all, curves...)
	}
	return all, nil
}

// curves prints curves with their lines.
func (s *session) curves(curves []capacity.Curve) error {
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "ROLE\tQUANTITY\tUNIT\tSIZES\tVALUES\tSHAPE\tAT 0\tSLOPE\tRESIDUAL\tBENDS AT\tPOWER")
	for _, c := range curves {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t", c.Role, c.Quantity, c.Unit, span(c.Points, pointSize), span(c.Points, pointValue), c.Fit.Shape)
		if c.Fit.Shape == capacity.NotStraight {
			fmt.Fprintf(t, "-\t-\t%.3f\t-\t%.2f\n", c.Fit.Residual, c.Fit.Power)
			continue
		}
		bends := "-"
		if c.Fit.Shape == capacity.Bends {
			bends = fmt.Sprintf("%g", c.Fit.BendAt)
		}
		fmt.Fprintf(t, "%.4g\t%.4g\t%.3f\t%s\t%.2f\n", c.Fit.Intercept, c.Fit.Slope, c.Fit.Residual, bends, c.Fit.Power)
	}
	return t.Flush()
}

func pointSize(p capacity.Point) float64  { return p.Size }
func pointValue(p capacity.Point) float64 { return p.Value }

// span is the first and the last of the points' sizes or values.
func span(points []capacity.Point, of func(capacity.Point) float64) string {
	if len(points) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4g to %.4g", of(points[0]), of(points[len(points)-1]))
}
