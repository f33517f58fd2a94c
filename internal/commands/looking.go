package commands

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"spanflow/forwarder"
	"spanflow/internal/cli"
	"spanflow/internal/config"
)

// looking are the flags of the commands that look at the write-ahead log or the backlog store.
type looking struct {
	folder, dest, tenant, key, front, kind, state string
	expired, within                               time.Duration
	most                                          int
}

// inFolder gives a command the flags that name a folder.
func (s *session) inFolder(c *cobra.Command, l *looking) *cobra.Command {
	s.configured(c).Flags().StringVarP(&l.folder, "folder", "f", "", "the folder (default: the configuration's)")
	c.MarkFlagDirname("folder")
	return c
}

// place tells where a configuration of either form has a folder; empty: it has none.
type place struct {
	byOrder func(*forwarder.Config) string
	byFile  func(*config.Loaded) string
}

// folder is the folder that is asked for. The names of tenants come with a configuration, if there is one.
func (s *session) folder(told string, in place) (folder string, tenants []string, err error) {
	if told != "" && s.path == "" {
		return told, nil, nil
	}
	path, platform, err := s.file()
	if err != nil {
		return "", nil, errors.New("no folder: use --folder, or --config FILE")
	}
	if platform {
		o, err := s.order()
		if err != nil {
			return "", nil, err
		}
		folder, tenants = in.byOrder(o), o.Names.Tenants
	} else {
		l, err := config.Load(path, s.environ, s.set)
		if err != nil {
			return "", nil, s.problems(err)
		}
		folder = in.byFile(l)
		for _, t := range l.Tenants {
			tenants = append(tenants, t.Name)
		}
	}
	if told != "" {
		folder = told
	}
	if folder == "" {
		return "", nil, fmt.Errorf("%s names no folder: use --folder", path)
	}
	return folder, tenants, nil
}

// lane reads the flags that pick a destination and a tenant.
func (l *looking) lane(tenants []string) (dest *uint64, tenant *int, err error) {
	if l.dest != "" {
		if dest, err = flagNumber("dest", l.dest, 10, 32); err != nil {
			return nil, nil, err
		}
	}
	if l.tenant == "" {
		return dest, nil, nil
	}
	i := slices.Index(tenants, l.tenant)
	if i < 0 {
		n, err := flagNumber("tenant", l.tenant, 10, 31)
		if err != nil {
			return nil, nil, err
		}
		i = int(*n)
	}
	return dest, &i, nil
}

func flagNumber(name, text string, base, bits int) (*uint64, error) {
	n, err := strconv.ParseUint(text, base, bits)
	if err != nil {
		return nil, fmt.Errorf("--%s: %q is not a number", name, text)
	}
	return &n, nil
}

// row is one message as it is printed.
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
	Taken   time.Time `json:"taken,omitzero"`
	Expiry  time.Time `json:"expiry"`
	Ran     time.Time `json:"may_have_run_since,omitzero"`
	Out     time.Time `json:"out_since,omitzero"`
	Seq     uint64    `json:"sequence"`
	Bytes   int       `json:"bytes"`
	Body    []byte    `json:"body,omitempty"`
	AfterMs int       `json:"come_back_ms,omitempty"`
}

// moment is a time in microseconds of the wall clock; 0 is none.
func moment(micros int64) (t time.Time) {
	if micros > 0 {
		t = time.UnixMicro(micros)
	}
	return t
}

func tenantName(tenant int, tenants []string) string {
	if tenant < len(tenants) {
		return tenants[tenant]
	}
	return strconv.Itoa(tenant)
}

func frontName(front string) string {
	if front == "" {
		return "resp"
	}
	return front
}

const rowsAtOnce = 1000 // of a table whose columns are laid out together

// table prints rows: under a heading, or a JSON object a line.
type table struct {
	rows    int
	text    *tabwriter.Writer
	objects *json.Encoder // nil: as text
}

func (s *session) newTable() *table {
	t := &table{text: newColumns(s.out)}
	if s.json {
		t.objects = json.NewEncoder(s.out)
	} else {
		fmt.Fprintln(t.text, "ID\tSTATE\tDEST\tTYPE\tTENANT\tKEY\tFRONT\tSENT\tEXPIRY\tBYTES")
	}
	return t
}

func newColumns(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 4, 2, ' ', 0) }

func (t *table) add(r row) error {
	t.rows++
	if t.objects != nil {
		return t.objects.Encode(r)
	}
	_, err := fmt.Fprintf(t.text, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%d\t%s\t%d\n", r.ID, r.State, r.Dest, r.Type, r.Tenant, r.Key, r.Front, r.Sent,
		r.Expiry.Format(time.RFC3339), r.Bytes)
	if err == nil && t.rows%rowsAtOnce == 0 {
		err = t.text.Flush()
	}
	return err
}

func (t *table) flush() error { return t.text.Flush() }

// printRow prints one message with its body.
func (s *session) printRow(r *row) error {
	if s.json {
		return cli.Print(s.out, r)
	}
	t := newColumns(s.out)
	line := func(name string, value any) { fmt.Fprintf(t, "%s\t%v\n", name, value) }
	at := func(name string, when time.Time) {
		if !when.IsZero() {
			line(name, when.Format(time.RFC3339Nano))
		}
	}
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
	at("taken", r.Taken)
	line("expiry", r.Expiry.Format(time.RFC3339Nano))
	at("may have run since", r.Ran)
	at("out since", r.Out)
	line("body", fmt.Sprintf("%d bytes", r.Bytes))
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(s.out, "%q\n", r.Body)
	return err
}

func owner(pid int) string {
	if pid == 0 {
		return "none"
	}
	return fmt.Sprintf("pid %d", pid)
}
