package simproto

import (
	"errors"
	"fmt"
	"math"
	"runtime/debug"

	"spanflow/internal/settings"
	"spanflow/scheduler"
)

var errClock = errors.New("the batch clock is not finite")

// Host runs the forwarders of one process. It is not safe for concurrent use.
type Host struct {
	instances map[uint16]*instance
	lists     map[uint16][]listEntry // the latest list by number
	out       writer
	touched   []*instance // instances with events in this batch, in order of their first event
}

// NewHost returns a host without forwarders.
func NewHost() *Host {
	return &Host{instances: map[uint16]*instance{}, lists: map[uint16][]listEntry{}}
}

// Batch handles all events of a batch, then reconciles once each forwarder that had any event. It returns the reply
// frame, which is valid until the next call. The host must not be used after an error.
func (h *Host) Batch(records uint32, clockMs float64, body []byte) ([]byte, error) {
	if math.IsNaN(clockMs) || math.IsInf(clockMs, 0) {
		return nil, errClock
	}
	h.out.reset()
	h.touched = h.touched[:0]
	r := &reader{data: body}
	for i := range records {
		if len(r.data) == 0 {
			return nil, fmt.Errorf("batch ends after %d of %d records", i, records)
		}
		if err := h.handleEvent(r, clockMs/msPerSecond); err != nil {
			return nil, fmt.Errorf("record %d: %w", i+1, err)
		}
	}
	if len(r.data) > 0 {
		return nil, fmt.Errorf("%d bytes follow the last record", len(r.data))
	}
	h.reconcile()
	return h.out.frame(), nil
}

// reconcile reconciles the forwarders that had events, in the order of their first events.
func (h *Host) reconcile() {
	for _, in := range h.touched {
		if in.dirty && h.instances[in.number] == in {
			in.dirty = false
			in.recoverPanic(in.scheduler.Reconcile)
		}
	}
}

// handleEvent decodes one event and applies it at the time now, in seconds.
func (h *Host) handleEvent(r *reader, now float64) error {
	code := eventCode(r.u8())
	if code >= eventCodes {
		return fmt.Errorf("unknown event code %d", code)
	}
	number := r.u16()
	if code == eventList {
		return h.storeList(r, number)
	}
	if r.err != nil {
		return r.err
	}
	if code == eventProvision {
		return h.decodeProvision(r, number, now)
	}
	in := h.instances[number]
	if in == nil {
		return fmt.Errorf("event %d for unknown instance %d", code, number)
	}
	if code == eventKill {
		delete(h.instances, number)
		return nil
	}
	apply, err := in.decode(code, r)
	if err == nil {
		err = r.err
	}
	if err != nil {
		return err
	}
	in.markDirty()
	in.recoverPanic(func() {
		in.scheduler.SetTime(now)
		apply()
	})
	return nil
}

// decodeProvision decodes an eventProvision and starts the forwarder.
func (h *Host) decodeProvision(r *reader, number uint16, now float64) error {
	seed, n := r.u64(), r.u32()
	text := r.take(uint64(n))
	if r.err != nil {
		return r.err
	}
	return h.provision(number, seed, text, now)
}

// provision starts a forwarder with a random seed and settings in JSON. It replaces a forwarder with the same number.
func (h *Host) provision(number uint16, seed uint64, text []byte, now float64) error {
	schedulerSettings, names, err := settings.Read(text)
	if err != nil {
		return fmt.Errorf("settings of instance %d: %w", number, err)
	}
	in := &instance{
		host:         h,
		number:       number,
		limitIndex:   names.LimitIndex,
		shareIndex:   names.ShareIndex,
		messages:     map[uint32]*scheduler.Message{},
		destinations: map[uint32]*scheduler.Destination{},
		endpoints:    map[uint64]*scheduler.Endpoint{},
	}
	in.scheduler = scheduler.New(schedulerSettings, seed, now, in)
	h.instances[number] = in
	in.markDirty()
	return nil
}

// instance is one forwarder, with the objects that the protocol identifies by numbers. It implements scheduler.Host for
// its scheduler.
type instance struct {
	host         *Host
	number       uint16
	scheduler    *scheduler.Scheduler
	messages     map[uint32]*scheduler.Message
	destinations map[uint32]*scheduler.Destination
	endpoints    map[uint64]*scheduler.Endpoint // by address
	limitIndex   int                            // index of the limit in a load report
	shareIndex   int                            // index of the limit's remaining share
	dirty        bool                           // had an event since the last reconcile
}

// recoverPanic runs step and writes a panic of the scheduler, with its stack, as a record.
func (in *instance) recoverPanic(step func()) {
	defer func() {
		if p := recover(); p != nil {
			in.host.out.record(recordPanic, in.number)
			in.host.out.text(fmt.Sprintf("%v\n%s", p, debug.Stack()))
		}
	}()
	step()
}

// markDirty marks the instance to be reconciled at the end of the batch.
func (in *instance) markDirty() {
	if !in.dirty {
		in.dirty = true
		in.host.touched = append(in.host.touched, in)
	}
}

// destination returns the destination with the given number and creates it on first use.
func (in *instance) destination(number uint32) *scheduler.Destination {
	d := in.destinations[number]
	if d == nil {
		d = in.scheduler.NewDestination(uint64(number))
		in.destinations[number] = d
	}
	return d
}

// endpoint returns the endpoint with the given address and creates it on first use.
func (in *instance) endpoint(address uint64) *scheduler.Endpoint {
	e := in.endpoints[address]
	if e == nil {
		e = &scheduler.Endpoint{ID: address}
		in.endpoints[address] = e
	}
	return e
}

// release removes a finished message, as no later event can refer to it.
func (in *instance) release(m *scheduler.Message) {
	if m.Finished() {
		delete(in.messages, uint32(m.ID))
	}
}
