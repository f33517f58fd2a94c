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

// Generator makes messages at drawn moments, for destinations and tenants with heavy tails.
type Generator struct {
	Arrivals *Arrivals
	Random   *rand.Rand
	Dests    []uint64
	Dest     Picker
	Tenants  []string
	Tenant   Picker
	Types    []string
	Keys     int  // ordering keys in use at once; 0: none
	Numbers  bool // each message gets a number of its own
}

// Next makes the next message.
func (d *Generator) Next() (Message, bool) {
	at, more := d.Arrivals.Next()
	if !more {
		return Message{}, false
	}
	message := Message{At: at, Destination: d.Dests[d.Dest.Pick(d.Random)], Type: d.Types[d.Random.IntN(len(d.Types))]}
	if len(d.Tenants) > 0 {
		message.Tenant = d.Tenants[d.Tenant.Pick(d.Random)]
	}
	if d.Keys > 0 {
		message.Key = fmt.Sprintf("%x", message.Destination<<32|uint64(d.Random.IntN(d.Keys)+1))
	}
	if d.Numbers {
		message.IdempotencyKey = fmt.Sprintf("%016x", d.Random.Uint64())
	}
	return message, true
}

// Trace is a recorded load, read as it is played. Its times are divided by Speed.
type Trace struct {
	Speed float64
	next  func() (Message, error)
	first float64
	began bool
	last  float64
	line  int
	Err   error // what ended the trace, if not its end
	file  io.Closer
}

// Open opens a trace: JSON lines (.jsonl) or CSV with a head (.csv), with the fields of Doc. Latencies are in seconds, in
// order, from any beginning.
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

// BlockUntil lets go of the file.
func (t *Trace) Close() error { return t.file.Close() }

func newTrace(r io.Reader, commas bool, speed float64) (*Trace, error) {
	t := &Trace{Speed: speed}
	if !commas {
		in := bufio.NewScanner(r)
		in.Buffer(nil, 1<<20)
		t.next = func() (Message, error) {
			var d Message
			for in.Scan() {
				t.line++
				if strings.TrimSpace(in.Text()) == "" {
					continue
				}
				dec := json.NewDecoder(strings.NewReader(in.Text()))
				dec.DisallowUnknownFields()
				return d, dec.Decode(&d)
			}
			if in.Err() != nil {
				return d, in.Err()
			}
			return d, io.EOF
		}
		return t, nil
	}
	in := csv.NewReader(r)
	head, err := in.Read()
	t.line = 1
	if err != nil {
		return nil, fmt.Errorf("line 1: %w", err)
	}
	set := map[string]func(d *Message, v string) error{
		"at":     func(d *Message, v string) (err error) { d.At, err = strconv.ParseFloat(v, 64); return },
		"dest":   func(d *Message, v string) (err error) { d.Destination, err = strconv.ParseUint(v, 10, 32); return },
		"life":   func(d *Message, v string) (err error) { d.TimeToLive, err = strconv.ParseFloat(v, 64); return },
		"bytes":  func(d *Message, v string) (err error) { d.Bytes, err = strconv.Atoi(v); return },
		"type":   func(d *Message, v string) error { d.Type = v; return nil },
		"tenant": func(d *Message, v string) error { d.Tenant = v; return nil },
		"key":    func(d *Message, v string) error { d.Key = v; return nil },
		"number": func(d *Message, v string) error { d.IdempotencyKey = v; return nil }}
	for _, h := range head {
		if set[h] == nil {
			return nil, fmt.Errorf("line 1: unknown column %q", h)
		}
	}
	t.next = func() (d Message, err error) {
		row, err := in.Read()
		if err != nil {
			return d, err
		}
		t.line++
		for i, v := range row {
			if v == "" {
				continue
			}
			if err := set[head[i]](&d, v); err != nil {
				return d, fmt.Errorf("%s: %w", head[i], err)
			}
		}
		return d, nil
	}
	return t, nil
}

// Next is the next message of the trace.
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
		return errors.New("type: is not told")
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
