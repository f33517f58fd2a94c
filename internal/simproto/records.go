package simproto

import "spanflow/scheduler"

// Constant values of fields in records.
const (
	timerID = 0 // the scheduler has only one timer
	watchOn = 1
)

// The methods below implement scheduler.Host. They write records in the order of the calls.

// Send writes a request to send a message to an endpoint. The timeout is in seconds.
func (in *instance) Send(m *scheduler.Message, e *scheduler.Endpoint, timeout float64) {
	w := &in.host.out
	w.record(recordSend, in.number)
	w.u32(uint32(m.ID))
	w.address(e.ID)
	w.ms(timeout)
}

// Reject writes a record that a message is rejected and may be submitted again after retryAfter seconds.
func (in *instance) Reject(m *scheduler.Message, retryAfter float64) {
	w := &in.host.out
	w.record(recordReject, in.number)
	w.u32(uint32(m.ID))
	w.ms(retryAfter)
	in.release(m)
}

// Fail writes a record that a message has failed.
func (in *instance) Fail(m *scheduler.Message) {
	w := &in.host.out
	w.record(recordFail, in.number)
	w.u32(uint32(m.ID))
	in.release(m)
}

// CancelUnsent does nothing, as this protocol regards a call as sent once the scheduler decides to send it.
func (in *instance) CancelUnsent(*scheduler.Endpoint) {}

// CancelAttempt returns false, as this protocol regards a call as sent once the scheduler decides to send it.
func (in *instance) CancelAttempt(*scheduler.Message) bool { return false }

// ReleaseEndpoint removes an endpoint that the scheduler no longer uses.
func (in *instance) ReleaseEndpoint(e *scheduler.Endpoint) { delete(in.endpoints, e.ID) }

// CloseIdle writes a request to close the idle connections to an endpoint.
func (in *instance) CloseIdle(e *scheduler.Endpoint) {
	w := &in.host.out
	w.record(recordCloseIdle, in.number)
	w.address(e.ID)
}

// Wake writes a request to wake the instance after the given number of seconds.
func (in *instance) Wake(after float64) {
	w := &in.host.out
	w.record(recordWake, in.number)
	w.u64(timerID)
	w.ms(after)
}

// WatchEndpoints writes a request for the list of endpoints and its changes.
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
