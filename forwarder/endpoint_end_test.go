package forwarder

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"spanflow/internal/admin"
	"spanflow/internal/statefile"
	"spanflow/scheduler"
	"spanflow/transport"
)

// cancellingHost records the endpoints whose unsent calls the scheduler cancels, by number.
type cancellingHost struct {
	discardHost
	cancelled map[uint64]bool
}

func (h cancellingHost) CancelUnsent(e *scheduler.Endpoint) { h.cancelled[e.ID] = true }

// Guards against review case 1 on every path by which an endpoint ends or is replaced: a call whose connection comes up
// late would be sent to an address that by then belongs to another destination.
func TestEndOfEndpointCancelsUnsentCalls(t *testing.T) {
	ending := transport.Endpoint{UID: "a", Address: "127.0.0.1:1", Destination: 1, State: stateActive}
	other := transport.Endpoint{UID: "b", Address: "127.0.0.1:2", Destination: 2, State: stateActive}
	changed := func(change func(*transport.Endpoint)) transport.Endpoint {
		e := ending
		change(&e)
		return e
	}
	leaving := changed(func(e *transport.Endpoint) { e.State = stateLeaving })
	left := transport.Endpoint{UID: "a", State: stateLeft}
	readdressed := changed(func(e *transport.Endpoint) { e.Address = "127.0.0.1:3" })
	moved := changed(func(e *transport.Endpoint) { e.Destination = 2 })
	apply := func(complete bool, endpoints ...transport.Endpoint) func(*eventLoop) {
		return func(loop *eventLoop) {
			loop.handle(endpointsUpdated{&transport.EndpointList{Revision: 2, Complete: complete, Endpoints: endpoints}})
		}
	}
	for name, end := range map[string]func(*eventLoop){
		"missing from a complete list":  apply(true, other),
		"leaving in a complete list":    apply(true, leaving, other),
		"leaving by a change":           apply(false, leaving),
		"left by a change":              apply(false, left),
		"other address by a change":     apply(false, readdressed),
		"other address in a list":       apply(true, readdressed, other),
		"other destination by a change": apply(false, moved),
		"other destination in a list":   apply(true, moved, other),
		"removed by a reload":           reloadWith(other),
		"detached by an operator":       detach,
		"detached during an upgrade":    detachBySpool,
	} {
		t.Run(name, func(t *testing.T) {
			config := &Config{Folder: t.TempDir(), InheritedListener: 3, Scheduler: scheduler.Settings{
				Types:            []scheduler.MessageType{{TimeToLive: 20, LatencyObjective: 3}},
				ConcurrencyLimit: 4,
				QueueCapacity:    40,
				Forwarders:       1,
			}}
			host := cancellingHost{cancelled: map[uint64]bool{}}
			loop := newTestLoop(config, 7, host, zerolog.New(zerolog.NewTestWriter(t)))
			defer awaitStateFiles(t, loop)
			loop.discovery.static = &staticEndpoints{listener: loop.queue}
			loop.updateEndpoints(&transport.EndpointList{
				Revision: 1, Complete: true, Endpoints: []transport.Endpoint{ending, other}}, true)
			for number := range uint64(2) {
				destination := loop.destination(number + 1)
				loop.scheduler.Accept(&scheduler.Message{ID: number, Dest: destination}, 0, 20)
			}
			loop.scheduler.Reconcile()
			require.Equal(t, 2, loop.scheduler.CallsInFlight())
			number := loop.endpoints.byUID["a"].scheduled.ID
			end(loop)
			loop.scheduler.Reconcile()
			require.Equal(t, map[uint64]bool{number: true}, host.cancelled)
		})
	}
}

// detach drains endpoint a by a request to the admin address.
func detach(loop *eventLoop) {
	request := admin.Request{Operation: admin.Detach, Name: "a"}
	loop.handle(operatorRequest{request, func(admin.Response) {}})
}

// detachBySpool drains endpoint a by a command that the successor of an upgrade has spooled.
func detachBySpool(loop *eventLoop) {
	if err := statefile.NewSpool(loop.config.Folder).Put(statefile.Command{Endpoint: "a"}); err != nil {
		panic(err)
	}
	loop.runSpooledCommands()
}

// reloadWith replaces the configured endpoint list.
func reloadWith(endpoints ...transport.Endpoint) func(*eventLoop) {
	return func(loop *eventLoop) {
		loop.applyStaticEndpoints(&Config{StaticEndpoints: &transport.EndpointList{Complete: true, Endpoints: endpoints}})
		events, _ := loop.queue.take()
		for _, ev := range events {
			loop.handle(ev)
		}
	}
}

// Guards against calls to the former destination of an endpoint whose uid the list gives to another destination.
func TestEndpointThatMovesToAnotherDestinationIsReplaced(t *testing.T) {
	for _, complete := range []bool{false, true} {
		loop := newEndpointLoop()
		apply := func(revision int64, complete bool, destination uint64, state string) *trackedEndpoint {
			endpoint := transport.Endpoint{UID: "a", Address: "127.0.0.1:1", Destination: destination, State: state}
			list := &transport.EndpointList{Revision: revision, Complete: complete, Endpoints: []transport.Endpoint{endpoint}}
			loop.updateEndpoints(list, list.Complete)
			loop.scheduler.Reconcile()
			return loop.endpoints.byUID["a"]
		}
		first := apply(1, true, 1, stateActive)
		require.Same(t, first, apply(2, complete, 1, stateLeaving), "only the state differs")
		moved := apply(3, complete, 2, stateActive)
		require.NotSame(t, first, moved)
		require.EqualValues(t, 2, moved.destination)
		require.False(t, first.isListed())
		loop.ReleaseEndpoint(first.scheduled)
		require.Same(t, moved, apply(4, complete, 2, stateLeaving), "the release of the former one did not remove it")
		require.Empty(t, loop.endpoints.removedUIDs)
		apply(5, complete, 0, stateLeft)
		require.False(t, moved.isListed())
	}
}
