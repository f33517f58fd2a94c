package forwarder

import (
	"time"

	"spanflow/internal/statefile"
)

// The retry-after state says until when each endpoint gets no calls: for a Retry-After of its own, or as a backoff
// after rejections. It is written when a process hands over, and the process that takes over the folder observes it.
// This guards against an upgrade that sends to an endpoint that has asked the old process to wait: to the endpoint the
// two processes are one forwarder.

// writeRetryAfter has the state writer write the state of the endpoints that are blocked beyond now, in seconds of the
// wall clock.
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

// restoreRetryAfter gives the scheduler the state that an earlier process left for the endpoints that are listed by
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
