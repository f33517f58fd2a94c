package forwarder

import (
	"context"
	"io"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/drains"
	"spanflow/scheduler"
)

// EndpointFollower holds what FollowEndpoints needs in addition to a Config.
type EndpointFollower struct {
	Dialer       *dial.Dialer // opens the connection to discovery; the caller stops it
	LogTo        io.Writer
	OnReconciled func(revision int64) // called by the event loop once the scheduler has reconciled with a revision
}

// FollowEndpoints applies the list from discovery as Run does, with the same client, event queue and scheduler, until
// ctx is cancelled. It has no frontends, no write-ahead log and no calls to endpoints, so that the laboratory can run
// many in one process. Of the configuration it uses the discovery address, the seed, the settings and the last known
// list.
func FollowEndpoints(ctx context.Context, config *Config, follower EndpointFollower) error {
	own := *config
	own.enableEndpointPolling()
	loop := newEventLoop(&own, own.Log.logger(follower.LogTo, own.Name), newEventQueue())
	loop.operators.drains = drains.New(nil)
	if err := loop.connect(follower.Dialer); err != nil {
		return err
	}
	defer loop.discovery.source.Stop()
	loop.scheduler = scheduler.New(own.Scheduler, own.Seed, loop.schedulerTime(loop.epoch), loop)
	loop.updateEndpoints(&own.LastEndpoints, true)
	loop.scheduler.Reconcile()
	loop.followEndpoints(ctx, follower.OnReconciled)
	return nil
}

// followEndpoints runs the event loop until ctx is cancelled, and reports each revision of the list with which the
// scheduler has reconciled.
func (loop *eventLoop) followEndpoints(ctx context.Context, onReconciled func(revision int64)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if loop.wakeAt.IsZero() {
			timer.Stop()
		} else {
			timer.Reset(time.Until(loop.wakeAt))
		}
		select {
		case <-loop.queue.wakeups:
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		received, revision := loop.discovery.listReceived, loop.discovery.revision
		loop.turn()
		if loop.discovery.revision != revision || loop.discovery.listReceived != received {
			onReconciled(loop.discovery.revision)
		}
	}
}
