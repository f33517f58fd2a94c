package command

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spanflow/internal/config"
	"spanflow/internal/ledger"
	"spanflow/internal/shell"
)

// looking are the flags of the ledger's commands.
type looking struct {
	folder, dest, tenant, key, front, kind, state string
	expired, within                               time.Duration
	most                                          int
}

func (s *session) ledgerCommand() *cobra.Command {
	c := &cobra.Command{Use: "ledger", Short: "Look at what is owed", Args: cobra.NoArgs,
		Long: `Reads a ledger's folder, whether a forwarder has it or not. Nothing is altered and no forwarder waits for it; with
one running, what is printed is as of a moment ago.`,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	l := &looking{}
	add := func(c *cobra.Command) *cobra.Command {
		s.configured(c).Flags().StringVarP(&l.folder, "folder", "f", "", "the folder (default: the configuration's)")
		c.MarkFlagDirname("folder")
		return c
	}
	list := add(&cobra.Command{Use: "list", Short: "List the documents that are owed their end", Args: cobra.NoArgs,
		Long: `Lists documents in the order of their taking on. States: held (not transmitted yet), tried (transmitted, surely never
run), out (a transmission is out), may-have-run, returned and abandoned (answered; the answer is not confirmed yet).`,
		Example: "  spanflow ledger list -f /var/lib/spanflow --dest 7 --state may-have-run\n  spanflow ledger list -f state --expired-for 10s --json",
		RunE:    shell.Run(func([]string) error { return s.list(l) })})
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
			RunE: shell.Run(func(args []string) error { return s.showEntry(l, args[0]) })}),
		add(&cobra.Command{Use: "stat", Short: "Sum up what is owed, by state and destination", Args: cobra.NoArgs,
			RunE: shell.Run(func([]string) error { return s.stat(l) })}),
		add(&cobra.Command{Use: "verify", Short: "Read every record and tell what is damaged", Args: cobra.NoArgs,
			Long: `Reads every record. A torn end, left by a process that was killed while writing or is writing now, is told and is no
damage. Anything else that cannot be read is damage: then the exit code is 1.`,
			RunE: shell.Run(func([]string) error { return s.verify(l) })}))
	return c
}

// look reads the folder that is asked for; the names of tenants come with a configuration, if there is one.
func (s *session) look(l *looking) (*ledger.View, []string, error) {
	folder := l.folder
	var tenants []string
	if folder == "" || s.path != "" {
		path, platform, err := s.file()
		if err != nil {
			return nil, nil, fmt.Errorf("no folder: use --folder, or --config FILE")
		}
		of := ""
		if platform {
			o, err := s.order()
			if err != nil {
				return nil, nil, err
			}
			of, tenants = o.Folder, o.Names.Tenants
		} else {
			c, err := config.Load(path, s.environ, s.set)
			if err != nil {
				return nil, nil, s.problems(err)
			}
			of = c.Folder()
			for _, t := range c.Tenants {
				tenants = append(tenants, t.Name)
			}
		}
		if folder == "" {
			folder = of
		}
	}
	v, err := ledger.Look(folder)
	return v, tenants, err
}

// filter reads the flags.
func (l *looking) filter(tenants []string) (f ledger.Filter, err error) {
	number := func(name, text string, base, bits int) *uint64 {
		n, e := strconv.ParseUint(text, base, bits)
		if e != nil && err == nil {
			err = fmt.Errorf("--%s: %q is not a number", name, text)
		}
		return &n
	}
	if l.dest != "" {
		f.Dest = number("dest", l.dest, 10, 32)
	}
	if l.key != "" {
		f.Key = number("key", l.key, 16, 64)
	}
	if l.tenant != "" {
		i := slices.Index(tenants, l.tenant)
		if i < 0 {
			i = int(*number("tenant", l.tenant, 10, 31))
		}
		f.Tenant = &i
	}
	if l.front != "" {
		name := l.front
		if name == "resp" {
			name = ""
		}
		f.Front = &name
	}
	if l.expired > 0 {
		f.Older = time.Now().Add(-l.expired).UnixMicro()
	}
	if l.within > 0 {
		f.Older = time.Now().Add(l.within).UnixMicro()
	}
	f.Type, f.State = l.kind, l.state
	if l.expired > 0 && l.within > 0 && err == nil {
		err = fmt.Errorf("--expired-for and --expires-within: one of them")
	}
	if known := ledger.States(); l.state != "" && !slices.Contains(known, l.state) && err == nil {
		err = fmt.Errorf("--state: %q is none of %q", l.state, known)
	}
	return f, err
}

// row is one document as it is printed.
type row struct {
	ID      string    `json:"id"`
	State   string    `json:"state"`
	Dest    uint64    `json:"dest"`
	Type    string    `json:"type"`
	Tenant  string    `json:"tenant"`
	Key     string    `json:"key"`
	Mark    string    `json:"number,omitempty"`
	Front   string    `json:"front"`
	Held    bool      `json:"caller_waits,omitempty"`
	Sent    int       `json:"transmissions"`
	Expiry  time.Time `json:"expiry"`
	Ran     time.Time `json:"may_have_run_since,omitzero"`
	Out     time.Time `json:"out_since,omitzero"`
	Seq     uint64    `json:"sequence"`
	Bytes   int       `json:"bytes"`
	Body    []byte    `json:"body,omitempty"`
	AfterMs int       `json:"come_back_ms,omitempty"`
}

func rowOf(e *ledger.Entry, tenants []string) row {
	at := func(micros int64) (t time.Time) {
		if micros > 0 {
			t = time.UnixMicro(micros)
		}
		return t
	}
	r := row{ID: e.ID, State: e.State(), Dest: e.Dest, Type: e.Type, Tenant: strconv.Itoa(e.Tenant), Key: fmt.Sprintf("%016x", e.Key), Mark: e.Mark,
		Front: e.Front, Held: e.Held, Sent: e.Sent, Expiry: at(e.Expiry), Ran: at(e.Ran), Out: at(e.Out), Seq: e.Seq, Bytes: len(e.Body), AfterMs: e.After}
	if e.Tenant < len(tenants) {
		r.Tenant = tenants[e.Tenant]
	}
	if r.Front == "" {
		r.Front = "resp"
	}
	return r
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
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	out := json.NewEncoder(s.out)
	if !s.json {
		fmt.Fprintln(t, "ID\tSTATE\tDEST\tTYPE\tTENANT\tKEY\tFRONT\tSENT\tEXPIRY\tBYTES")
	}
	n := 0
	for _, e := range v.Owed {
		if !f.Picks(e) {
			continue
		}
		if n++; l.most > 0 && n > l.most {
			break
		}
		r := rowOf(e, tenants)
		if s.json {
			if err := out.Encode(r); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%d\t%s\t%d\n", r.ID, r.State, r.Dest, r.Type, r.Tenant, r.Key, r.Front, r.Sent,
			r.Expiry.Format(time.RFC3339), r.Bytes)
	}
	return t.Flush()
}

func (s *session) showEntry(l *looking, id string) error {
	v, tenants, err := s.look(l)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(v.Owed, func(e *ledger.Entry) bool { return e.ID == id })
	if i < 0 {
		return fmt.Errorf("%s owes no document with the id %q", v.Dir, id)
	}
	r := rowOf(v.Owed[i], tenants)
	r.Body = v.Owed[i].Body
	if s.json {
		return shell.Print(s.out, r)
	}
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	line := func(name string, value any) { fmt.Fprintf(t, "%s\t%v\n", name, value) }
	line("id", r.ID)
	line("state", r.State)
	line("destination", r.Dest)
	line("type", r.Type)
	line("tenant", r.Tenant)
	line("key", r.Key)
	line("number", r.Mark)
	line("front", r.Front)
	line("caller waits", r.Held)
	line("transmissions", r.Sent)
	line("expiry", r.Expiry.Format(time.RFC3339Nano))
	if !r.Ran.IsZero() {
		line("may have run since", r.Ran.Format(time.RFC3339Nano))
	}
	if !r.Out.IsZero() {
		line("out since", r.Out.Format(time.RFC3339Nano))
	}
	line("body", fmt.Sprintf("%d bytes", r.Bytes))
	if err := t.Flush(); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%q\n", r.Body)
	return err
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
	sum := sums{Folder: v.Dir, Owner: v.Owner, Files: len(v.Files), Bytes: v.Bytes, Owed: len(v.Owed), States: map[string]int{}}
	for _, e := range v.Owed {
		sum.States[e.State()]++
		sum.Live += e.Size()
		d := by[e.Dest]
		if d == nil {
			d = &destSum{Dest: e.Dest}
			by[e.Dest] = d
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
		return shell.Print(s.out, sum)
	}
	t := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(t, "folder\t%s\nowner\t%s\nfiles\t%d, %d bytes on disk\nowed\t%d documents, %d bytes\n", sum.Folder, owner(sum.Owner), sum.Files, sum.Bytes, sum.Owed, sum.Live)
	if sum.Owed > 0 {
		fmt.Fprintf(t, "first expiry\t%s\n", sum.Oldest.Format(time.RFC3339))
	}
	for _, state := range ledger.States() {
		if n := sum.States[state]; n > 0 {
			fmt.Fprintf(t, "%s\t%d\n", state, n)
		}
	}
	for _, d := range sum.Dests {
		fmt.Fprintf(t, "destination %d\t%d, %d of them past expiry\n", d.Dest, d.Owed, d.Late)
	}
	return t.Flush()
}

func owner(pid int) string {
	if pid == 0 {
		return "none"
	}
	return fmt.Sprintf("pid %d", pid)
}

func (s *session) verify(l *looking) error {
	v, _, err := s.look(l)
	if err != nil {
		return err
	}
	damaged := v.Damaged()
	if s.json {
		err = shell.Print(s.out, struct {
			Folder  string            `json:"folder"`
			Damaged bool              `json:"damaged"`
			Owed    int               `json:"owed"`
			Files   []ledger.FileView `json:"files"`
			Faults  []ledger.Fault    `json:"faults"`
		}{v.Dir, damaged, len(v.Owed), v.Files, v.Faults})
	} else {
		for _, f := range v.Files {
			n := 0
			for _, k := range f.Records {
				n += k
			}
			fmt.Fprintf(s.out, "file %d: %d bytes, %d records, %d documents owed\n", f.Number, f.Bytes, n, f.Owed)
		}
		for _, f := range v.Faults {
			fmt.Fprintln(s.out, f)
		}
		if !damaged {
			fmt.Fprintf(s.out, "sound; %d documents owed\n", len(v.Owed))
		}
	}
	if damaged && err == nil {
		return fmt.Errorf("%s is damaged", v.Dir)
	}
	return err
}
