// Package commands implements spanflow's command line, one file per command.
package commands

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"spanflow/forwarder"
	"spanflow/internal/cli"
	"spanflow/internal/config"
)

// platformConfigVariable is the environment variable with the path of a configuration in the platform's format.
const platformConfigVariable = "PROXY_CONFIG"

// session is one run of the command line: its environment, its output and the flags that several commands share.
type session struct {
	environ  []string // NAME=VALUE
	out, err io.Writer

	json       bool
	configPath string
	set        []string // FIELD=VALUE
}

// Main runs a command line and returns the exit code.
func Main(args, environ []string, out, errOut io.Writer) int {
	s := &session{environ: environ, out: out, err: errOut}
	return cli.Main(s.root(), args, out, errOut)
}

func (s *session) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "spanflow",
		Short: "Dispatches messages to external receivers",
		Long: `spanflow accepts messages for destinations, queues them for seconds if necessary, and sends each to one of the
destination's endpoints. It preserves order, retries, and respects Retry-After times and endpoints that are warming up.

Without arguments it runs as configured by PROXY_CONFIG and the platform's other variables. The commands below read a
separate configuration, in TOML; SPANFLOW_CONFIG names the file if --config is not set.

Exit codes: 0 success; 1 a problem, which has been printed; 2 the command line is invalid.`,
		Args: cobra.NoArgs,
		// Shells complete commands, but not their aliases.
		ValidArgs: []cobra.Completion{cobra.CompletionWithDesc(walAlias, "The former name of "+walName)},
		RunE:      showHelp,
	}
	root.PersistentFlags().BoolVar(&s.json, "json", false, "print JSON, for programs")
	root.CompletionOptions.SetDefaultShellCompDirective(cobra.ShellCompDirectiveDefault)
	root.AddCommand(s.runCommand(), s.checkCommand(), s.configCommand())
	root.AddCommand(s.walCommand(), s.backlogCommand(), s.versionCommand())
	return root
}

// showHelp runs a command that has only subcommands: it prints the help text.
func showHelp(c *cobra.Command, _ []string) error { return c.Help() }

// getenv returns the last value of a variable, empty if it is not set.
func (s *session) getenv(name string) string {
	for _, entry := range slices.Backward(s.environ) {
		if n, value, ok := strings.Cut(entry, "="); ok && n == name {
			return value
		}
	}
	return ""
}

// withConfigFlags adds the flags that select and override the configuration to a command.
func (s *session) withConfigFlags(c *cobra.Command) *cobra.Command {
	f := c.Flags()
	f.StringVarP(&s.configPath, "config", "c", "", "configuration file (TOML, or the platform's format if the name ends in .json)")
	f.StringArrayVar(&s.set, "set", nil, "FIELD=VALUE that overrides the file and variables, such as limits.memory=48MB")
	must(c.MarkFlagFilename("config", "toml", "json"))
	return c
}

// must panics if there is an error, which only a mistake in the program can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// configFile returns the path of the selected configuration, and whether it is in the platform's format.
func (s *session) configFile() (path string, platform bool, err error) {
	if path = s.configPath; path == "" {
		path = s.getenv(config.ConfigVariable)
	}
	if path == "" {
		path = s.getenv(platformConfigVariable)
		platform = path != ""
	}
	if path == "" {
		return "", false, errors.New("no configuration: use --config FILE or SPANFLOW_CONFIG")
	}
	return path, platform || strings.HasSuffix(path, ".json"), nil
}

// forwarderConfig reads the configuration in either format.
func (s *session) forwarderConfig() (*forwarder.Config, error) {
	path, platform, err := s.configFile()
	if err != nil {
		return nil, err
	}
	if !platform {
		return config.ForwarderConfig(path, s.environ, s.set)
	}
	if len(s.set) > 0 {
		return nil, errors.New("--set is not supported with a configuration in the platform's format")
	}
	return forwarder.ConfigFromEnvironment(func(name string) string {
		if name == platformConfigVariable {
			return path
		}
		return s.getenv(name)
	})
}

// reportProblems prints the problems of a configuration, one per line, and returns cli.ErrReported. It returns other
// errors unchanged.
func (s *session) reportProblems(err error) error {
	var problems config.Problems
	if !errors.As(err, &problems) {
		return err
	}
	for _, p := range problems {
		fmt.Fprintln(s.err, p)
	}
	return cli.ErrReported
}
