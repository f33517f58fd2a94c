package commands

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"

	"spanflow/forwarder"
	"spanflow/internal/backlog"
	"spanflow/internal/cli"
	"spanflow/internal/config"
	"spanflow/internal/wal"
)

// errLimitReached stops the reading of a store once enough messages have been read.
var errLimitReached = errors.New("limit reached")

// backlogFolder reads the path of the backlog store's folder from a configuration.
var backlogFolder = folderSource{
	ofForwarder: func(c *forwarder.Config) string {
		if c.Backlog == nil {
			return ""
		}
		return c.Backlog.Folder
	},
	ofFile: func(l *config.Loaded) string { return l.BacklogFolder() },
}

const backlogLock = "backlog.lock" // name of the lock file in a store's folder

// backlogHolder returns the id of the running process that holds a store's folder, 0 if none is known.
func backlogHolder(folder string) int {
	return wal.LockHolderOfFile(filepath.Join(folder, backlogLock))
}

func (s *session) backlogCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "backlog",
		Short: "Inspect the messages stored for destinations that are unavailable or far behind",
		Args:  cobra.NoArgs,
		Long: `Reads a backlog store's folder, even while a forwarder is using it. Nothing is changed and the forwarder is not delayed,
so the output may be out of date by the time it is printed. If the store is damaged or was written by a newer version,
the command names the file and the exit code is 1.`,
		RunE: showHelp,
	}
	flags := &inspectFlags{}
	for _, sub := range []*cobra.Command{
		s.backlogListCommand(flags), s.backlogShowCommand(flags), s.backlogStatCommand(flags), s.backlogVerifyCommand(flags),
	} {
		c.AddCommand(s.withFolderFlags(sub, flags))
	}
	return c
}

func (s *session) backlogListCommand(flags *inspectFlags) *cobra.Command {
	c := &cobra.Command{
		Use:   "list",
		Short: "List the stored messages",
		Args:  cobra.NoArgs,
		Long: `Lists messages by destination and tenant, and within these in the order of acceptance. States: untried (no attempt yet),
tried (attempted, but certainly not executed by an endpoint), may-have-run (an endpoint may have executed it).`,
		Example: "  spanflow backlog list -f /var/lib/spanflow-backlog --dest 7 --limit 20\n" +
			"  spanflow backlog list -c spanflow.toml --expires-within 1m --json",
		RunE: cli.Run(func([]string) error { return s.backlogList(flags) }),
	}
	flags.addLaneFlags(c)
	f := c.Flags()
	f.StringVar(&flags.state, "state", "", "only messages in this state")
	f.DurationVar(&flags.expiresWithin, "expires-within", 0, "only messages that have expired or expire within this time")
	f.IntVar(&flags.limit, "limit", 0, "maximum number of messages; 0 means all")
	states := cobra.FixedCompletions(backlogStates(), cobra.ShellCompDirectiveNoFileComp)
	must(c.RegisterFlagCompletionFunc("state", states))
	return c
}

func (s *session) backlogShowCommand(flags *inspectFlags) *cobra.Command {
	c := &cobra.Command{
		Use:   "show ID",
		Short: "Show one stored message with its body",
		Args:  cobra.ExactArgs(1),
		Long: `Shows the stored message with the id that its client gave it. The store is read until the message is found; --dest and
--tenant make that faster.`,
		RunE: cli.Run(func(args []string) error { return s.backlogShow(flags, args[0]) }),
	}
	flags.addLaneFlags(c)
	return c
}

func (s *session) backlogStatCommand(flags *inspectFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "stat",
		Short: "Count the stored messages by state, destination and tenant",
		Args:  cobra.NoArgs,
		RunE:  cli.Run(func([]string) error { return s.backlogStat(flags) }),
	}
}

func (s *session) backlogVerifyCommand(flags *inspectFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "verify",
		Short: "Read every record and report damage",
		Args:  cobra.NoArgs,
		Long: `Reads each segment separately. A torn end was left by a process that was killed while writing, or is being written now;
it is reported, but is not damage. Anything else that cannot be read is damage, and the exit code is 1.`,
		RunE: cli.Run(func([]string) error { return s.backlogVerify(flags) }),
	}
}

func backlogStates() []string {
	var states []string
	for _, state := range backlog.States() {
		states = append(states, state.String())
	}
	return states
}

func backlogReport(m *backlog.Message, tenants []string) *messageReport {
	return &messageReport{
		ID:              m.ID,
		State:           m.State().String(),
		Destination:     m.Lane.Destination,
		Type:            m.Type,
		Tenant:          tenantName(int(m.Lane.Tenant), tenants),
		Key:             keyText(m.Key),
		IdempotencyKey:  m.DeduplicationKey,
		Frontend:        frontendName(m.Frontend),
		CallerWaits:     m.CallerWaits,
		Attempts:        int(m.Attempts),
		Taken:           wallTime(m.AcceptedAt),
		Expiry:          wallTime(m.Expiry),
		MayHaveRunSince: wallTime(m.MayHaveRun),
		Sequence:        m.Seq,
		Bytes:           len(m.Body),
	}
}

func (s *session) backlogList(flags *inspectFlags) error {
	folder, tenants, err := s.folder(flags.folder, backlogFolder)
	if err != nil {
		return err
	}
	filter, err := flags.backlogFilter(tenants)
	if err != nil {
		return err
	}
	table := s.newMessageTable()
	err = eachStored(folder, &filter, func(m *backlog.Message) error {
		if err := table.add(backlogReport(m, tenants)); err != nil {
			return err
		}
		if table.rows == flags.limit {
			return errLimitReached
		}
		return nil
	})
	if errors.Is(err, errLimitReached) {
		err = nil
	}
	return errors.Join(err, table.flush())
}

func (s *session) backlogShow(flags *inspectFlags, id string) error {
	folder, tenants, err := s.folder(flags.folder, backlogFolder)
	if err != nil {
		return err
	}
	filter, err := flags.backlogFilter(tenants)
	if err != nil {
		return err
	}
	var found *backlog.Message
	err = eachStored(folder, &filter, func(m *backlog.Message) error {
		if m.ID != id {
			return nil
		}
		found = m
		return errLimitReached
	})
	switch {
	case found != nil:
	case err != nil:
		return err
	default:
		return fmt.Errorf("%s stores no message with the id %q", folder, id)
	}
	report := backlogReport(found, tenants)
	report.Body = found.Body
	return s.printMessage(report)
}

// backlogVerification is the output of "backlog verify".
type backlogVerification struct {
	Folder   string          `json:"folder"`
	Damaged  bool            `json:"damaged"`
	Segments []segmentReport `json:"segments"`
}

// segmentReport is the output of verify for a segment.
type segmentReport struct {
	backlog.SegmentReport
	Damage string `json:"fault,omitempty"`
}

func (s *session) backlogVerify(flags *inspectFlags) error {
	folder, _, err := s.folder(flags.folder, backlogFolder)
	if err != nil {
		return err
	}
	segments, err := verifySegments(folder)
	if err != nil {
		return err
	}
	damaged := slices.ContainsFunc(segments, func(r segmentReport) bool { return r.Fault != nil })
	if s.json {
		err = cli.PrintJSON(s.out, backlogVerification{folder, damaged, segments})
	} else {
		s.printSegments(segments, damaged)
	}
	if damaged && err == nil {
		return fmt.Errorf("%s is damaged", folder)
	}
	return err
}

func (s *session) printSegments(segments []segmentReport, damaged bool) {
	for _, r := range segments {
		name := filepath.Base(r.File)
		fmt.Fprintf(s.out, "%s: %d bytes, %d documents, %d releases\n", name, r.Bytes, r.Messages, r.Releases)
		if r.Torn > 0 {
			fmt.Fprintf(s.out, "%s: a torn end of %d bytes, no damage\n", name, r.Torn)
		}
		if r.Damage != "" {
			fmt.Fprintln(s.out, r.Damage)
		}
	}
	if !damaged {
		fmt.Fprintf(s.out, "sound; %d segments\n", len(segments))
	}
}
