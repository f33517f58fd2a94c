package forwarder

import (
	"time"

	"spanflow/internal/wal"
	"spanflow/scheduler"
	"spanflow/transport"
)

// The methods in this file implement scheduler.Host: they carry out the scheduler's decisions.
var _ scheduler.Host = (*eventLoop)(nil)

// Send adds a message to the pending call in which the scheduler has put it, or begins that call. Pending calls are sent
// at the end of the turn at the latest. timeout is in seconds.
func (loop *eventLoop) Send(message *scheduler.Message, to *scheduler.Endpoint, timeout float64) {
	m, endpoint := loop.messages.byNumber[message.ID], loop.endpoints.byNumber[to.ID]
	m.attemptAt = time.Now()
	if err := loop.wal.RecordAttempt(message.ID, micros(loop.schedulerTime(m.attemptAt)), endpoint.zone); err != nil {
		loop.logWALError(err)
		loop.queue.CallEnded(transport.CallResult{
			Call:  newCall(m, endpoint),
			Codes: []transport.ResultCode{transport.ResultNotStarted},
		})
		return
	}
	loop.clearUntried(m, true)
	if m.traced {
		loop.telemetry.log.Info().Str("id", m.ID).Uint64("destination", endpoint.destination).
			Str("endpoint", endpoint.uid).Float64("timeout_s", timeout).Msg("trace: attempt")
	}
	m.SendBefore = loop.timeOf(message.LatestStart())
	loop.calls.add(m, endpoint, time.Duration(timeout*float64(time.Second)))
}

// Reject answers a message that was not delivered; its client may submit it again after retryAfter seconds.
func (loop *eventLoop) Reject(message *scheduler.Message, retryAfter float64) {
	loop.telemetry.counts.rejected++
	loop.giveFinalAnswer(loop.messages.byNumber[message.ID], wal.Rejected, int(retryAfter*1000))
}

// Fail gives the final answer for a message that may have run or can no longer be delivered.
func (loop *eventLoop) Fail(message *scheduler.Message) {
	loop.telemetry.counts.failed++
	loop.giveFinalAnswer(loop.messages.byNumber[message.ID], wal.Failed, 0)
}

// CancelUnsent cancels those calls to an endpoint whose first byte has not been sent yet.
func (loop *eventLoop) CancelUnsent(e *scheduler.Endpoint) {
	if known := loop.endpoints.byNumber[e.ID]; known != nil {
		known.upstream.CancelUnsent(e.ID)
	}
}

// CancelAttempt takes a message out of its call unless the call's first byte has been sent.
func (loop *eventLoop) CancelAttempt(message *scheduler.Message) bool {
	for _, upstream := range loop.calls.upstreams {
		if upstream.CancelMessage(message.ID) {
			loop.attemptCancelled(loop.messages.byNumber[message.ID])
			return true
		}
	}
	if loop.queue.takeUnsent(message.ID) { // its call has ended without it, but the result is not handled yet
		loop.attemptCancelled(loop.messages.byNumber[message.ID])
		return true
	}
	return false
}

// CloseIdle does nothing, as upstreams keep no idle connections.
func (loop *eventLoop) CloseIdle(*scheduler.Endpoint) {}

// ReleaseEndpoint removes an endpoint that the scheduler no longer uses.
func (loop *eventLoop) ReleaseEndpoint(e *scheduler.Endpoint) { loop.endpoints.remove(e.ID) }

// Wake sets the scheduler's timer to fire in a number of seconds.
func (loop *eventLoop) Wake(in float64) {
	loop.wakeAt = time.Now().Add(time.Duration(in * float64(time.Second)))
}

// WatchEndpoints requests the changes to the endpoint list since the current revision.
func (loop *eventLoop) WatchEndpoints() { loop.discovery.source.Watch(loop.discovery.revision) }

// Log logs a line from the scheduler, which reports a change of a destination's mode.
func (loop *eventLoop) Log(line string) {
	loop.telemetry.log.Info().Str("mode", line).Msg("mode of a destination changed")
}
