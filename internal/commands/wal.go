package commands

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"spanflow/forwarder"
	"spanflow/internal/cli"
	"spanflow/internal/config"
	"spanflow/internal/wal"
)

// Names of the command that inspects the write-ahead log.
const (
	walName  = "wal"
	walAlias = "ledger"
)

// walFolder reads the path of the write-ahead log's folder from a configuration.
var walFolder = folderSource{
	ofForwarder: func(c *forwarder.Config) string { return c.Folder },
	ofFile:      func(l *config.Loaded) string { return l.WALFolder() },
}

func (s *session) walCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     walName,
		Aliases: []string{walAlias},
		Short:   "Inspect the pending messages in the write-ahead log",
		Args:    cobra.NoArgs,
		Long: `Reads a write-ahead log's folder, even while a forwarder is using it. Nothing is changed and the forwarder is not
delayed, so the output may be out of date by the time it is printed.`,
		RunE: showHelp,
	}
	flags := &inspectFlags{}
	for _, sub := range []*cobra.Command{
		s.walListCommand(flags), s.walShowCommand(flags), s.walStatCommand(flags), s.walVerifyCommand(flags),
	} {
		c.AddCommand(s.withFolderFlags(sub, flags))
	}
	return c
}

func (s *session) walListCommand(flags *inspectFlags) *cobra.Command {
	c := &cobra.Command{
		Use:   "list",
		Short: "List the pending messages",
		Args:  cobra.NoArgs,
		Long: `Lists messages in the order of acceptance. States: held (no attempt yet), tried (attempted, but certainly not executed by
an endpoint), out (an attempt is in progress), may-have-run (an endpoint may have executed it), returned (rejected) and
abandoned (failed); in the last two the client's answer is not confirmed yet.`,
		Example: "  spanflow wal list -f /var/lib/spanflow --dest 7 --state may-have-run\n" +
			"  spanflow wal list -f state --expired-for 10s --json",
		RunE: cli.Run(func([]string) error { return s.walList(flags) }),
	}
	flags.addLaneFlags(c)
	f := c.Flags()
	f.StringVar(&flags.key, "key", "", "only messages with this ordering key (hexadecimal)")
	f.StringVar(&flags.frontend, "front", "", "only messages from this frontend; resp means the platform's")
	f.StringVar(&flags.messageType, "type", "", "only messages of this type")
	f.StringVar(&flags.state, "state", "", "only messages in this state")
	f.DurationVar(&flags.expiredFor, "expired-for", 0, "only messages that expired at least this long ago")
	f.DurationVar(&flags.expiresWithin, "expires-within", 0, "only messages that have expired or expire within this time")
	f.IntVar(&flags.limit, "limit", 0, "maximum number of messages; 0 means all")
	return c
}

func (s *session) walShowCommand(flags *inspectFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "show ID",
		Short: "Show one message with its body",
		Args:  cobra.ExactArgs(1),
		RunE:  cli.Run(func(args []string) error { return s.walShow(flags, args[0]) }),
	}
}

func (s *session) walStatCommand(flags *inspectFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "stat",
		Short: "Count the pending messages by state and destination",
		Args:  cobra.NoArgs,
		RunE:  cli.Run(func([]string) error { return s.walStat(flags) }),
	}
}

func (s *session) walVerifyCommand(flags *inspectFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "verify",
		Short: "Read every record and report damage",
		Args:  cobra.NoArgs,
		Long: `Reads every record. A torn end was left by a process that was killed while writing, or is being written now; it is
reported, but is not damage. Anything else that cannot be read is damage, and the exit code is 1.`,
		RunE: cli.Run(func([]string) error { return s.walVerify(flags) }),
	}
}

// walFilter returns the filter that the flags describe. An error names the invalid flag.
func (f *inspectFlags) walFilter(tenants []string) (filter wal.Filter, err error) {
	if filter.Destination, filter.Tenant, err = f.lane(tenants); err != nil {
		return filter, err
	}
	if f.key != "" {
		if filter.Key, err = parseNumber("key", f.key, 16, 64); err != nil {
			return filter, err
		}
	}
	if f.frontend != "" {
		name := f.frontend
		if name == platformFrontend {
			name = ""
		}
		filter.Frontend = &name
	}
	if f.expiredFor > 0 && f.expiresWithin > 0 {
		return filter, errors.New("--expired-for and --expires-within cannot be combined")
	}
	if f.expiredFor > 0 {
		filter.OlderThan = time.Now().Add(-f.expiredFor).UnixMicro()
	}
	if f.expiresWithin > 0 {
		filter.OlderThan = time.Now().Add(f.expiresWithin).UnixMicro()
	}
	filter.Type, filter.State = f.messageType, f.state
	if known := wal.States(); f.state != "" && !slices.Contains(known, f.state) {
		return filter, fmt.Errorf("--state: %q is none of %q", f.state, known)
	}
	return filter, nil
}

// inspectWAL reads the selected folder, and returns the names of the tenants if there is a configuration.
func (s *session) inspectWAL(flags *inspectFlags) (*wal.View, []string, error) {
	folder, tenants, err := s.folder(flags.folder, walFolder)
	if err != nil {
		return nil, nil, err
	}
	view, err := wal.Inspect(folder)
	return view, tenants, err
}

func walReport(e *wal.Entry, tenants []string) *messageReport {
	return &messageReport{
		ID:              e.ID,
		State:           e.State(),
		Destination:     e.Destination,
		Type:            e.Type,
		Tenant:          tenantName(e.Tenant, tenants),
		Key:             keyText(e.Key),
		IdempotencyKey:  e.IdempotencyKey,
		Frontend:        frontendName(e.Frontend),
		CallerWaits:     e.CallerWaits,
		Attempts:        e.Attempts,
		Expiry:          wallTime(e.Expiry),
		MayHaveRunSince: wallTime(e.FirstRanAt),
		CallSince:       wallTime(e.AttemptStartedAt),
		Sequence:        e.Seq,
		Bytes:           len(e.Body),
		RetryAfterMs:    e.RetryAfter,
	}
}

func (s *session) walList(flags *inspectFlags) error {
	view, tenants, err := s.inspectWAL(flags)
	if err != nil {
		return err
	}
	filter, err := flags.walFilter(tenants)
	if err != nil {
		return err
	}
	table := s.newMessageTable()
	for _, e := range view.Pending {
		if !filter.Matches(e) {
			continue
		}
		if flags.limit > 0 && table.rows == flags.limit {
			break
		}
		if err := table.add(walReport(e, tenants)); err != nil {
			return err
		}
	}
	return table.flush()
}

func (s *session) walShow(flags *inspectFlags, id string) error {
	view, tenants, err := s.inspectWAL(flags)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(view.Pending, func(e *wal.Entry) bool { return e.ID == id })
	if i < 0 {
		return fmt.Errorf("%s has no pending message with the id %q", view.Dir, id)
	}
	report := walReport(view.Pending[i], tenants)
	report.Body = view.Pending[i].Body
	return s.printMessage(report)
}

// walVerification is the output of "wal verify".
type walVerification struct {
	Folder  string              `json:"folder"`
	Damaged bool                `json:"damaged"`
	Pending int                 `json:"owed"`
	Files   []wal.FileView      `json:"files"`
	Faults  []wal.DamagedRecord `json:"faults"`
}

func (s *session) walVerify(flags *inspectFlags) error {
	view, _, err := s.inspectWAL(flags)
	if err != nil {
		return err
	}
	damaged := view.Damaged()
	if s.json {
		err = cli.PrintJSON(s.out, walVerification{view.Dir, damaged, len(view.Pending), view.Files, view.DamagedRecords})
	} else {
		s.printFiles(view, damaged)
	}
	if damaged && err == nil {
		return fmt.Errorf("%s is damaged", view.Dir)
	}
	return err
}

func (s *session) printFiles(view *wal.View, damaged bool) {
	for _, f := range view.Files {
		records := 0
		for _, n := range f.Records {
			records += n
		}
		fmt.Fprintf(s.out, "file %d: %d bytes, %d records, %d documents owed\n", f.Number, f.Bytes, records, f.Pending)
	}
	for _, r := range view.DamagedRecords {
		fmt.Fprintln(s.out, r)
	}
	if !damaged {
		fmt.Fprintf(s.out, "sound; %d documents owed\n", len(view.Pending))
	}
}
