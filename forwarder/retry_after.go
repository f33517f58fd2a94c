package forwarder

import (
	"time"

	"spanflow/internal/statefile"
)

// The retry-after state records the time until which each endpoint gets no calls, because of a Retry-After from it or
// as a backoff after rejections. A process writes it at a handover, and its successor observes it. Otherwise the
// successor would call an endpoint that has asked the predecessor to wait, although both processes are one forwarder to
// the endpoint.

// writeRetryAfter passes the endpoints that are still blocked at the given time to the state writer. The time is in
// seconds of the wall clock.
func (loop *eventLoop) writeRetryAfter(now float64) {
	var table statefile.RetryAfterTable
	for _, t := range loop.endpoints.byNumber {
		if until := t.scheduled.BlockedUntil(); until > now {
			table.Add(t.uid, until)
		}
	}
	folder := loop.config.Folder
	loop.stateWriter.put(statefile.RetryAfterFile, func() error { return table.Write(folder) })
}

// restoreRetryAfter passes the predecessor's retry-after state to the scheduler, for those endpoints that are listed
// now.
func (loop *eventLoop) restoreRetryAfter() {
	now := loop.schedulerTime(time.Now())
	for uid, until := range loop.endpoints.restoredRetryAfter {
		if until < now {
			delete(loop.endpoints.restoredRetryAfter, uid)
		} else if t := loop.endpoints.byUID[uid]; t != nil {
			loop.scheduler.BlockUntil(t.scheduled, until)
			delete(loop.endpoints.restoredRetryAfter, uid)
		}
	}
}
