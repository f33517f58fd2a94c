package commands

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"spanflow/internal/cli"
	"spanflow/lab/capacity/page"
)

// The files of the capacity page, in the repository.
const (
	capacityPage     = "docs/CAPACITY.md"
	capacityTarget   = "docs/capacity/target.toml"
	capacityMeasured = "docs/capacity/measured.json"
)

// pageReport is what the page command did, for programs.
type pageReport struct {
	File     string   `json:"file"`
	Tables   []string `json:"tables"`
	Outdated []string `json:"differs"` // that were not as they are now; without --check they are written
}

func pageCommand() *cobra.Command {
	check, target, measured := false, capacityTarget, capacityMeasured
	c := &cobra.Command{Use: "page [FILE]", Short: "Render the tables of " + capacityPage + " anew, in place", Args: cobra.MaximumNArgs(1),
		Long: `Renders every table of the page from the size that is built towards and from what was measured. Straight curves are worked
out to the size; a curve that is not straight never is. What stands outside the generated tables is left as it is.

With --check nothing is written: it ends with 1 and names the tables that are not current.`,
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
	f.BoolVar(&check, "check", false, "write nothing, and fail if a table is not current")
	f.StringVar(&target, "target", target, "the file with the target size and the budgets")
	f.StringVar(&measured, "measured", measured, "the file with the measured results")
	return c
}

// renderPage renders a page's tables anew and, unless it is only checked, writes the page if it differs.
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

// replaceFile writes a file whole or not at all.
func replaceFile(path, text string) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	fresh := path + ".new"
	if err := os.WriteFile(fresh, []byte(text), info.Mode().Perm()); err != nil {
		return err
	}
	return os.Rename(fresh, path)
}

// printPage prints what was done. A check that found something is an error that names it.
func printPage(c *cobra.Command, report *pageReport, check bool) error {
	asJSON, _ := c.Flags().GetBool("json")
	if asJSON {
		if err := cli.PrintJSON(c.OutOrStdout(), report); err != nil {
			return err
		}
	}
	differing := strings.Join(report.Outdated, ", ")
	switch {
	case check && differing != "":
		return fmt.Errorf("%s: not current: %s; run 'spanflow-lab capacity page'", report.File, differing)
	case asJSON:
	case differing == "":
		fmt.Fprintf(c.OutOrStdout(), "%s: %d tables are current\n", report.File, len(report.Tables))
	default:
		fmt.Fprintf(c.OutOrStdout(), "%s: written anew: %s\n", report.File, differing)
	}
	return nil
}
