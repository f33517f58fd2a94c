package forwarder

import (
	"time"

	"spanflow/internal/statefile"
)

// The retry-after state records until when each endpoint gets no calls, because of a Retry-After from it or as a
// backoff after rejections. A process writes it when it hands over, and its successor observes it. Otherwise an upgrade
// would send calls to an endpoint that has asked the predecessor to wait: to the endpoint the two processes are one
// forwarder.

// writeRetryAfter has the state writer save which endpoints are blocked beyond now, a time in seconds of the wall
// clock.
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
