package commands

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"spanflow/forwarder"
	"spanflow/internal/cli"
	"spanflow/internal/config"
	"spanflow/internal/wal"
)

// reservedDescriptors is the number of descriptors that neither clients nor endpoints may use; see
// forwarder.MaxClients.
const reservedDescriptors = 32

func (s *session) checkCommand() *cobra.Command {
	return s.withConfigFlags(&cobra.Command{
		Use:   "check",
		Short: "Check a configuration and show what would run",
		Args:  cobra.NoArgs,
		Long: `Reads everything that 'spanflow run' would read, without opening a port or the write-ahead log, and prints what would
run. Each problem is printed with its file, line and field. If there is any, the exit code is 1.`,
		Example: "  spanflow check --config deploy/spanflow.toml",
		RunE:    cli.Run(func([]string) error { return s.check() }),
	})
}

// checkReport is the output of check: problems, notes and, if there are no problems, a description of what would run.
type checkReport struct {
	OK                  bool            `json:"fine"`
	Problems            config.Problems `json:"wrong"`
	Notes               config.Problems `json:"notes"`
	Name                string          `json:"name,omitempty"`
	Frontends           []frontendPlan  `json:"fronts,omitempty"`
	EndpointSource      string          `json:"list,omitempty"`
	FinalAnswers        string          `json:"final_answers,omitempty"`
	Folder              string          `json:"folder,omitempty"`
	HolderPID           int             `json:"folder_owner_pid,omitempty"`
	Backlog             *backlogPlan    `json:"backlog,omitempty"`
	ConcurrencyLimit    int             `json:"slots,omitempty"`
	OutgoingConnections int             `json:"outgoing_connections,omitempty"`
	Metrics             string          `json:"metrics,omitempty"`
}

// frontendPlan is a frontend that a run would open.
type frontendPlan struct {
	Name        string `json:"name"`
	Protocol    string `json:"protocol"`
	Listen      string `json:"listen"`
	Connections int    `json:"connections"`
}

// backlogPlan is the store that a run would open.
type backlogPlan struct {
	Folder    string `json:"folder"`
	Bytes     int64  `json:"bytes"`
	HolderPID int    `json:"owner_pid,omitempty"`
}

func (s *session) check() error {
	path, platform, err := s.configFile()
	if err != nil {
		return err
	}
	var r checkReport
	var c *forwarder.Config
	if platform {
		c, err = s.forwarderConfig()
	} else {
		c, err = s.checkFile(path, &r)
	}
	var problems config.Problems
	if errors.As(err, &problems) {
		r.Problems = problems
	} else if err != nil {
		r.Problems = config.Problems{{File: path, Reason: err.Error()}}
	}
	if r.OK = len(r.Problems) == 0; r.OK {
		r.describe(c)
		r.noteHolders()
	}
	if s.json {
		err = cli.PrintJSON(s.out, r)
	} else {
		r.write(s.out) // an error that prevents loading is returned too, so that it also appears on standard error
	}
	if err == nil && !r.OK {
		return cli.ErrReported
	}
	return err
}

// checkFile loads and checks a TOML file. The configuration is nil if the report has problems.
func (s *session) checkFile(path string, r *checkReport) (*forwarder.Config, error) {
	l, err := config.Load(path, s.environ, s.set)
	if err != nil {
		return nil, err
	}
	if r.Problems, r.Notes = l.Check(); len(r.Problems) > 0 {
		return nil, nil
	}
	return l.ForwarderConfig()
}

// describe fills in the description of what would run.
func (r *checkReport) describe(c *forwarder.Config) {
	r.Name, r.Folder, r.ConcurrencyLimit, r.Metrics = c.Name, c.Folder, c.Scheduler.ConcurrencyLimit, c.Metrics
	r.OutgoingConnections = c.Descriptors - reservedDescriptors - forwarder.MaxClients(c.Descriptors)
	r.HolderPID = wal.LockHolder(c.Folder)
	if b := c.Backlog; b != nil {
		r.Backlog = &backlogPlan{Folder: b.Folder, Bytes: b.Bytes, HolderPID: backlogHolder(b.Folder)}
	}
	for i, connections := range c.FrontendConnections() {
		f := c.Frontends[i]
		r.Frontends = append(r.Frontends, frontendPlan{f.Name, f.Protocol, f.Listen, connections})
	}
	if r.EndpointSource = "discovery at " + c.Discovery; c.Discovery == "" {
		r.EndpointSource = fmt.Sprintf("%d targets of the file", len(c.StaticEndpoints.Endpoints))
	}
	if r.FinalAnswers = "notices to " + c.Notices(); c.Notices() == "" {
		r.FinalAnswers = "log"
	}
}

// noteHolders adds a note for each folder that a running process holds.
func (r *checkReport) noteHolders() {
	note := func(field string, pid int) {
		reason := fmt.Sprintf("belongs to a running process, pid %d, so a second process could not start", pid)
		r.Notes = append(r.Notes, config.Problem{Field: field, Reason: reason})
	}
	if r.HolderPID > 0 {
		note("ledger.folder", r.HolderPID)
	}
	if r.Backlog != nil && r.Backlog.HolderPID > 0 && r.Backlog.HolderPID != r.HolderPID {
		note("backlog.folder", r.Backlog.HolderPID)
	}
}

// write prints the report as text.
func (r *checkReport) write(w io.Writer) {
	for _, p := range r.Problems {
		fmt.Fprintln(w, "wrong:", p)
	}
	for _, n := range r.Notes {
		fmt.Fprintln(w, "note: ", n)
	}
	if !r.OK {
		return
	}
	t := newColumns(w)
	fmt.Fprintf(t, "forwarder\t%s\n", r.Name)
	for _, f := range r.Frontends {
		fmt.Fprintf(t, "front %s\t%s at %s, %d connections at most\n", f.Name, f.Protocol, f.Listen, f.Connections)
	}
	fmt.Fprintf(t, "list\t%s\n", r.EndpointSource)
	fmt.Fprintf(t, "final answers\t%s\n", r.FinalAnswers)
	fmt.Fprintf(t, "folder\t%s\n", r.Folder)
	fmt.Fprintf(t, "slots\t%d, on %d outgoing connections at most\n", r.ConcurrencyLimit, r.OutgoingConnections)
	if r.Backlog != nil {
		fmt.Fprintf(t, "backlog\t%s, %s at most\n", r.Backlog.Folder, config.Size(r.Backlog.Bytes))
	}
	if r.Metrics != "" {
		fmt.Fprintf(t, "metrics\thttp://%s/metrics\n", r.Metrics)
	}
	t.Flush()
	fmt.Fprintln(w, "fine")
}
