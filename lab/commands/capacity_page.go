package commands

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"spanflow/internal/cli"
	"spanflow/lab/capacity/page"
)

// The files of the capacity page, relative to the repository's root.
const (
	capacityPage     = "docs/CAPACITY.md"
	capacityTarget   = "docs/capacity/target.toml"
	capacityMeasured = "docs/capacity/measured.json"
)

// pageReport is the JSON output of the page command.
type pageReport struct {
	File     string   `json:"file"`
	Tables   []string `json:"tables"`
	Outdated []string `json:"differs"` // tables that were not current; without --check they have been updated
}

func pageCommand() *cobra.Command {
	check, target, measured := false, capacityTarget, capacityMeasured
	c := &cobra.Command{Use: "page [FILE]", Short: "Update the generated tables of " + capacityPage + " in place", Args: cobra.MaximumNArgs(1),
		Long: `Renders every table of the page from the target size and the measured results. Linear curves are extrapolated to the
target size; other curves never are. Text outside the generated tables is left unchanged.

With --check nothing is written. If a table is not current, the command names it and exits with 1.`,
		Example: "  spanflow-lab capacity page --check"}
	c.RunE = cli.Run(func(args []string) error {
		file := append(args, capacityPage)[0]
		report, err := renderPage(file, target, measured, check)
		if err != nil {
			return err
		}
		return printPage(c, report, check)
	})
	f := c.Flags()
	f.BoolVar(&check, "check", false, "write nothing; fail if a table is not current")
	f.StringVar(&target, "target", target, "file with the target size and the budgets")
	f.StringVar(&measured, "measured", measured, "file with the measured results")
	return c
}

// renderPage renders the tables of a page and writes the page if a table changed, unless check is set.
func renderPage(file, target, measured string, check bool) (*pageReport, error) {
	size, err := page.ReadTarget(target)
	if err != nil {
		return nil, err
	}
	results, err := page.ReadResults(measured)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	updated, err := page.Update(string(text), size, results)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	report := &pageReport{File: file, Tables: updated.Tables, Outdated: updated.Outdated}
	if check || len(updated.Outdated) == 0 {
		return report, nil
	}
	return report, replaceFile(file, updated.Text)
}

// replaceFile replaces a file atomically and keeps its permissions.
func replaceFile(path, text string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, []byte(text), info.Mode().Perm()); err != nil {
		return err
	}
	return os.Rename(temporary, path)
}

// printPage prints the report. If check is set and tables are not current, it returns an error that names them.
func printPage(c *cobra.Command, report *pageReport, check bool) error {
	asJSON, _ := c.Flags().GetBool("json")
	if asJSON {
		if err := cli.PrintJSON(c.OutOrStdout(), report); err != nil {
			return err
		}
	}
	outdated := strings.Join(report.Outdated, ", ")
	switch {
	case check && outdated != "":
		return fmt.Errorf("%s: not current: %s; run 'spanflow-lab capacity page'", report.File, outdated)
	case asJSON:
	case outdated == "":
		fmt.Fprintf(c.OutOrStdout(), "%s: %d tables are current\n", report.File, len(report.Tables))
	default:
		fmt.Fprintf(c.OutOrStdout(), "%s: updated: %s\n", report.File, outdated)
	}
	return nil
}
