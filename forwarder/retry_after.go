package forwarder

import (
	"time"

	"spanflow/internal/statefile"
)

// The retry-after state says until when each endpoint gets no calls: for a Retry-After of its own, or as a backoff after
// rejections. It is kept at the end of a process, and the process that takes over the folder observes it. Guards against
// an upgrade that sends to an endpoint which told the old process to wait; the two are one forwarder to it.

// writeRetryAfter writes the state of the endpoints that are blocked beyond now, in seconds of the wall clock.
func (o *owner) writeRetryAfter(now float64) {
	var table statefile.RetryAfterTable
	for _, t := range o.targets {
		if until := t.module.BlockedUntil(); until > now {
			table.Add(t.uid, until)
		}
	}
	if err := table.Write(o.order.Folder); err != nil {
		o.log.Error().Err(err).Msg("retry-after state not written")
	}
}

// restoreRetryAfter gives the scheduler the state that an earlier process left for the endpoints that are listed by now.
func (o *owner) restoreRetryAfter() {
	now := o.clock(time.Now())
	for uid, until := range o.retryAfter {
		if until < now {
			delete(o.retryAfter, uid)
		} else if t := o.byUID[uid]; t != nil {
			o.f.BlockUntil(t.module, until)
			delete(o.retryAfter, uid)
		}
	}
}
