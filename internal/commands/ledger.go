package commands

import (
	"cmp"
	"fmt"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spanflow/forwarder"
	"spanflow/internal/cli"
	"spanflow/internal/config"
	"spanflow/internal/wal"
)

func (s *session) ledgerCommand() *cobra.Command {
	c := &cobra.Command{Use: "ledger", Short: "Look at what is owed", Args: cobra.NoArgs,
		Long: `Reads a ledger's folder, whether a forwarder has it or not. Nothing is altered and no forwarder waits for it; with
one running, what is printed is as of a moment ago.`,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	l := &looking{}
	add := func(c *cobra.Command) *cobra.Command { return s.inFolder(c, l) }
	list := add(&cobra.Command{Use: "list", Short: "List the documents that are owed their end", Args: cobra.NoArgs,
		Long: `Lists documents in the order of their taking on. States: held (not transmitted yet), tried (transmitted, surely never
run), out (a transmission is out), may-have-run, returned and abandoned (answered; the answer is not confirmed yet).`,
		Example: "  spanflow ledger list -f /var/lib/spanflow --dest 7 --state may-have-run\n  spanflow ledger list -f state --expired-for 10s --json",
		RunE:    cli.Run(func([]string) error { return s.list(l) })})
	f := list.Flags()
	f.StringVar(&l.dest, "dest", "", "only for this destination")
	f.StringVar(&l.tenant, "tenant", "", "only of this tenant, by number, or by name with a configuration")
	f.StringVar(&l.key, "key", "", "only with this ordering key, hexadecimal")
	f.StringVar(&l.front, "front", "", "only by this front; resp for the platform's")
	f.StringVar(&l.kind, "type", "", "only of this document type")
	f.StringVar(&l.state, "state", "", "only in this state")
	f.DurationVar(&l.expired, "expired-for", 0, "only those whose expiry is past for so long")
	f.DurationVar(&l.within, "expires-within", 0, "only those whose expiry is past or comes within so long")
	f.IntVar(&l.most, "limit", 0, "so many at most")
	c.AddCommand(list,
		add(&cobra.Command{Use: "show ID", Short: "Show one document with its body", Args: cobra.ExactArgs(1),
			RunE: cli.Run(func(args []string) error { return s.showEntry(l, args[0]) })}),
		add(&cobra.Command{Use: "stat", Short: "Sum up what is owed, by state and destination", Args: cobra.NoArgs,
			RunE: cli.Run(func([]string) error { return s.stat(l) })}),
		add(&cobra.Command{Use: "verify", Short: "Read every record and tell what is damaged", Args: cobra.NoArgs,
			Long: `Reads every record. A torn end, left by a process that was killed while writing or is writing now, is told and is no
damage. Anything else that cannot be read is damage: then the exit code is 1.`,
			RunE: cli.Run(func([]string) error { return s.verify(l) })}))
	return c
}

// filter reads the flags.
func (l *looking) filter(tenants []string) (f wal.Filter, err error) {
	f.Destination, f.Tenant, err = l.lane(tenants)
	if l.key != "" && err == nil {
		f.Key, err = flagNumber("key", l.key, 16, 64)
	}
	if l.front != "" {
		name := l.front
		if name == "resp" {
			name = ""
		}
		f.Frontend = &name
	}
	if l.expired > 0 {
		f.OlderThan = time.Now().Add(-l.expired).UnixMicro()
	}
	if l.within > 0 {
		f.OlderThan = time.Now().Add(l.within).UnixMicro()
	}
	f.Type, f.State = l.kind, l.state
	if l.expired > 0 && l.within > 0 && err == nil {
		err = fmt.Errorf("--expired-for and --expires-within: one of them")
	}
	if known := wal.States(); l.state != "" && !slices.Contains(known, l.state) && err == nil {
		err = fmt.Errorf("--state: %q is none of %q", l.state, known)
	}
	return f, err
}

// look reads the folder that is asked for; the names of tenants come with a configuration, if there is one.
func (s *session) look(l *looking) (*wal.View, []string, error) {
	folder, tenants, err := s.folder(l.folder, ledgerPlace)
	if err != nil {
		return nil, nil, err
	}
	v, err := wal.Inspect(folder)
	return v, tenants, err
}

// ledgerPlace is where a configuration has the write-ahead log.
var ledgerPlace = place{
	byOrder: func(o *forwarder.Config) string { return o.Folder },
	byFile:  func(l *config.Loaded) string { return l.Folder() },
}

func rowOf(e *wal.Entry, tenants []string) row {
	return row{ID: e.ID, State: e.State(), Dest: e.Destination, Type: e.Type, Tenant: tenantName(e.Tenant, tenants), Key: fmt.Sprintf("%016x", e.Key), Mark: e.IdempotencyKey,
		Front: frontName(e.Frontend), Held: e.CallerWaits, Sent: e.Attempts, Expiry: moment(e.Expiry), Ran: moment(e.FirstRanAt), Out: moment(e.AttemptBegan), Seq: e.Seq, Bytes: len(e.Body), AfterMs: e.RetryAfter}
}

func (s *session) list(l *looking) error {
	v, tenants, err := s.look(l)
	if err != nil {
		return err
	}
	f, err := l.filter(tenants)
	if err != nil {
		return err
	}
	t := s.newTable()
	for _, e := range v.Pending {
		if !f.Matches(e) {
			continue
		}
		if l.most > 0 && t.rows == l.most {
			break
		}
		if err := t.add(rowOf(e, tenants)); err != nil {
			return err
		}
	}
	return t.flush()
}

func (s *session) showEntry(l *looking, id string) error {
	v, tenants, err := s.look(l)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(v.Pending, func(e *wal.Entry) bool { return e.ID == id })
	if i < 0 {
		return fmt.Errorf("%s owes no document with the id %q", v.Dir, id)
	}
	r := rowOf(v.Pending[i], tenants)
	r.Body = v.Pending[i].Body
	return s.printRow(&r)
}

// sums are what stat prints.
type sums struct {
	Folder string         `json:"folder"`
	Owner  int            `json:"owner_pid,omitempty"`
	Files  int            `json:"files"`
	Bytes  int64          `json:"bytes_on_disk"`
	Owed   int            `json:"owed"`
	Live   int            `json:"bytes_owed"`
	States map[string]int `json:"by_state"`
	Dests  []destSum      `json:"by_destination"`
	Oldest time.Time      `json:"first_expiry,omitzero"`
}

type destSum struct {
	Dest uint64 `json:"dest"`
	Owed int    `json:"owed"`
	Late int    `json:"past_expiry"`
}

func (s *session) stat(l *looking) error {
	v, _, err := s.look(l)
	if err != nil {
		return err
	}
	now, by := time.Now().UnixMicro(), map[uint64]*destSum{}
	sum := sums{Folder: v.Dir, Owner: v.HolderPID, Files: len(v.Files), Bytes: v.Bytes, Owed: len(v.Pending), States: map[string]int{}}
	for _, e := range v.Pending {
		sum.States[e.State()]++
		sum.Live += e.Size()
		d := by[e.Destination]
		if d == nil {
			d = &destSum{Dest: e.Destination}
			by[e.Destination] = d
		}
		d.Owed++
		if e.Expiry < now {
			d.Late++
		}
		if at := time.UnixMicro(e.Expiry); sum.Oldest.IsZero() || at.Before(sum.Oldest) {
			sum.Oldest = at
		}
	}
	for _, d := range by {
		sum.Dests = append(sum.Dests, *d)
	}
	slices.SortFunc(sum.Dests, func(a, b destSum) int { return cmp.Or(cmp.Compare(b.Owed, a.Owed), cmp.Compare(a.Dest, b.Dest)) })
	if s.json {
		return cli.Print(s.out, sum)
	}
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "folder\t%s\nowner\t%s\nfiles\t%d, %d bytes on disk\nowed\t%d documents, %d bytes\n", sum.Folder, owner(sum.Owner), sum.Files, sum.Bytes, sum.Owed, sum.Live)
	if sum.Owed > 0 {
		fmt.Fprintf(t, "first expiry\t%s\n", sum.Oldest.Format(time.RFC3339))
	}
	for _, state := range wal.States() {
		if n := sum.States[state]; n > 0 {
			fmt.Fprintf(t, "%s\t%d\n", state, n)
		}
	}
	for _, d := range sum.Dests {
		fmt.Fprintf(t, "destination %d\t%d, %d of them past expiry\n", d.Dest, d.Owed, d.Late)
	}
	return t.Flush()
}

func (s *session) verify(l *looking) error {
	v, _, err := s.look(l)
	if err != nil {
		return err
	}
	damaged := v.Damaged()
	if s.json {
		err = cli.Print(s.out, struct {
			Folder  string              `json:"folder"`
			Damaged bool                `json:"damaged"`
			Owed    int                 `json:"owed"`
			Files   []wal.FileView      `json:"files"`
			Faults  []wal.DamagedRecord `json:"faults"`
		}{v.Dir, damaged, len(v.Pending), v.Files, v.DamagedRecords})
	} else {
		for _, f := range v.Files {
			n := 0
			for _, k := range f.Records {
				n += k
			}
			fmt.Fprintf(s.out, "file %d: %d bytes, %d records, %d documents owed\n", f.Number, f.Bytes, n, f.Pending)
		}
		for _, f := range v.DamagedRecords {
			fmt.Fprintln(s.out, f)
		}
		if !damaged {
			fmt.Fprintf(s.out, "sound; %d documents owed\n", len(v.Pending))
		}
	}
	if damaged && err == nil {
		return fmt.Errorf("%s is damaged", v.Dir)
	}
	return err
}
