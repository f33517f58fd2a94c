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
	o := newOwner(order, order.Log.to(by.LogTo, order.Name), newExchange())
	o.rota = drains.New(nil)
	if err := o.connect(by.Dialer); err != nil {
		return err
	}
	defer o.source.Stop()
	o.f = scheduler.New(order.Scheduler, order.Seed, o.clock(o.epoch), o)
	o.listed(&order.LastEndpoints, true)
	o.f.Reconcile()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if o.wakeAt.IsZero() {
			timer.Stop()
		} else {
			timer.Reset(time.Until(o.wakeAt))
		}
		select {
		case <-o.exchange.bell:
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		heard, rev := o.heard, o.rev
		o.turn()
		if o.rev != rev || o.heard != heard {
			by.InForce(o.rev)
		}
	}
}
