// Package simproto speaks the simulator's frames and translates them to the words of package choice.
package simproto

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime/debug"

	"spanflow/internal/settings"
	"spanflow/scheduler"
)

const (
	batchHeader = 16
	replyHeader = 8
	largest     = 256 << 20
)

// Serve answers every batch on in with one reply on out, until the end of input.
func Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriter(out)
	h := NewHost()
	head := make([]byte, batchHeader)
	for {
		if _, err := io.ReadFull(r, head); err == io.EOF {
			return nil
		} else if err != nil {
			return fmt.Errorf("batch header: %w", err)
		}
		size := binary.LittleEndian.Uint32(head)
		if size < batchHeader || size > largest {
			return fmt.Errorf("batch length %d is out of range", size)
		}
		var body bytesOf
		if _, err := io.CopyN(&body, r, int64(size-batchHeader)); err != nil {
			return fmt.Errorf("batch of %d bytes is cut short: %w", size, err)
		}
		clock := math.Float64frombits(binary.LittleEndian.Uint64(head[8:]))
		reply, err := h.Batch(binary.LittleEndian.Uint32(head[4:]), clock, body)
		if err != nil {
			return err
		}
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

type bytesOf []byte

func (b *bytesOf) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}

// reader takes fields off a frame's body; the first field that does not fit sets err.
type reader struct {
	b   []byte
	err error
}

var errShort = errors.New("a field overruns the frame")

func (r *reader) take(n uint64) []byte {
	if r.err != nil || n > uint64(len(r.b)) {
		r.err = errShort
		if n > 8 {
			return nil
		}
		return make([]byte, n)
	}
	v := r.b[:n]
	r.b = r.b[n:]
	return v
}

func (r *reader) u8() uint8    { return r.take(1)[0] }
func (r *reader) u16() uint16  { return binary.LittleEndian.Uint16(r.take(2)) }
func (r *reader) u32() uint32  { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64  { return binary.LittleEndian.Uint64(r.take(8)) }
func (r *reader) f32() float64 { return float64(math.Float32frombits(r.u32())) }

// f64 reads a time or figure; what is not a number is an error.
func (r *reader) f64() float64 {
	v := math.Float64frombits(r.u64())
	if r.err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
		r.err = errors.New("a figure is not finite")
	}
	return v
}

// address packs four bytes of address and a port into one number.
func (r *reader) address() uint64 {
	b := r.take(6)
	return uint64(binary.LittleEndian.Uint32(b)) | uint64(binary.LittleEndian.Uint16(b[4:]))<<32
}

type writer struct {
	b []byte
	n uint32
}

func (w *writer) record(code uint8, instance uint16) {
	w.n++
	w.b = append(w.b, code)
	w.u16(instance)
}
func (w *writer) u16(v uint16) { w.b = binary.LittleEndian.AppendUint16(w.b, v) }
func (w *writer) u32(v uint32) { w.b = binary.LittleEndian.AppendUint32(w.b, v) }
func (w *writer) u64(v uint64) { w.b = binary.LittleEndian.AppendUint64(w.b, v) }
func (w *writer) ms(s float64) { w.u64(math.Float64bits(s * 1000)) }
func (w *writer) text(s string) {
	s = s[:min(len(s), 4000)]
	w.u16(uint16(len(s)))
	w.b = append(w.b, s...)
}
func (w *writer) address(a uint64) {
	w.u32(uint32(a))
	w.u16(uint16(a >> 32))
}

type entry struct {
	dest, kind, zone uint16
	rate             float64
	address          uint64
	status           uint8
}

// Host runs the forwarders of one process.
type Host struct {
	instances map[uint16]*instance
	manifests map[uint16][]entry
	out       writer
	touched   []*instance
}

// NewHost has no forwarders yet.
func NewHost() *Host {
	return &Host{instances: map[uint16]*instance{}, manifests: map[uint16][]entry{}}
}

// instance is one forwarder and the pointers behind its wire ids.
type instance struct {
	host    *Host
	number  uint16
	f       *scheduler.Scheduler
	docs    map[uint32]*scheduler.Message
	dests   map[uint32]*scheduler.Destination
	targets map[uint64]*scheduler.Endpoint
	limitAt int // place of the limit in a load report
	leftAt  int // and of the share of it that is left
	dirty   bool
}

// Batch takes all events of a batch, lets each forwarder with news settle once and returns the reply frame.
func (h *Host) Batch(records uint32, clockMs float64, body []byte) ([]byte, error) {
	if math.IsNaN(clockMs) || math.IsInf(clockMs, 0) {
		return nil, errors.New("the batch clock is not finite")
	}
	h.out = writer{b: append(h.out.b[:0], 0, 0, 0, 0, 0, 0, 0, 0)}
	h.touched = h.touched[:0]
	r := &reader{b: body}
	for i := range records {
		if len(r.b) == 0 {
			return nil, fmt.Errorf("batch ends after %d of %d records", i, records)
		}
		if err := h.event(r, clockMs/1000); err != nil {
			return nil, fmt.Errorf("record %d: %w", i+1, err)
		}
	}
	if len(r.b) > 0 {
		return nil, fmt.Errorf("%d bytes follow the last record", len(r.b))
	}
	for _, in := range h.touched {
		if in.dirty && h.instances[in.number] == in {
			in.dirty = false
			in.guard(in.f.Reconcile)
		}
	}
	binary.LittleEndian.PutUint32(h.out.b, uint32(len(h.out.b)))
	binary.LittleEndian.PutUint32(h.out.b[4:], h.out.n)
	return h.out.b, nil
}

// guard turns a panic of the scheduler into a record that names it.
func (in *instance) guard(step func()) {
	defer func() {
		if p := recover(); p != nil {
			in.host.out.record(9, in.number)
			in.host.out.text(fmt.Sprintf("%v\n%s", p, debug.Stack()))
		}
	}()
	step()
}

func (h *Host) event(r *reader, now float64) error {
	code := r.u8()
	if code > 10 {
		return fmt.Errorf("unknown event code %d", code)
	}
	number := r.u16()
	if code == 7 {
		return h.manifest(r, number)
	}
	if r.err != nil {
		return r.err
	}
	if code == 6 {
		seed, n := r.u64(), r.u32()
		text := r.take(uint64(n))
		if r.err != nil {
			return r.err
		}
		return h.provision(number, seed, text, now)
	}
	in := h.instances[number]
	if in == nil {
		return fmt.Errorf("event %d for unknown instance %d", code, number)
	}
	if code == 4 {
		delete(h.instances, number)
		return nil
	}
	step, err := in.decode(code, r)
	if err == nil {
		err = r.err
	}
	if err != nil {
		return err
	}
	in.touch()
	in.guard(func() {
		in.f.SetTime(now)
		step()
	})
	return nil
}

func (in *instance) touch() {
	if !in.dirty {
		in.dirty = true
		in.host.touched = append(in.host.touched, in)
	}
}

func (h *Host) manifest(r *reader, number uint16) error {
	n := r.u32()
	if r.err == nil && uint64(n)*25 > uint64(len(r.b)) {
		return fmt.Errorf("list of %d entries overruns the frame", n)
	}
	var list []entry
	for range n {
		e := entry{dest: r.u16(), kind: r.u16()}
		r.f64() // when it was added
		e.rate = r.f32()
		e.address, e.zone, e.status = r.address(), r.u16(), r.u8()
		if r.err == nil && e.status > 2 {
			return fmt.Errorf("unknown target status %d", e.status)
		}
		list = append(list, e)
	}
	h.manifests[number] = list
	return r.err
}

func (h *Host) provision(number uint16, seed uint64, text []byte, now float64) error {
	t, fronts, err := settings.Read(text)
	if err != nil {
		return fmt.Errorf("settings of instance %d: %w", number, err)
	}
	in := &instance{host: h, number: number, limitAt: fronts.LimitIndex, leftAt: fronts.ShareIndex, docs: map[uint32]*scheduler.Message{},
		dests: map[uint32]*scheduler.Destination{}, targets: map[uint64]*scheduler.Endpoint{}}
	in.f = scheduler.New(t, seed, now, in)
	h.instances[number] = in
	in.touch()
	return nil
}

func (in *instance) dest(number uint32) *scheduler.Destination {
	d := in.dests[number]
	if d == nil {
		d = in.f.NewDestination(uint64(number))
		in.dests[number] = d
	}
	return d
}

// decode reads one event whole and returns what it does to the forwarder.
func (in *instance) decode(code uint8, r *reader) (func(), error) {
	f := in.f
	switch code {
	case 0:
		r.u64() // version
		scope, list := r.u8(), r.u16()
		if scope > 3 {
			return nil, fmt.Errorf("unknown list scope %d", scope)
		}
		if scope == 3 {
			return f.PollTimedOut, nil
		}
		entries, known := in.host.manifests[list]
		if !known && r.err == nil {
			return nil, fmt.Errorf("list %d was never conveyed", list)
		}
		return func() { f.UpdateEndpoints(scope != 0, in.listings(entries)) }, nil
	case 1:
		return in.ended(r)
	case 2:
		id := r.u32()
		return func() {
			if d := in.docs[id]; d != nil {
				f.Withdraw(d)
				in.release(d)
			}
		}, nil
	case 3:
		r.u32()
		r.address()
		r.f64()
		r.u16()
		return func() {}, nil
	case 5:
		r.u16()
		r.take(uint64(r.u16()))
		return func() {}, nil
	case 8:
		r.address()
		r.u16()
		r.f64()
		r.take(uint64(r.u8()) * 4)
		return func() {}, nil
	case 9:
		r.u64()
		return f.TimerFired, nil
	default:
		return in.demand(r)
	}
}

func (in *instance) listings(entries []entry) []scheduler.EndpointUpdate {
	lines := make([]scheduler.EndpointUpdate, 0, len(entries))
	for _, e := range entries {
		t := in.targets[e.address]
		if t == nil {
			t = &scheduler.Endpoint{ID: e.address}
			in.targets[e.address] = t
		}
		lines = append(lines, scheduler.EndpointUpdate{Endpoint: t, Destination: in.dest(uint32(e.dest)), Kind: int(e.kind),
			Zone: int(e.zone), Rate: e.rate, State: [3]scheduler.EndpointState{scheduler.Removed, scheduler.Ready, scheduler.Draining}[e.status]})
	}
	return lines
}

func (in *instance) demand(r *reader) (func(), error) {
	id, kind, tenant, key := r.u32(), r.u8(), r.u16(), r.u64()
	left := r.f64() / 1000
	r.f64() // rough cost
	dest, _ := r.f32(), r.u8()
	if r.err == nil && !(dest >= 0 && dest <= 1<<24) {
		return nil, fmt.Errorf("destination %v is no number of one", dest)
	}
	if r.err == nil && !in.f.HasType(int(kind)) {
		return nil, fmt.Errorf("document type %d is not in the settings", kind)
	}
	return func() {
		d := &scheduler.Message{ID: uint64(id), Tenant: int(tenant), Key: key, Dest: in.dest(uint32(dest))}
		in.docs[id] = d
		in.f.Accept(d, int(kind), left)
	}, nil
}

var outcomes = map[uint16]scheduler.Outcome{200: scheduler.Delivered, 502: scheduler.ServerError, 429: scheduler.Overloaded,
	408: scheduler.TimedOut, 521: scheduler.NoConnection, 520: scheduler.Reset, 444: scheduler.Cancelled, 409: scheduler.NotSent}

func (in *instance) ended(r *reader) (func(), error) {
	id := r.u32()
	r.address()
	e := scheduler.AttemptResult{Final: r.u8() != 0, Latency: r.f64() / 1000}
	note := r.u32()
	r.u16() // which attempt: only one is ever out
	reason := r.u16()
	for i := range int(r.u8()) {
		switch v := r.f32(); i {
		case in.limitAt:
			e.ReportedLimit = scheduler.ReportedValue(v)
		case in.leftAt:
			e.ReportedShare = scheduler.ReportedValue(v)
		}
	}
	outcome, known := outcomes[reason]
	if !known && r.err == nil {
		return nil, fmt.Errorf("unknown outcome %d", reason)
	}
	e.Outcome = outcome
	if outcome == scheduler.Overloaded {
		e.RetryAfter = float64(note) / 1000
	}
	return func() {
		if d := in.docs[id]; d != nil {
			in.f.AttemptEnded(d, e)
			in.release(d)
		}
	}, nil
}

// release forgets a message of which nothing more can be heard.
func (in *instance) release(d *scheduler.Message) {
	if d.Finished() {
		delete(in.docs, uint32(d.ID))
	}
}

// Send, Reject, Fail, CancelUnsent, CloseIdle, Wake, WatchEndpoints and Log make this the choice.Host.

func (in *instance) Send(d *scheduler.Message, t *scheduler.Endpoint, timeout float64) {
	w := &in.host.out
	w.record(0, in.number)
	w.u32(uint32(d.ID))
	w.address(t.ID)
	w.ms(timeout)
}

func (in *instance) Reject(d *scheduler.Message, comeBack float64) {
	w := &in.host.out
	w.record(1, in.number)
	w.u32(uint32(d.ID))
	w.ms(comeBack)
	in.release(d)
}

func (in *instance) Fail(d *scheduler.Message) {
	w := &in.host.out
	w.record(2, in.number)
	w.u32(uint32(d.ID))
	in.release(d)
}

// CancelUnsent has nothing to do: on this wire a call counts as sent when it is decided on.
func (in *instance) CancelUnsent(*scheduler.Endpoint) {}

func (in *instance) ReleaseEndpoint(t *scheduler.Endpoint) { delete(in.targets, t.ID) }

func (in *instance) CloseIdle(t *scheduler.Endpoint) {
	w := &in.host.out
	w.record(6, in.number)
	w.address(t.ID)
}

func (in *instance) Wake(after float64) {
	w := &in.host.out
	w.record(4, in.number)
	w.u64(0)
	w.ms(after)
}

func (in *instance) WatchEndpoints() {
	in.host.out.record(10, in.number)
	in.host.out.b = append(in.host.out.b, 1)
}

func (in *instance) Log(line string) {
	in.host.out.record(8, in.number)
	in.host.out.text(line)
}
