package forwarder

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"spanflow/scheduler"
	"spanflow/transport"
)

// newEndpointLoop returns an event loop for tests that only apply endpoint lists.
func newEndpointLoop() *eventLoop {
	config := &Config{Scheduler: scheduler.Settings{
		Types:            []scheduler.MessageType{{TimeToLive: 20, LatencyObjective: 3}},
		ConcurrencyLimit: 4,
		QueueCapacity:    40,
		Forwarders:       1,
	}}
	return newTestLoop(config, 1, &recordingHost{}, zerolog.Nop())
}

// activeEndpoints returns active endpoints with the numbers in [from, to), each of a different destination.
func activeEndpoints(from, to int) (endpoints []transport.Endpoint) {
	for n := from; n < to; n++ {
		endpoints = append(endpoints, transport.Endpoint{
			UID:         fmt.Sprint("t", n),
			Address:     "127.0.0.1:1",
			Destination: uint64(n),
			State:       stateActive,
		})
	}
	return endpoints
}

// While the first list is being applied its destinations have no endpoints yet. None of them may count as unused.
func TestKeepsAllDestinationsOfFirstList(t *testing.T) {
	const count = 10 * minCleanupThreshold
	loop := newEndpointLoop()
	loop.updateEndpoints(&transport.EndpointList{
		Revision: 1, Complete: true, Endpoints: activeEndpoints(0, count)}, true)
	loop.scheduler.Reconcile()
	require.Len(t, loop.endpoints.destinations, count)
	kept := loop.endpoints.destinations[0]
	loop.updateEndpoints(&transport.EndpointList{Revision: 2, Endpoints: activeEndpoints(count, 3*count)}, false)
	require.Len(t, loop.endpoints.destinations, 3*count)
	require.Same(t, kept, loop.endpoints.destinations[0])
}

func TestRemovesUnlistedDestinations(t *testing.T) {
	const count = 10 * minCleanupThreshold
	loop := newEndpointLoop()
	for round := range 20 {
		endpoints := activeEndpoints(round*count, (round+1)*count)
		loop.updateEndpoints(&transport.EndpointList{
			Revision: int64(round + 1), Complete: true, Endpoints: endpoints}, true)
		loop.scheduler.Reconcile()
	}
	// The destinations of earlier lists stay until their endpoints are released, and unused ones are removed only once
	// the number of destinations has doubled.
	require.Less(t, len(loop.endpoints.destinations), 6*count)
}
