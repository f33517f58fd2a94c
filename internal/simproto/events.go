package simproto

import (
	"fmt"

	"spanflow/scheduler"
)

// listEntry is one endpoint in a list of endpoints.
type listEntry struct {
	destination, kind, zone uint16
	rate                    float64
	address                 uint64
	status                  uint8 // index into endpointStates
}

// endpointStates maps the status codes of the protocol to the scheduler's states.
var endpointStates = [...]scheduler.EndpointState{scheduler.Removed, scheduler.Ready, scheduler.Draining}

// listScope tells which entries the list of an eventEndpoints contains.
type listScope uint8

const (
	scopeChanges listScope = iota // changed entries only
	scopeFull                     // all entries
	scopeCached                   // all entries of the last list that this instance had
	scopeFailed                   // no entries, as the request failed
	listScopes                    // number of scopes
)

const maxDestination = 1 << 24 // f32 represents every integer up to this one exactly

// outcomes maps the reason of an eventResult to the scheduler's outcome.
var outcomes = map[uint16]scheduler.Outcome{
	200: scheduler.Delivered,
	502: scheduler.ServerError,
	429: scheduler.Overloaded,
	408: scheduler.TimedOut,
	521: scheduler.NoConnection,
	520: scheduler.Reset,
	444: scheduler.Cancelled,
	409: scheduler.NotSent,
}

// decode reads one complete event of the instance and returns a function that applies the event to the scheduler.
func (in *instance) decode(code eventCode, r *reader) (func(), error) {
	switch code {
	case eventEndpoints:
		return in.decodeEndpoints(r)
	case eventResult:
		return in.decodeResult(r)
	case eventWithdrawn:
		return in.decodeWithdrawn(r), nil
	case eventTimer:
		r.u64()
		return in.scheduler.TimerFired, nil
	case eventEstablished, eventNeighbour, eventSampled:
		skip(code, r)
		return func() {}, nil
	default:
		return in.decodeMessage(r)
	}
}

// skip reads an event of an unused kind.
func skip(code eventCode, r *reader) {
	switch code {
	case eventEstablished:
		r.u32()
		r.address()
		r.f64()
		r.u16()
	case eventNeighbour:
		r.u16()
		r.take(uint64(r.u16()))
	case eventSampled:
		r.address()
		r.u16()
		r.f64()
		r.take(uint64(r.u8()) * 4)
	}
}

func (in *instance) decodeEndpoints(r *reader) (func(), error) {
	r.u64() // version
	scope, number := listScope(r.u8()), r.u16()
	if scope >= listScopes {
		return nil, fmt.Errorf("unknown list scope %d", scope)
	}
	if scope == scopeFailed {
		return in.scheduler.PollTimedOut, nil
	}
	entries, known := in.host.lists[number]
	if !known && r.err == nil {
		return nil, fmt.Errorf("list %d was never sent", number)
	}
	return func() { in.scheduler.UpdateEndpoints(scope != scopeChanges, in.endpointUpdates(entries)) }, nil
}

func (in *instance) endpointUpdates(entries []listEntry) []scheduler.EndpointUpdate {
	updates := make([]scheduler.EndpointUpdate, 0, len(entries))
	for _, e := range entries {
		updates = append(updates, scheduler.EndpointUpdate{
			Endpoint:    in.endpoint(e.address),
			Destination: in.destination(uint32(e.destination)),
			Kind:        int(e.kind),
			Zone:        int(e.zone),
			Rate:        e.rate,
			State:       endpointStates[e.status],
		})
	}
	return updates
}

func (in *instance) decodeWithdrawn(r *reader) func() {
	id := r.u32()
	return func() {
		if m := in.messages[id]; m != nil {
			in.scheduler.Withdraw(m)
			in.release(m)
		}
	}
}

func (in *instance) decodeMessage(r *reader) (func(), error) {
	id, kind, tenant, key := r.u32(), r.u8(), r.u16(), r.u64()
	secondsLeft := r.f64() / msPerSecond
	r.f64() // estimated cost
	destination, _ := r.f32(), r.u8()
	if r.err == nil && !(destination >= 0 && destination <= maxDestination) {
		return nil, fmt.Errorf("%v is not a valid destination number", destination)
	}
	if r.err == nil && !in.scheduler.HasType(int(kind)) {
		return nil, fmt.Errorf("message type %d is not in the settings", kind)
	}
	return func() {
		m := &scheduler.Message{ID: uint64(id), Tenant: int(tenant), Key: key, Dest: in.destination(uint32(destination))}
		in.messages[id] = m
		in.scheduler.Accept(m, int(kind), secondsLeft)
	}, nil
}

func (in *instance) decodeResult(r *reader) (func(), error) {
	id := r.u32()
	r.address()
	result := scheduler.AttemptResult{Final: r.u8() != 0, Latency: r.f64() / msPerSecond}
	retryAfterMs := r.u32()
	r.u16() // number of the attempt; not needed, as a message has only one attempt at a time
	reason := r.u16()
	in.decodeLoadReport(r, &result)
	outcome, known := outcomes[reason]
	if !known && r.err == nil {
		return nil, fmt.Errorf("unknown outcome %d", reason)
	}
	result.Outcome = outcome
	if outcome == scheduler.Overloaded {
		result.RetryAfter = float64(retryAfterMs) / msPerSecond
	}
	return func() {
		if m := in.messages[id]; m != nil {
			in.scheduler.AttemptEnded(m, result)
			in.release(m)
		}
	}, nil
}

// decodeLoadReport reads a load report and sets the reported limit and its remaining share in result.
func (in *instance) decodeLoadReport(r *reader, result *scheduler.AttemptResult) {
	for i := range int(r.u8()) {
		switch v := r.f32(); i {
		case in.limitIndex:
			result.ReportedLimit = scheduler.ReportedValue(v)
		case in.shareIndex:
			result.ReportedShare = scheduler.ReportedValue(v)
		}
	}
}

// storeList stores a list of endpoints under its number, for later events that refer to it.
func (h *Host) storeList(r *reader, number uint16) error {
	n := r.u32()
	if r.err == nil && uint64(n)*listEntryBytes > uint64(len(r.data)) {
		return fmt.Errorf("list of %d entries exceeds the frame", n)
	}
	var list []listEntry
	for range n {
		e := listEntry{destination: r.u16(), kind: r.u16()}
		r.f64() // when it was added
		e.rate = r.f32()
		e.address, e.zone, e.status = r.address(), r.u16(), r.u8()
		if r.err == nil && int(e.status) >= len(endpointStates) {
			return fmt.Errorf("unknown endpoint status %d", e.status)
		}
		list = append(list, e)
	}
	h.lists[number] = list
	return r.err
}
