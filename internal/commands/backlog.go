package commands

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"spanflow/forwarder"
	"spanflow/internal/backlog"
	"spanflow/internal/cli"
	"spanflow/internal/config"
	"spanflow/internal/wal"
)

// mostReads is how often a store that is written to meanwhile is read anew without a message having been read.
const mostReads = 20

// errEnough ends the reading of a store once what was asked for is there.
var errEnough = errors.New("enough")

// backlogPlace is where a configuration has the backlog store.
var backlogPlace = place{
	byOrder: func(o *forwarder.Config) string {
		if o.Backlog == nil {
			return ""
		}
		return o.Backlog.Folder
	},
	byFile: func(l *config.Loaded) string { return l.BacklogFolder() },
}

const storeLock = "backlog.lock" // in a store's folder

// storeOwner tells which running process has a store's folder, 0 if none is known.
func storeOwner(folder string) int { return wal.LockHolderOfFile(filepath.Join(folder, storeLock)) }

func (s *session) backlogCommand() *cobra.Command {
	c := &cobra.Command{Use: "backlog", Short: "Look at what is stored for destinations that are out or far behind", Args: cobra.NoArgs,
		Long: `Reads a backlog store's folder, whether a forwarder has it or not. Nothing is altered and no forwarder waits for it;
with one running, what is printed is as of a moment ago. A store that is damaged or was written by a newer version is
refused: the file is named and the exit code is 1.`,
		RunE: func(c *cobra.Command, _ []string) error { return c.Help() }}
	l := &looking{}
	add := func(c *cobra.Command) *cobra.Command { return s.inFolder(c, l) }
	list := add(&cobra.Command{Use: "list", Short: "List the stored documents", Args: cobra.NoArgs,
		Long: `Lists documents by destination and tenant, and within them in the order of their taking on. States: untried (not
transmitted yet), tried (transmitted, surely never run), may-have-run.`,
		Example: "  spanflow backlog list -f /var/lib/spanflow-backlog --dest 7 --limit 20\n  spanflow backlog list -c spanflow.toml --expires-within 1m --json",
		RunE:    cli.Run(func([]string) error { return s.listBacklog(l) })})
	show := add(&cobra.Command{Use: "show ID", Short: "Show one stored document with its body", Args: cobra.ExactArgs(1),
		Long: `Shows the stored document with a client's id. The store is read until it is found; --dest and --tenant shorten that.`,
		RunE: cli.Run(func(args []string) error { return s.showBacklog(l, args[0]) })})
	for _, c := range []*cobra.Command{list, show} {
		c.Flags().StringVar(&l.dest, "dest", "", "only for this destination")
		c.Flags().StringVar(&l.tenant, "tenant", "", "only of this tenant, by number, or by name with a configuration")
	}
	f := list.Flags()
	f.StringVar(&l.state, "state", "", "only in this state")
	f.DurationVar(&l.within, "expires-within", 0, "only those whose expiry is past or comes within so long")
	f.IntVar(&l.most, "limit", 0, "so many at most; 0: all")
	must(list.RegisterFlagCompletionFunc("state", cobra.FixedCompletions(backlogStates(), cobra.ShellCompDirectiveNoFileComp)))
	c.AddCommand(list, show,
		add(&cobra.Command{Use: "stat", Short: "Sum up what is stored, by state, destination and tenant", Args: cobra.NoArgs,
			RunE: cli.Run(func([]string) error { return s.statBacklog(l) })}),
		add(&cobra.Command{Use: "verify", Short: "Read every record and tell what is damaged", Args: cobra.NoArgs,
			Long: `Reads every segment on its own. A torn end, left by a process that was killed while writing or is writing now, is told
and is no damage. Anything else that cannot be read is damage: then the exit code is 1.`,
			RunE: cli.Run(func([]string) error { return s.verifyBacklog(l) })}))
	return c
}

// must panics with an error that only a mistake in the program can cause.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

func backlogStates() []string {
	var states []string
	for _, state := range backlog.States() {
		states = append(states, state.String())
	}
	return states
}

// backlogFilter picks stored messages; empty fields pick all.
type backlogFilter struct {
	destination *uint64
	tenant      *int
	state       string
	expiry      int64 // microseconds of the wall clock: expiry before it
}

// backlogFilter reads the flags. An error names the flag.
func (l *looking) backlogFilter(tenants []string) (f backlogFilter, err error) {
	if f.destination, f.tenant, err = l.lane(tenants); err != nil {
		return f, err
	}
	f.state = l.state
	known := backlogStates()
	switch {
	case l.state != "" && !slices.Contains(known, l.state):
		return f, fmt.Errorf("--state: %q is none of %q", l.state, known)
	case l.most < 0:
		return f, fmt.Errorf("--limit: %d is under 0", l.most)
	case l.within < 0:
		return f, fmt.Errorf("--expires-within: %v is under 0s", l.within)
	case l.within > 0:
		f.expiry = time.Now().Add(l.within).UnixMicro()
	}
	return f, nil
}

func (f *backlogFilter) picksLane(lane backlog.Lane) bool {
	return (f.destination == nil || lane.Destination == *f.destination) && (f.tenant == nil || int64(lane.Tenant) == int64(*f.tenant))
}

func (f *backlogFilter) picks(m *backlog.Message) bool {
	return (f.state == "" || m.State().String() == f.state) && (f.expiry == 0 || m.Expiry < f.expiry)
}

// viewBacklog reads a store, anew while the process that has it frees segments that were not read yet.
func viewBacklog(folder string, read func(*backlog.View) error) error {
	for range mostReads {
		v, err := backlog.Inspect(backlog.OS{}, folder)
		if err != nil {
			return err
		}
		err = read(v)
		closed := v.Close()
		if !errors.Is(err, backlog.ErrChanged) {
			return errors.Join(err, closed)
		}
	}
	return fmt.Errorf("%s: %w", folder, backlog.ErrChanged)
}

// eachStored calls a function for the stored messages that a filter picks, each once, by lanes and within them in the
// order of taking. A store that changes meanwhile is read on from where it was.
func eachStored(folder string, f *backlogFilter, each func(*backlog.Message) error) error {
	var last *backlog.Message // that was read
	for {
		before := last
		err := viewBacklog(folder, func(v *backlog.View) error {
			pick := func(lane backlog.Lane) bool {
				return f.picksLane(lane) && (last == nil || compareLanes(lane, last.Lane) >= 0)
			}
			return v.Each(pick, func(m *backlog.Message) error {
				if last != nil && m.Lane == last.Lane && m.Seq <= last.Seq {
					return nil
				}
				last = m
				if !f.picks(m) {
					return nil
				}
				return each(m)
			})
		})
		if !errors.Is(err, backlog.ErrChanged) || last == before {
			return err
		}
	}
}

func compareLanes(a, b backlog.Lane) int {
	return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Tenant, b.Tenant))
}

func storedRow(m *backlog.Message, tenants []string) row {
	return row{ID: m.ID, State: m.State().String(), Dest: m.Lane.Destination, Type: m.Type, Tenant: tenantName(int(m.Lane.Tenant), tenants),
		Key: fmt.Sprintf("%016x", m.Key), Mark: m.DeduplicationKey, Front: frontName(m.Frontend), Held: m.CallerWaits, Sent: int(m.Attempts),
		Taken: moment(m.Taken), Expiry: moment(m.Expiry), Ran: moment(m.MayHaveRun), Seq: m.Seq, Bytes: len(m.Body)}
}

func (s *session) listBacklog(l *looking) error {
	folder, tenants, err := s.folder(l.folder, backlogPlace)
	if err != nil {
		return err
	}
	f, err := l.backlogFilter(tenants)
	if err != nil {
		return err
	}
	t := s.newTable()
	err = eachStored(folder, &f, func(m *backlog.Message) error {
		if err := t.add(storedRow(m, tenants)); err != nil {
			return err
		}
		if t.rows == l.most {
			return errEnough
		}
		return nil
	})
	if errors.Is(err, errEnough) {
		err = nil
	}
	return errors.Join(err, t.flush())
}

func (s *session) showBacklog(l *looking, id string) error {
	folder, tenants, err := s.folder(l.folder, backlogPlace)
	if err != nil {
		return err
	}
	f, err := l.backlogFilter(tenants)
	if err != nil {
		return err
	}
	var found *backlog.Message
	err = eachStored(folder, &f, func(m *backlog.Message) error {
		if m.ID != id {
			return nil
		}
		found = m
		return errEnough
	})
	switch {
	case found != nil:
	case err != nil:
		return err
	default:
		return fmt.Errorf("%s stores no document with the id %q", folder, id)
	}
	r := storedRow(found, tenants)
	r.Body = found.Body
	return s.printRow(&r)
}

// backlogSums are what stat prints.
type backlogSums struct {
	Folder       string         `json:"folder"`
	Owner        int            `json:"owner_pid,omitempty"`
	Segments     int            `json:"segments"`
	DiskBytes    int64          `json:"bytes_on_disk"`
	Stored       int            `json:"stored"`
	Bytes        int64          `json:"bytes_stored"`
	Oldest       time.Time      `json:"oldest_taken,omitzero"`
	Lanes        int            `json:"lanes"`
	States       map[string]int `json:"by_state"`
	Destinations []backlogSum   `json:"by_destination"`
	Tenants      []backlogSum   `json:"by_tenant"`
}

// backlogSum is what a destination or a tenant has stored.
type backlogSum struct {
	Of     string    `json:"of"` // the destination's number, the tenant's name or number
	Stored int       `json:"stored"`
	Bytes  int64     `json:"bytes_stored"`
	Oldest time.Time `json:"oldest_taken,omitzero"`
}

func sumOf(of string, u backlog.Usage) backlogSum {
	return backlogSum{Of: of, Stored: u.Messages, Bytes: u.Bytes, Oldest: moment(u.Oldest)}
}

// sumUp is what stat prints of a store, the parts with the most messages first.
func sumUp(folder string, stats *backlog.Stats, tenants []string) *backlogSums {
	sums := &backlogSums{Folder: folder, Owner: storeOwner(folder), Segments: stats.Segments, DiskBytes: stats.DiskBytes,
		Stored: stats.Messages, Bytes: stats.Bytes, Oldest: moment(stats.Oldest), Lanes: stats.Lanes, States: map[string]int{},
		Destinations: []backlogSum{}, Tenants: []backlogSum{}}
	for _, state := range backlog.States() {
		if n := stats.States[state]; n > 0 {
			sums.States[state.String()] = n
		}
	}
	for _, number := range slices.Sorted(maps.Keys(stats.Destinations)) {
		sums.Destinations = append(sums.Destinations, sumOf(fmt.Sprint(number), stats.Destinations[number]))
	}
	for _, number := range slices.Sorted(maps.Keys(stats.Tenants)) {
		sums.Tenants = append(sums.Tenants, sumOf(tenantName(int(number), tenants), stats.Tenants[number]))
	}
	mostFirst := func(a, b backlogSum) int { return cmp.Compare(b.Stored, a.Stored) }
	slices.SortStableFunc(sums.Destinations, mostFirst)
	slices.SortStableFunc(sums.Tenants, mostFirst)
	return sums
}

func (s *session) statBacklog(l *looking) error {
	folder, tenants, err := s.folder(l.folder, backlogPlace)
	if err != nil {
		return err
	}
	var sums *backlogSums
	err = viewBacklog(folder, func(v *backlog.View) error {
		stats, err := v.Stats()
		if err == nil {
			sums = sumUp(folder, stats, tenants)
		}
		return err
	})
	if err != nil {
		return err
	}
	if s.json {
		return cli.Print(s.out, sums)
	}
	t := newColumns(s.out)
	fmt.Fprintf(t, "folder\t%s\nowner\t%s\nsegments\t%d, %d bytes on disk\nstored\t%d documents in %d lanes, %d bytes\n", sums.Folder, owner(sums.Owner),
		sums.Segments, sums.DiskBytes, sums.Stored, sums.Lanes, sums.Bytes)
	if sums.Stored > 0 {
		fmt.Fprintf(t, "oldest\ttaken %s\n", sums.Oldest.Format(time.RFC3339))
	}
	for _, state := range backlogStates() {
		if n := sums.States[state]; n > 0 {
			fmt.Fprintf(t, "%s\t%d\n", state, n)
		}
	}
	for _, part := range sums.Destinations {
		fmt.Fprintf(t, "destination %s\t%s\n", part.Of, &part)
	}
	for _, part := range sums.Tenants {
		fmt.Fprintf(t, "tenant %s\t%s\n", part.Of, &part)
	}
	return t.Flush()
}

func (p *backlogSum) String() string {
	return fmt.Sprintf("%d, %d bytes, oldest taken %s", p.Stored, p.Bytes, p.Oldest.Format(time.RFC3339))
}

// segmentReport is what verify prints of a segment.
type segmentReport struct {
	backlog.SegmentReport
	Damage string `json:"fault,omitempty"`
}

// verifySegments reads a store's segments, anew while the process that has it frees one that was not read yet.
func verifySegments(folder string) ([]segmentReport, error) {
	for range mostReads {
		found, err := backlog.Verify(backlog.OS{}, folder)
		if err != nil {
			return nil, err
		}
		reports := make([]segmentReport, len(found))
		freed := false
		for i, r := range found {
			reports[i].SegmentReport = r
			if r.Fault != nil {
				reports[i].Damage = r.Fault.Error()
				freed = freed || errors.Is(r.Fault, fs.ErrNotExist)
			}
		}
		if !freed {
			return reports, nil
		}
	}
	return nil, fmt.Errorf("%s: %w", folder, backlog.ErrChanged)
}

func (s *session) verifyBacklog(l *looking) error {
	folder, _, err := s.folder(l.folder, backlogPlace)
	if err != nil {
		return err
	}
	reports, err := verifySegments(folder)
	if err != nil {
		return err
	}
	damaged := slices.ContainsFunc(reports, func(r segmentReport) bool { return r.Fault != nil })
	if s.json {
		err = cli.Print(s.out, struct {
			Folder   string          `json:"folder"`
			Damaged  bool            `json:"damaged"`
			Segments []segmentReport `json:"segments"`
		}{folder, damaged, reports})
	} else {
		s.printSegments(reports, damaged)
	}
	if damaged && err == nil {
		return fmt.Errorf("%s is damaged", folder)
	}
	return err
}

func (s *session) printSegments(reports []segmentReport, damaged bool) {
	for _, r := range reports {
		fmt.Fprintf(s.out, "%s: %d bytes, %d documents, %d releases\n", filepath.Base(r.File), r.Bytes, r.Messages, r.Releases)
		if r.Torn > 0 {
			fmt.Fprintf(s.out, "%s: a torn end of %d bytes, no damage\n", filepath.Base(r.File), r.Torn)
		}
		if r.Damage != "" {
			fmt.Fprintln(s.out, r.Damage)
		}
	}
	if !damaged {
		fmt.Fprintf(s.out, "sound; %d segments\n", len(reports))
	}
}
