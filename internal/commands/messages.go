package commands

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"spanflow/internal/cli"
)

// platformFrontend is the name shown for the platform's frontend, whose name is empty on disk.
const platformFrontend = "resp"

// messageReport is the output for one message.
type messageReport struct {
	ID              string    `json:"id"`
	State           string    `json:"state"`
	Destination     uint64    `json:"dest"`
	Type            string    `json:"type"`
	Tenant          string    `json:"tenant"`
	Key             string    `json:"key"`
	IdempotencyKey  string    `json:"number,omitempty"`
	Frontend        string    `json:"front"`
	CallerWaits     bool      `json:"caller_waits,omitempty"`
	Attempts        int       `json:"transmissions"`
	Taken           time.Time `json:"taken,omitzero"`
	Expiry          time.Time `json:"expiry"`
	MayHaveRunSince time.Time `json:"may_have_run_since,omitzero"`
	CallSince       time.Time `json:"out_since,omitzero"` // start of the attempt in progress
	Sequence        uint64    `json:"sequence"`
	Bytes           int       `json:"bytes"`
	Body            []byte    `json:"body,omitempty"`
	RetryAfterMs    int       `json:"come_back_ms,omitempty"`
}

// wallTime converts microseconds of the wall clock into a time; 0 becomes the zero time.
func wallTime(micros int64) time.Time {
	if micros <= 0 {
		return time.Time{}
	}
	return time.UnixMicro(micros)
}

// tenantName returns a tenant's name, or its number if the name is not known.
func tenantName(tenant int, tenants []string) string {
	if tenant < len(tenants) {
		return tenants[tenant]
	}
	return strconv.Itoa(tenant)
}

func frontendName(name string) string {
	if name == "" {
		return platformFrontend
	}
	return name
}

func keyText(key uint64) string { return fmt.Sprintf("%016x", key) }

const rowsPerFlush = 1000 // rows of a table that are aligned together

// messageTable prints messages as rows under a heading, or as JSON objects, one per line.
type messageTable struct {
	rows    int
	text    *tabwriter.Writer
	objects *json.Encoder // nil for text output
}

func (s *session) newMessageTable() *messageTable {
	t := &messageTable{text: newColumns(s.out)}
	if s.json {
		t.objects = json.NewEncoder(s.out)
	} else {
		fmt.Fprintln(t.text, "ID\tSTATE\tDEST\tTYPE\tTENANT\tKEY\tFRONT\tSENT\tEXPIRY\tBYTES")
	}
	return t
}

// newColumns returns a writer that aligns columns separated by tabs.
func newColumns(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 4, 2, ' ', 0) }

func (t *messageTable) add(m *messageReport) error {
	t.rows++
	if t.objects != nil {
		return t.objects.Encode(m)
	}
	_, err := fmt.Fprintf(t.text, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%d\t%s\t%d\n",
		m.ID, m.State, m.Destination, m.Type, m.Tenant, m.Key, m.Frontend, m.Attempts, m.Expiry.Format(time.RFC3339), m.Bytes)
	if err == nil && t.rows%rowsPerFlush == 0 {
		err = t.text.Flush()
	}
	return err
}

func (t *messageTable) flush() error { return t.text.Flush() }

// printMessage prints one message with its body.
func (s *session) printMessage(m *messageReport) error {
	if s.json {
		return cli.PrintJSON(s.out, m)
	}
	t := newColumns(s.out)
	line := func(name string, value any) { fmt.Fprintf(t, "%s\t%v\n", name, value) }
	timeLine := func(name string, at time.Time) {
		if !at.IsZero() {
			line(name, at.Format(time.RFC3339Nano))
		}
	}
	line("id", m.ID)
	line("state", m.State)
	line("destination", m.Destination)
	line("type", m.Type)
	line("tenant", m.Tenant)
	line("key", m.Key)
	line("number", m.IdempotencyKey)
	line("front", m.Frontend)
	line("caller waits", m.CallerWaits)
	line("transmissions", m.Attempts)
	timeLine("taken", m.Taken)
	line("expiry", m.Expiry.Format(time.RFC3339Nano))
	timeLine("may have run since", m.MayHaveRunSince)
	timeLine("out since", m.CallSince)
	line("body", fmt.Sprintf("%d bytes", m.Bytes))
	if err := t.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(s.out, "%q\n", m.Body)
	return err
}

// holderText describes the process that holds a folder.
func holderText(pid int) string {
	if pid == 0 {
		return "none"
	}
	return fmt.Sprintf("pid %d", pid)
}
