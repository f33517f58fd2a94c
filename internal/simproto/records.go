package simproto

import "spanflow/scheduler"

// Values of a record's further fields.
const (
	noTimerID = 0 // the scheduler has one timer
	watchOn   = 1
)

// The methods below make an instance a scheduler.Host. Those that write a record do so in the order of the calls.

// Send writes that a message is to be sent to an endpoint, with its timeout in seconds.
func (in *instance) Send(m *scheduler.Message, e *scheduler.Endpoint, timeout float64) {
	w := &in.host.out
	w.record(recordSend, in.number)
	w.u32(uint32(m.ID))
	w.address(e.ID)
	w.ms(timeout)
}

// Reject writes that a message may be submitted again, after a time in seconds.
func (in *instance) Reject(m *scheduler.Message, retryAfter float64) {
	w := &in.host.out
	w.record(recordReject, in.number)
	w.u32(uint32(m.ID))
	w.ms(retryAfter)
	in.release(m)
}

// Fail writes that a message will not be delivered.
func (in *instance) Fail(m *scheduler.Message) {
	w := &in.host.out
	w.record(recordFail, in.number)
	w.u32(uint32(m.ID))
	in.release(m)
}

// CancelUnsent does nothing: in this protocol a call counts as sent when it is decided on.
func (in *instance) CancelUnsent(*scheduler.Endpoint) {}

// ReleaseEndpoint forgets an endpoint.
func (in *instance) ReleaseEndpoint(e *scheduler.Endpoint) { delete(in.endpoints, e.ID) }

// CloseIdle writes that idle connections to an endpoint are to be closed.
func (in *instance) CloseIdle(e *scheduler.Endpoint) {
	w := &in.host.out
	w.record(recordCloseIdle, in.number)
	w.address(e.ID)
}

// Wake writes that the instance is to be woken after a time in seconds.
func (in *instance) Wake(after float64) {
	w := &in.host.out
	w.record(recordWake, in.number)
	w.u64(noTimerID)
	w.ms(after)
}

// WatchEndpoints writes that the instance asks for the list of endpoints and its changes.
func (in *instance) WatchEndpoints() {
	w := &in.host.out
	w.record(recordWatch, in.number)
	w.u8(watchOn)
}

// Log writes a line for the simulator's log.
func (in *instance) Log(line string) {
	w := &in.host.out
	w.record(recordLog, in.number)
	w.text(line)
}
