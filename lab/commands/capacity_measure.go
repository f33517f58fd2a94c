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

// measureCommand holds the flags of 'capacity measure'.
type measureCommand struct {
	*session
	options measure.Options
	memory  string
	into    string // empty if the curves are only printed
}

func (s *session) capacityMeasure() *cobra.Command {
	m := &measureCommand{session: s, options: measure.Options{TimeLimit: measure.DefaultTimeLimit}}
	c := &cobra.Command{Use: "measure [ROLE...]", Short: "Measure the cost of each role at several sizes, and fit lines",
		Long: `Measures the named roles, or all roles, at five sizes over two decades and fits a straight line to each quantity. Curves
that are not linear are marked as such. Sizes that do not fit into --lasts or --memory are skipped and reported on standard
error with the progress.

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
		RunE: cli.Run(m.measure)}
	f := c.Flags()
	f.Uint64Var(&m.options.Seed, "seed", 1, "random seed")
	f.IntVar(&m.options.Largest, "largest", 0, "largest size, in the unit of each role; 0 means the role's default")
	f.DurationVar(&m.options.TimeLimit, "lasts", m.options.TimeLimit, "time limit for each role")
	f.StringVar(&m.memory, "memory", humanize.Bytes(uint64(measure.DefaultMemory())), "memory limit for the measurement and the forwarders it starts")
	f.StringVar(&m.options.Program, "program", "bin/spanflow", "path of the forwarder binary; spanflowctl must be in the same folder")
	f.StringVar(&m.options.Folder, "folder", "", "folder for temporary write-ahead logs and configurations (default: the system's temporary folder)")
	f.StringVar(&m.into, "into", "", "results file to merge the curves into, by role and quantity")
	return c
}

// measure measures the named roles, or all roles if names is empty, and prints their curves.
func (m *measureCommand) measure(names []string) error {
	if err := m.checkOptions(); err != nil {
		return err
	}
	if !m.quiet {
		m.options.Progress = func(line string) { fmt.Fprintln(m.err, line) }
	}
	if len(names) == 0 {
		names = measure.Names()
	}
	curves, err := measureRoles(m.ctx, names, m.options)
	if err != nil {
		return err
	}
	if m.into != "" {
		if err := capacity.MergeInto(m.into, measure.Machine(), time.Now().UTC().Format(time.DateOnly), curves); err != nil {
			return fmt.Errorf("--into: %w", err)
		}
	}
	if m.json {
		return cli.PrintJSON(m.out, curves)
	}
	return m.printCurves(curves)
}

// checkOptions checks the flags and completes the options.
func (m *measureCommand) checkOptions() error {
	bytes, err := humanize.ParseBytes(m.memory)
	if err != nil {
		return fmt.Errorf("--memory: %w", err)
	}
	if m.options.Memory = int64(bytes); m.options.TimeLimit <= 0 || m.options.Largest < 0 {
		return errors.New("--lasts must be greater than 0, and --largest must not be negative")
	}
	if err := measure.CheckMemory(m.options.Memory); err != nil {
		return fmt.Errorf("--%w", err)
	}
	m.options.Program, err = filepath.Abs(m.options.Program)
	return err
}

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

// printCurves prints each curve with its fitted line.
func (s *session) printCurves(curves []capacity.Curve) error {
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "ROLE\tQUANTITY\tUNIT\tSIZES\tVALUES\tSHAPE\tAT 0\tSLOPE\tRESIDUAL\tBENDS AT\tPOWER")
	for _, c := range curves {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t", c.Role, c.Quantity, c.Unit, formatRange(c.Points, pointSize), formatRange(c.Points, pointValue), c.Fit.Shape)
		if c.Fit.Shape == capacity.NotLinear {
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

// formatRange formats the first and the last of the points' sizes or values.
func formatRange(points []capacity.Point, of func(capacity.Point) float64) string {
	if len(points) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.4g to %.4g", of(points[0]), of(points[len(points)-1]))
}
