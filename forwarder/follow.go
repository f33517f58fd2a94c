package forwarder

import (
	"context"
	"io"
	"time"

	"spanflow/internal/dial"
	"spanflow/internal/drains"
	"spanflow/scheduler"
)

// EndpointFollower is what FollowEndpoints works with beside an order.
type EndpointFollower struct {
	Dialer  *dial.Dialer // opens the connection to discovery; the caller stops it
	LogTo   io.Writer
	InForce func(rev int64) // called by the event loop once the scheduler was told a version of the list and has settled
}

// FollowEndpoints keeps discovery's list in force as Run does, by the same client, hand-over and module, until ctx
// ends. It has no frontends, no write-ahead log and no calls to endpoints: the laboratory runs many in one process. Of
// the order it needs the discovery, the seed, the settings and the known list.
func FollowEndpoints(ctx context.Context, order *Config, by EndpointFollower) error {
	own := *order
	order = &own
	order.askForList()
	loop := newEventLoop(order, order.Log.to(by.LogTo, order.Name), newEventQueue())
	loop.operators.drains = drains.New(nil)
	if err := loop.connect(by.Dialer); err != nil {
		return err
	}
	defer loop.discovery.source.Stop()
	loop.scheduler = scheduler.New(order.Scheduler, order.Seed, loop.schedulerTime(loop.epoch), loop)
	loop.updateEndpoints(&order.LastEndpoints, true)
	loop.scheduler.Reconcile()
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
			return nil
		}
		heard, rev := loop.discovery.listReceived, loop.discovery.revision
		loop.turn()
		if loop.discovery.revision != rev || loop.discovery.listReceived != heard {
			by.InForce(loop.discovery.revision)
		}
	}
}
