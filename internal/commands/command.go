// Package commands is spanflow's command line.
package commands

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"spanflow/forwarder"
	"spanflow/internal/cli"
	"spanflow/internal/config"
	"spanflow/internal/wal"
)

// session is what the commands work with.
type session struct {
	environ  []string
	out, err io.Writer
	json     bool
	path     string   // of the configuration
	set      []string // flags that go before it
}

// Main runs a command line and returns the exit code.
func Main(args, environ []string, out, errOut io.Writer) int {
	s := &session{environ: environ, out: out, err: errOut}
	return cli.Main(s.root(), args, out, errOut)
}

func (s *session) getenv(name string) string {
	for _, e := range slices.Backward(s.environ) {
		if n, v, ok := strings.Cut(e, "="); ok && n == name {
			return v
		}
	}
	return ""
}

func (s *session) root() *cobra.Command {
	root := &cobra.Command{Use: "spanflow", Short: "A dispatcher of documents to outside receivers",
		Long: `spanflow takes documents for destinations, holds them for seconds if need be, and transmits each to one of the
destination's targets, with order, repeats, told waits and cold returns minded.

Without any argument it runs as the platform tells it by PROXY_CONFIG and further variables. The commands below read
a configuration of their own, in TOML; SPANFLOW_CONFIG names it where --config does not.

Exit codes: 0 fine; 1 something is wrong, and has been named; 2 the command line cannot be understood.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	root.PersistentFlags().BoolVar(&s.json, "json", false, "output for programs, as JSON")
	root.CompletionOptions.SetDefaultShellCompDirective(cobra.ShellCompDirectiveDefault)
	root.AddCommand(s.runCommand(), s.checkCommand(), s.configCommand(), s.ledgerCommand(), s.backlogCommand(), s.versionCommand())
	return root
}

// configured gives a command the flags that name a configuration.
func (s *session) configured(c *cobra.Command) *cobra.Command {
	c.Flags().StringVarP(&s.path, "config", "c", "", "configuration (TOML, or the platform's form where it ends in .json)")
	c.Flags().StringArrayVar(&s.set, "set", nil, "FIELD=VALUE that goes before file and variables, say limits.memory=48MB")
	c.MarkFlagFilename("config", "toml", "json")
	return c
}

// file is the configuration that is asked for, and whether it is in the platform's form.
func (s *session) file() (path string, platform bool, err error) {
	if path = s.path; path == "" {
		path = s.getenv(config.ConfigVariable)
	}
	if path == "" {
		path = s.getenv("PROXY_CONFIG")
		platform = path != ""
	}
	if path == "" {
		return "", false, errors.New("no configuration: use --config FILE or SPANFLOW_CONFIG")
	}
	return path, platform || strings.HasSuffix(path, ".json"), nil
}

// order reads the configuration, whichever form it has.
func (s *session) order() (*forwarder.Config, error) {
	path, platform, err := s.file()
	if err != nil {
		return nil, err
	}
	if !platform {
		return config.ForwarderConfig(path, s.environ, s.set)
	}
	if len(s.set) > 0 {
		return nil, errors.New("--set has no use with the platform's form")
	}
	return forwarder.ConfigFromEnvironment(func(name string) string {
		if name == "PROXY_CONFIG" {
			return path
		}
		return s.getenv(name)
	})
}

func (s *session) runCommand() *cobra.Command {
	return s.configured(&cobra.Command{Use: "run", Short: "Run a forwarder", Args: cobra.NoArgs,
		Long: `Runs a forwarder in the foreground. Its log goes to standard error.

SIGTERM ends it: it finishes what it can for up to 3.2 s, the rest stays owed in the ledger's folder. SIGHUP makes it
read its configuration again; 'spanflow config show' tells which fields are taken up then and which at a restart.`,
		Example: "  spanflow run --config example/spanflow.toml\n  spanflow run -c spanflow.toml --set log.format=console",
		RunE: cli.Run(func([]string) error {
			order, err := s.order()
			if err != nil {
				return s.problems(err)
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			again := make(chan os.Signal, 1)
			signal.Notify(again, syscall.SIGHUP)
			order.ApplyProcessLimits()
			return forwarder.Run(ctx, order, again, s.err, nil)
		})})
}

// problems prints what is wrong with a configuration, a line each.
func (s *session) problems(err error) error {
	var wrong config.Problems
	if !errors.As(err, &wrong) {
		return err
	}
	for _, p := range wrong {
		fmt.Fprintln(s.err, p)
	}
	return cli.ErrFound
}

func (s *session) checkCommand() *cobra.Command {
	return s.configured(&cobra.Command{Use: "check", Short: "Check a configuration and tell what would run", Args: cobra.NoArgs,
		Long: `Reads everything a run would read, without opening a port or the ledger, and prints what would run. Each thing that is
wrong is named by file, line and field; then the exit code is 1.`,
		Example: "  spanflow check --config deploy/spanflow.toml",
		RunE:    cli.Run(func([]string) error { return s.check() })})
}

// plan is what would run.
type plan struct {
	Fine    bool            `json:"fine"`
	Wrong   config.Problems `json:"wrong"`
	Notes   config.Problems `json:"notes"`
	Name    string          `json:"name,omitempty"`
	Fronts  []planFront     `json:"fronts,omitempty"`
	List    string          `json:"list,omitempty"`
	Answers string          `json:"final_answers,omitempty"`
	Folder  string          `json:"folder,omitempty"`
	Owner   int             `json:"folder_owner_pid,omitempty"`
	Backlog *planBacklog    `json:"backlog,omitempty"`
	Calls   int             `json:"slots,omitempty"`
	Lines   int             `json:"outgoing_connections,omitempty"`
	Metrics string          `json:"metrics,omitempty"`
}

// planBacklog is the store that a run would open.
type planBacklog struct {
	Folder string `json:"folder"`
	Bytes  int64  `json:"bytes"`
	Owner  int    `json:"owner_pid,omitempty"`
}

type planFront struct {
	Name        string `json:"name"`
	Protocol    string `json:"protocol"`
	Listen      string `json:"listen"`
	Connections int    `json:"connections"`
}

func (s *session) check() error {
	path, platform, err := s.file()
	if err != nil {
		return err
	}
	var p plan
	var order *forwarder.Config
	if platform {
		order, err = s.order()
	} else {
		var l *config.Loaded
		if l, err = config.Load(path, s.environ, s.set); err == nil {
			if p.Wrong, p.Notes = l.Check(); len(p.Wrong) == 0 {
				order, err = l.ForwarderConfig()
			}
		}
	}
	var wrong config.Problems
	if errors.As(err, &wrong) {
		p.Wrong = wrong
	} else if err != nil {
		p.Wrong = config.Problems{{File: path, Reason: err.Error()}}
	}
	if p.Fine = len(p.Wrong) == 0; p.Fine {
		p.of(order)
		if p.Owner > 0 {
			p.Notes = append(p.Notes, config.Problem{Field: "ledger.folder", Reason: fmt.Sprintf("belongs to a running process, pid %d: a second one would be refused", p.Owner)})
		}
		if p.Backlog != nil && p.Backlog.Owner > 0 && p.Backlog.Owner != p.Owner {
			p.Notes = append(p.Notes, config.Problem{Field: "backlog.folder", Reason: fmt.Sprintf("belongs to a running process, pid %d: a second one would be refused", p.Backlog.Owner)})
		}
	}
	if s.json {
		err = cli.Print(s.out, p)
	} else {
		p.write(s.out)
	}
	if err == nil && !p.Fine {
		err = cli.ErrFound
	}
	return err
}

func (p *plan) of(o *forwarder.Config) {
	p.Name, p.Folder, p.Calls, p.Metrics = o.Name, o.Folder, o.Scheduler.ConcurrencyLimit, o.Metrics
	p.Lines = o.Sockets - 32 - forwarder.MaxClients(o.Sockets)
	p.Owner = wal.LockHolder(o.Folder)
	if b := o.Backlog; b != nil {
		p.Backlog = &planBacklog{Folder: b.Folder, Bytes: b.Bytes, Owner: storeOwner(b.Folder)}
	}
	for i, n := range o.FrontendConnections() {
		f := o.Frontends[i]
		p.Fronts = append(p.Fronts, planFront{f.Name, f.Protocol, f.Listen, n})
	}
	if p.List = "discovery at " + o.Discovery; o.Discovery == "" {
		p.List = fmt.Sprintf("%d targets of the file", len(o.StaticEndpoints.Endpoints))
	}
	if p.Answers = "notices to " + o.Notices(); o.Notices() == "" {
		p.Answers = "log"
	}
}

func (p *plan) write(w io.Writer) {
	for _, n := range p.Wrong {
		fmt.Fprintln(w, "wrong:", n)
	}
	for _, n := range p.Notes {
		fmt.Fprintln(w, "note: ", n)
	}
	if !p.Fine {
		return
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "forwarder\t%s\n", p.Name)
	for _, f := range p.Fronts {
		fmt.Fprintf(t, "front %s\t%s at %s, %d connections at most\n", f.Name, f.Protocol, f.Listen, f.Connections)
	}
	fmt.Fprintf(t, "list\t%s\nfinal answers\t%s\nfolder\t%s\nslots\t%d, on %d outgoing connections at most\n", p.List, p.Answers, p.Folder, p.Calls, p.Lines)
	if p.Backlog != nil {
		fmt.Fprintf(t, "backlog\t%s, %s at most\n", p.Backlog.Folder, config.Size(p.Backlog.Bytes))
	}
	if p.Metrics != "" {
		fmt.Fprintf(t, "metrics\thttp://%s/metrics\n", p.Metrics)
	}
	t.Flush()
	fmt.Fprintln(w, "fine")
}

func (s *session) configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Look at the configuration", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	c.AddCommand(s.configured(&cobra.Command{Use: "show", Short: "Show what is in force, and where each value comes from", Args: cobra.NoArgs,
		Long: `Shows each field with its value, its source (default, file with line, variable, flag) and whether a running forwarder
takes a change up when it reads its configuration again (reload) or at the next start (restart). Secrets stand in files
of their own; only the paths of those are shown.`,
		RunE: cli.Run(func([]string) error { return s.show() })}),
		&cobra.Command{Use: "schema", Short: "Print the form as JSON Schema", Args: cobra.NoArgs, RunE: cli.Run(func([]string) error {
			b, err := config.Schema()
			if err == nil {
				_, err = fmt.Fprintf(s.out, "%s\n", b)
			}
			return err
		})})
	return c
}

type shown struct {
	Field  string `json:"field"`
	Value  any    `json:"value"`
	Source string `json:"source"`
	Change string `json:"change"`
}

func (s *session) show() error {
	path, platform, err := s.file()
	if err != nil {
		return err
	}
	var all []shown
	if platform {
		order, err := s.order()
		if err != nil {
			return err
		}
		all = s.platformShown(order, path)
	} else {
		l, err := config.Load(path, s.environ, s.set)
		if err != nil {
			return s.problems(err)
		}
		for _, v := range l.Values() {
			source := string(v.Source.Layer)
			switch {
			case v.Source.Layer == config.ByFile:
				source = fmt.Sprintf("%s:%d", path, v.Source.Line)
			case v.Source.Name != "":
				source += " " + v.Source.Name
			}
			all = append(all, shown{v.Field, v.Value, source, config.Reload(v.Field).String()})
		}
	}
	if s.json {
		return cli.Print(s.out, all)
	}
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "FIELD\tVALUE\tSOURCE\tCHANGE")
	for _, v := range all {
		fmt.Fprintf(t, "%s\t%v\t%s\t%s\n", v.Field, v.Value, v.Source, v.Change)
	}
	return t.Flush()
}

// platformShown is what the platform's form and its variables say.
func (s *session) platformShown(o *forwarder.Config, path string) []shown {
	from := func(variable string) string {
		if s.getenv(variable) != "" {
			return "variable " + variable
		}
		return path
	}
	return []shown{{"name", o.Name, from("PROXY_NAME"), "restart"}, {"listen", o.Frontends[0].Listen, from("PROXY_LISTEN"), "restart"},
		{"discovery", o.Discovery, from("PROXY_DISCOVERY"), "reload"}, {"state", o.Folder, from("PROXY_STATE"), "restart"},
		{"limits.cores", o.Cores, path, "restart"}, {"limits.memory_mb", o.MemoryMB, path, "restart"},
		{"limits.sockets", o.Sockets, path, "restart"}, {"limits.disk_mb", o.DiskMB, path, "restart"},
		{"settings", fmt.Sprintf("%d document types, %d slots", len(o.Scheduler.Types), o.Scheduler.ConcurrencyLimit), path, "restart"}}
}

func (s *session) versionCommand() *cobra.Command {
	return &cobra.Command{Use: "version", Short: "Print the version", Args: cobra.NoArgs, RunE: cli.Run(func([]string) error {
		v := struct {
			Version  string `json:"version"`
			Go       string `json:"go"`
			Revision string `json:"revision,omitempty"`
			Time     string `json:"time,omitempty"`
			Changed  bool   `json:"changed,omitempty"`
		}{Version: "unknown"}
		if info, ok := debug.ReadBuildInfo(); ok {
			v.Version, v.Go = info.Main.Version, info.GoVersion
			for _, b := range info.Settings {
				switch b.Key {
				case "vcs.revision":
					v.Revision = b.Value
				case "vcs.time":
					v.Time = b.Value
				case "vcs.modified":
					v.Changed = b.Value == "true"
				}
			}
		}
		if s.json {
			return cli.Print(s.out, v)
		}
		_, err := fmt.Fprintln(s.out, strings.TrimSpace(fmt.Sprintf("spanflow %s %s %s", v.Version, v.Go, v.Revision)))
		return err
	})}
}
