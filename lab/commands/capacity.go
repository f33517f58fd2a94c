package commands

import "github.com/spf13/cobra"

// capacityCommand is the parent of the commands that produce docs/CAPACITY.md.
func (s *session) capacityCommand() *cobra.Command {
	c := &cobra.Command{Use: "capacity", Short: "Measure the cost of destinations, messages and clients as their number grows", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.AddCommand(s.capacityMeasure(), s.hollowCommand(), s.hollowProcessCommand(), pageCommand())
	return c
}
