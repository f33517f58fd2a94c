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

// Generator makes messages at drawn moments, for destinations and tenants drawn by weight. It is a Source.
type Generator struct {
	Arrivals          *Arrivals
	Random            *rand.Rand
	Destinations      []uint64
	DestinationPicker Picker
	Tenants           []string
	TenantPicker      Picker
	Types             []string
	Keys              int  // ordering keys in use at once; 0: none
	IdempotencyKeys   bool // each message gets an idempotency key of its own
}

// Next makes the next message, false after the last arrival.
func (d *Generator) Next() (Message, bool) {
	at, more := d.Arrivals.Next()
	if !more {
		return Message{}, false
	}
	message := Message{At: at, Destination: d.Destinations[d.DestinationPicker.Pick(d.Random)], Type: d.Types[d.Random.IntN(len(d.Types))]}
	if len(d.Tenants) > 0 {
		message.Tenant = d.Tenants[d.TenantPicker.Pick(d.Random)]
	}
	if d.Keys > 0 {
		message.Key = fmt.Sprintf("%x", message.Destination<<32|uint64(d.Random.IntN(d.Keys)+1))
	}
	if d.IdempotencyKeys {
		message.IdempotencyKey = fmt.Sprintf("%016x", d.Random.Uint64())
	}
	return message, true
}

// Trace is a recorded load, read as it is played. Its times are divided by Speed. It is a Source.
type Trace struct {
	Speed float64
	Err   error // what ended the trace, nil for its end

	next  func() (Message, error)
	first float64
	began bool
	last  float64
	line  int
	file  io.Closer
}

// Open opens a trace: CSV with a head (.csv), else JSON lines, with the fields of Message. Times are in seconds, in
// order, from any beginning. speed is how many times as fast it is played. The caller closes the trace.
func Open(path string, speed float64) (*Trace, error) {
	if !(speed > 0) || math.IsInf(speed, 0) {
		return nil, fmt.Errorf("speed: %v is not over 0", speed)
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
		t.next = t.jsonLines(r)
		return t, nil
	}
	next, err := t.csvRows(r)
	if err != nil {
		return nil, err
	}
	t.next = next
	return t, nil
}

// maxLineBytes is how long a line of JSON may be.
const maxLineBytes = 1 << 20

// jsonLines reads a message from each line.
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

// columns set a message's fields from CSV.
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

// csvRows reads the head and then a message from each row.
func (t *Trace) csvRows(r io.Reader) (func() (Message, error), error) {
	in := csv.NewReader(r)
	head, err := in.Read()
	t.line = 1
	if err != nil {
		return nil, fmt.Errorf("line 1: %w", err)
	}
	for _, name := range head {
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
			if err := columns[head[i]](&m, v); err != nil {
				return m, fmt.Errorf("%s: %w", head[i], err)
			}
		}
		return m, nil
	}, nil
}

// Next is the next message of the trace, false after its end or an error, which Err tells.
func (t *Trace) Next() (Message, bool) {
	if t.Err != nil {
		return Message{}, false
	}
	d, err := t.next()
	if err == nil {
		err = t.check(&d)
	}
	if err != nil {
		if !errors.Is(err, io.EOF) {
			t.Err = fmt.Errorf("line %d: %w", t.line, err)
		}
		return Message{}, false
	}
	if !t.began {
		t.began, t.first = true, d.At
	}
	d.At = (d.At - t.first) / t.Speed
	return d, true
}

func (t *Trace) check(d *Message) error {
	switch {
	case !(d.At >= 0) || math.IsInf(d.At, 0):
		return fmt.Errorf("at: %v is not a time", d.At)
	case t.began && d.At < t.last:
		return fmt.Errorf("at: %v comes before the one in front of it", d.At)
	case d.Type == "":
		return errors.New("type: is missing")
	case d.Bytes < 0 || d.Bytes > 64<<10:
		return fmt.Errorf("bytes: %d is not between 0 and 65536", d.Bytes)
	case !(d.TimeToLive >= 0):
		return fmt.Errorf("life: %v is not a time", d.TimeToLive)
	}
	if _, err := strconv.ParseUint(d.Key, 16, 64); d.Key != "" && err != nil {
		return fmt.Errorf("key: %q is not a hexadecimal number", d.Key)
	}
	t.last = d.At
	return nil
}
