package forwarder

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"spanflow/internal/drains"
	"spanflow/scheduler"
	"spanflow/transport"
)

// listOwner is an event loop that hears of lists alone.
func listOwner() *eventLoop {
	order := &Config{Scheduler: scheduler.Settings{Types: []scheduler.MessageType{{TimeToLive: 20, LatencyObjective: 3}}, ConcurrencyLimit: 4, QueueCapacity: 40, Forwarders: 1}}
	o := newEventLoop(order, zerolog.Nop(), newEventQueue())
	o.operators.drains = drains.New(nil)
	o.scheduler = scheduler.New(order.Scheduler, 1, 100, &wakeHost{})
	return o
}

func manyTargets(from, to int) (targets []transport.Endpoint) {
	for n := from; n < to; n++ {
		targets = append(targets, transport.Endpoint{UID: fmt.Sprint("t", n), Address: "127.0.0.1:1", Destination: uint64(n), State: "active"})
	}
	return targets
}

// While a first list is read its destinations have no endpoints yet: none of them may be taken for unused.
func TestAFirstListOfManyDestinationsIsKeptWhole(t *testing.T) {
	const count = 10 * minSweep
	o := listOwner()
	o.updateEndpoints(&transport.EndpointList{Revision: 1, Complete: true, Endpoints: manyTargets(0, count)}, true)
	o.scheduler.Reconcile()
	require.Len(t, o.endpoints.destinations, count)
	kept := o.endpoints.destinations[0]
	o.updateEndpoints(&transport.EndpointList{Revision: 2, Endpoints: manyTargets(count, 3*count)}, false)
	require.Len(t, o.endpoints.destinations, 3*count)
	require.Same(t, kept, o.endpoints.destinations[0])
}

func TestDestinationsThatAreListedNoMoreAreForgotten(t *testing.T) {
	const count = 10 * minSweep
	o := listOwner()
	for round := range 20 {
		o.updateEndpoints(&transport.EndpointList{Revision: int64(round + 1), Complete: true, Endpoints: manyTargets(round*count, (round+1)*count)}, true)
		o.scheduler.Reconcile()
	}
	// Each list leaves the ones before until their endpoints are let go of, and a sweep waits until there are twice as
	// many.
	require.Less(t, len(o.endpoints.destinations), 6*count)
}

func (h *wakeHost) ReleaseEndpoint(*scheduler.Endpoint) {}
func (h *wakeHost) CloseIdle(*scheduler.Endpoint)       {}
