package commands

import (
	"fmt"

	"github.com/spf13/cobra"

	"spanflow/forwarder"
	"spanflow/internal/cli"
	"spanflow/internal/config"
)

func (s *session) configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Inspect the configuration", Args: cobra.NoArgs, RunE: showHelp}
	show := &cobra.Command{
		Use:   "show",
		Short: "Show the effective values and their sources",
		Args:  cobra.NoArgs,
		Long: `Shows each field with its value, its source (default, file with line, variable, flag) and when a running forwarder
applies a change of it: when it reloads its configuration (reload) or at the next start (restart). Secrets are kept in
separate files; only the paths of these are shown.`,
		RunE: cli.Run(func([]string) error { return s.showConfig() }),
	}
	schema := &cobra.Command{
		Use:   "schema",
		Short: "Print the JSON Schema of a configuration file",
		Args:  cobra.NoArgs,
		RunE:  cli.Run(func([]string) error { return s.printSchema() }),
	}
	c.AddCommand(s.withConfigFlags(show), schema)
	return c
}

func (s *session) printSchema() error {
	schema, err := config.Schema()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s\n", schema)
	return err
}

// fieldReport is one field as config show prints it.
type fieldReport struct {
	Field  string `json:"field"`
	Value  any    `json:"value"`
	Source string `json:"source"`
	Change string `json:"change"` // when a change takes effect
}

func (s *session) showConfig() error {
	fields, err := s.configFields()
	if err != nil {
		return err
	}
	if s.json {
		return cli.PrintJSON(s.out, fields)
	}
	t := newColumns(s.out)
	fmt.Fprintln(t, "FIELD\tVALUE\tSOURCE\tCHANGE")
	for _, f := range fields {
		fmt.Fprintf(t, "%s\t%v\t%s\t%s\n", f.Field, f.Value, f.Source, f.Change)
	}
	return t.Flush()
}

// configFields returns all fields of the configuration in either format.
func (s *session) configFields() ([]fieldReport, error) {
	path, platform, err := s.configFile()
	if err != nil {
		return nil, err
	}
	if platform {
		c, err := s.forwarderConfig()
		if err != nil {
			return nil, err
		}
		return s.platformFields(c, path), nil
	}
	l, err := config.Load(path, s.environ, s.set)
	if err != nil {
		return nil, s.reportProblems(err)
	}
	var fields []fieldReport
	for _, v := range l.Values() {
		fields = append(fields, fieldReport{v.Field, v.Value, sourceText(v.Source, path), config.ReloadBehavior(v.Field).String()})
	}
	return fields, nil
}

func sourceText(source config.Source, path string) string {
	switch {
	case source.Layer == config.ByFile:
		return fmt.Sprintf("%s:%d", path, source.Line)
	case source.Name != "":
		return string(source.Layer) + " " + source.Name
	}
	return string(source.Layer)
}

// platformFields returns the fields that a configuration in the platform's format and its variables set.
func (s *session) platformFields(c *forwarder.Config, path string) []fieldReport {
	source := func(variable string) string {
		if s.getenv(variable) != "" {
			return "variable " + variable
		}
		return path
	}
	restart, reload := forwarder.OnRestart.String(), forwarder.OnReload.String()
	settings := fmt.Sprintf("%d document types, %d slots", len(c.Scheduler.Types), c.Scheduler.ConcurrencyLimit)
	return []fieldReport{
		{"name", c.Name, source("PROXY_NAME"), restart},
		{"listen", c.Frontends[0].Listen, source("PROXY_LISTEN"), restart},
		{"discovery", c.Discovery, source("PROXY_DISCOVERY"), reload},
		{"state", c.Folder, source("PROXY_STATE"), restart},
		{"limits.cores", c.Cores, path, restart},
		{"limits.memory_mb", c.MemoryMB, path, restart},
		{"limits.sockets", c.Descriptors, path, restart},
		{"limits.disk_mb", c.DiskMB, path, restart},
		{"settings", settings, path, restart},
	}
}
