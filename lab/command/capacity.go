package command

import "github.com/spf13/cobra"

func (s *session) capacity() *cobra.Command {
	c := &cobra.Command{Use: "capacity", Short: "Measure what the size costs", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.AddCommand(s.hollowCommand(), s.hollowProcessCommand())
	return c
}
