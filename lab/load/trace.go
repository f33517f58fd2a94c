package load

import (
	"bufio"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
)

// Generator is a Source of random messages. It draws destinations and tenants by weight, and types uniformly.
type Generator struct {
	Arrivals          *Arrivals
	Random            *rand.Rand
	Destinations      []uint64
	DestinationPicker Picker
	Tenants           []string
	TenantPicker      Picker
	Types             []string
	Keys              int  // number of ordering keys per destination; 0 means none
	IdempotencyKeys   bool // whether each message gets a unique idempotency key
}

// Next returns the next message, and false after the last arrival.
func (g *Generator) Next() (Message, bool) {
	at, more := g.Arrivals.Next()
	if !more {
		return Message{}, false
	}
	message := Message{At: at, Destination: g.Destinations[g.DestinationPicker.Pick(g.Random)], Type: g.Types[g.Random.IntN(len(g.Types))]}
	if len(g.Tenants) > 0 {
		message.Tenant = g.Tenants[g.TenantPicker.Pick(g.Random)]
	}
	if g.Keys > 0 {
		message.Key = fmt.Sprintf("%x", message.Destination<<32|uint64(g.Random.IntN(g.Keys)+1))
	}
	if g.IdempotencyKeys {
		message.IdempotencyKey = fmt.Sprintf("%016x", g.Random.Uint64())
	}
	return message, true
}

// Trace is a Source of recorded messages, which it reads from a file on demand. Times are divided by Speed.
type Trace struct {
	Speed float64
	Err   error // the error that ended the trace, nil at the end of the file

	readMessage func() (Message, error)
	firstAt     float64
	began       bool
	lastAt      float64
	line        int
	file        io.Closer
}

// Open opens a trace with the fields of Message. The format is CSV with a header if the path ends in .csv, otherwise
// JSON lines. Times are in seconds and ascending; the first one may have any value. speed is the factor by which the
// trace is sped up. The caller closes the trace.
func Open(path string, speed float64) (*Trace, error) {
	if !(speed > 0) || math.IsInf(speed, 0) {
		return nil, fmt.Errorf("speed: %v must be finite and greater than 0", speed)
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	t, err := newTrace(f, strings.HasSuffix(path, ".csv"), speed)
	if err != nil {
		f.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	t.file = f
	return t, nil
}

// Close closes the file.
func (t *Trace) Close() error { return t.file.Close() }

func newTrace(r io.Reader, isCSV bool, speed float64) (*Trace, error) {
	t := &Trace{Speed: speed}
	if !isCSV {
		t.readMessage = t.jsonLines(r)
		return t, nil
	}
	next, err := t.csvRows(r)
	if err != nil {
		return nil, err
	}
	t.readMessage = next
	return t, nil
}

// maxLineBytes is the maximum length of a line of JSON.
const maxLineBytes = 1 << 20

// jsonLines returns a function that reads the message of the next line.
func (t *Trace) jsonLines(r io.Reader) func() (Message, error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, maxLineBytes)
	return func() (Message, error) {
		var m Message
		for in.Scan() {
			t.line++
			if strings.TrimSpace(in.Text()) == "" {
				continue
			}
			decoder := json.NewDecoder(strings.NewReader(in.Text()))
			decoder.DisallowUnknownFields()
			return m, decoder.Decode(&m)
		}
		if in.Err() != nil {
			return m, in.Err()
		}
		return m, io.EOF
	}
}

// columns maps the name of a CSV column to the function that sets its field.
var columns = map[string]func(m *Message, v string) error{
	"at":     func(m *Message, v string) (err error) { m.At, err = strconv.ParseFloat(v, 64); return },
	"dest":   func(m *Message, v string) (err error) { m.Destination, err = strconv.ParseUint(v, 10, 32); return },
	"life":   func(m *Message, v string) (err error) { m.TimeToLive, err = strconv.ParseFloat(v, 64); return },
	"bytes":  func(m *Message, v string) (err error) { m.Bytes, err = strconv.Atoi(v); return },
	"type":   func(m *Message, v string) error { m.Type = v; return nil },
	"tenant": func(m *Message, v string) error { m.Tenant = v; return nil },
	"key":    func(m *Message, v string) error { m.Key = v; return nil },
	"number": func(m *Message, v string) error { m.IdempotencyKey = v; return nil },
}

// csvRows reads the header and returns a function that reads the message of the next row.
func (t *Trace) csvRows(r io.Reader) (func() (Message, error), error) {
	in := csv.NewReader(r)
	header, err := in.Read()
	t.line = 1
	if err != nil {
		return nil, fmt.Errorf("line 1: %w", err)
	}
	for _, name := range header {
		if columns[name] == nil {
			return nil, fmt.Errorf("line 1: unknown column %q", name)
		}
	}
	return func() (m Message, err error) {
		row, err := in.Read()
		if err != nil {
			return m, err
		}
		t.line++
		for i, v := range row {
			if v == "" {
				continue
			}
			if err := columns[header[i]](&m, v); err != nil {
				return m, fmt.Errorf("%s: %w", header[i], err)
			}
		}
		return m, nil
	}, nil
}

// Next returns the next message of the trace, and false at the end or after an error, which it stores in Err.
func (t *Trace) Next() (Message, bool) {
	if t.Err != nil {
		return Message{}, false
	}
	m, err := t.readMessage()
	if err == nil {
		err = t.check(&m)
	}
	if err != nil {
		if !errors.Is(err, io.EOF) {
			t.Err = fmt.Errorf("line %d: %w", t.line, err)
		}
		return Message{}, false
	}
	if !t.began {
		t.began, t.firstAt = true, m.At
	}
	m.At = (m.At - t.firstAt) / t.Speed
	return m, true
}

func (t *Trace) check(m *Message) error {
	switch {
	case !(m.At >= 0) || math.IsInf(m.At, 0):
		return fmt.Errorf("at: %v must be finite and not negative", m.At)
	case t.began && m.At < t.lastAt:
		return fmt.Errorf("at: %v is earlier than the previous message", m.At)
	case m.Type == "":
		return errors.New("type: missing")
	case m.Bytes < 0 || m.Bytes > 64<<10:
		return fmt.Errorf("bytes: %d is not between 0 and 65536", m.Bytes)
	case !(m.TimeToLive >= 0):
		return fmt.Errorf("life: %v must not be negative", m.TimeToLive)
	}
	if _, err := strconv.ParseUint(m.Key, 16, 64); m.Key != "" && err != nil {
		return fmt.Errorf("key: %q is not a hexadecimal number", m.Key)
	}
	t.lastAt = m.At
	return nil
}
