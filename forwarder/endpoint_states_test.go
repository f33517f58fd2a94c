package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"spanflow/internal/statefile"
	"spanflow/transport"
)

// endpointList is a list at a revision, of pairs of a uid and a state.
func endpointList(revision int64, complete bool, pairs ...string) *transport.EndpointList {
	list := &transport.EndpointList{Revision: revision, Complete: complete}
	for i := 0; i < len(pairs); i += 2 {
		list.Endpoints = append(list.Endpoints, transport.Endpoint{UID: pairs[i], State: pairs[i+1]})
	}
	return list
}

// newListLoop is an event loop of an upgrade. It has written its state files when the test ends, before the folder goes.
func newListLoop(t *testing.T, folder string) *eventLoop {
	config := &Config{Folder: folder, InheritedListener: 3}
	loop := newTestLoop(config, 7, &recordingHost{}, zerolog.New(zerolog.NewTestWriter(t)))
	t.Cleanup(func() { loop.stateWriter.close(time.Now().Add(time.Minute)) })
	return loop
}

// Guards against a successor that calls an endpoint which this process was told has left or drains.
func TestEndpointStatesAreThoseOfTheLatestList(t *testing.T) {
	loop := newListLoop(t, t.TempDir())
	apply := func(list *transport.EndpointList) map[string]string {
		loop.updateEndpoints(list, list.Complete)
		loop.scheduler.Reconcile()
		return loop.endpointStates().Listed
	}
	require.Empty(t, apply(endpointList(1, true, "a", "active", "b", "active", "c", "active")))
	require.Equal(t, map[string]string{"a": "leaving"}, apply(endpointList(2, false, "a", "leaving")))
	require.Equal(t, map[string]string{"a": "left", "x": "left"},
		apply(endpointList(3, false, "a", "left", "x", "left")), "also one that was never listed here")
	require.Equal(t, map[string]string{"a": "left", "x": "left", "b": "left"},
		apply(endpointList(4, true, "c", "active")), "a complete list does not name b")
	require.Equal(t, map[string]string{"x": "left", "b": "left"},
		apply(endpointList(5, false, "a", "active")), "a is back")
	require.Equal(t, int64(5), loop.endpointStates().Revision)
}

func TestDepartedEndpointsAreBounded(t *testing.T) {
	loop := newListLoop(t, t.TempDir())
	for i := range maxDepartedEndpoints + 10 {
		loop.endpoints.noteDeparture(fmt.Sprint(i))
		loop.endpoints.noteDeparture(fmt.Sprint(i))
	}
	require.Len(t, loop.endpoints.departed, maxDepartedEndpoints)
	require.Equal(t, "10", loop.endpoints.departed[0])
}

// Guards against a state of an earlier list that is laid over a newer one, or read by a process after the next.
func TestEndpointStatesAreTakenOnceAndNotOverANewerList(t *testing.T) {
	states := statefile.NewEndpointStates()
	states.Revision, states.Listed["a"] = 5, "leaving"
	for _, c := range []struct {
		revision int64 // of the list in the configuration
		want     string
	}{{4, "leaving"}, {5, "leaving"}, {6, "active"}} {
		loop := newListLoop(t, t.TempDir())
		require.NoError(t, states.Write(loop.config.Folder))
		for _, want := range []string{c.want, "active"} {
			loop.config.LastEndpoints = *endpointList(c.revision, true, "a", "active")
			loop.takeEndpointStates()
			require.Equal(t, want, loop.config.LastEndpoints.Endpoints[0].State, "revision %d", c.revision)
		}
	}
}

// Guards against a successor that takes an ejected or recovering endpoint for a healthy one.
func TestHealthOfEndpointsIsHandedOn(t *testing.T) {
	loop := newListLoop(t, t.TempDir())
	handedOver := statefile.NewEndpointStates()
	handedOver.Health["a"] = statefile.Health{Ejected: true, UsualRate: 3}
	handedOver.Health["b"] = statefile.Health{RecoveringFor: 4, UsualRate: 3}
	handedOver.Health["later"] = statefile.Health{RecoveringFor: 1, UsualRate: 2}
	require.NoError(t, handedOver.Write(loop.config.Folder))
	loop.config.LastEndpoints = *endpointList(1, true, "a", "active", "b", "active", "c", "active")
	loop.takeEndpointStates()
	loop.updateEndpoints(&loop.config.LastEndpoints, true)
	require.True(t, loop.endpoints.byUID["a"].scheduled.Ejected())
	got := loop.endpointStates().Health
	require.Len(t, got, 3)
	for uid, want := range handedOver.Health {
		require.Equal(t, want.Ejected, got[uid].Ejected, uid)
		require.InDelta(t, want.RecoveringFor, got[uid].RecoveringFor, 0.001, uid)
	}
	loop.updateEndpoints(endpointList(2, false, "later", "active"), false)
	require.Empty(t, loop.endpoints.restoredHealth)
	require.Len(t, loop.endpointStates().Health, 3)
}
