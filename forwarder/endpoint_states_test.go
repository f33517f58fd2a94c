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

// endpointList returns an endpoint list at a revision. pairs are alternating uids and states.
func endpointList(revision int64, complete bool, pairs ...string) *transport.EndpointList {
	list := &transport.EndpointList{Revision: revision, Complete: complete}
	for i := 0; i < len(pairs); i += 2 {
		list.Endpoints = append(list.Endpoints, transport.Endpoint{UID: pairs[i], State: pairs[i+1]})
	}
	return list
}

// newListLoop returns an event loop with an inherited listener, as in an upgrade. Its state files are written before
// the test's folder is removed.
func newListLoop(t *testing.T, folder string) *eventLoop {
	config := &Config{Folder: folder, InheritedListener: 3}
	loop := newTestLoop(config, 7, &recordingHost{}, zerolog.New(zerolog.NewTestWriter(t)))
	t.Cleanup(func() { loop.stateWriter.close(time.Now().Add(time.Minute)) })
	return loop
}

// Guards against a successor that calls an endpoint although this process received an update that it has left or is
// draining.
func TestEndpointStatesFollowLatestList(t *testing.T) {
	loop := newListLoop(t, t.TempDir())
	apply := func(list *transport.EndpointList) map[string]string {
		loop.updateEndpoints(list, list.Complete)
		loop.scheduler.Reconcile()
		return loop.endpointStates().Listed
	}
	require.Empty(t, apply(endpointList(1, true, "a", "active", "b", "active", "c", "active")))
	require.Equal(t, map[string]string{"a": "leaving"}, apply(endpointList(2, false, "a", "leaving")))
	require.Equal(t, map[string]string{"a": "left", "x": "left"},
		apply(endpointList(3, false, "a", "left", "x", "left")), "also one that was never on this process's list")
	require.Equal(t, map[string]string{"a": "left", "x": "left", "b": "left"},
		apply(endpointList(4, true, "c", "active")), "the complete list does not contain b")
	require.Equal(t, map[string]string{"x": "left", "b": "left"},
		apply(endpointList(5, false, "a", "active")), "a is listed again")
	require.Equal(t, int64(5), loop.endpointStates().Revision)
}

func TestRemovedEndpointsAreBounded(t *testing.T) {
	loop := newListLoop(t, t.TempDir())
	for i := range maxRemovedEndpoints + 10 {
		loop.endpoints.recordRemoval(fmt.Sprint(i))
		loop.endpoints.recordRemoval(fmt.Sprint(i))
	}
	require.Len(t, loop.endpoints.removedUIDs, maxRemovedEndpoints)
	require.Equal(t, "10", loop.endpoints.removedUIDs[0])
}

// Guards against states of an earlier list that are applied to a newer one, or that are read by a second successor.
func TestEndpointStatesAreLoadedOnceAndNotOverNewerList(t *testing.T) {
	states := statefile.NewEndpointStates()
	states.Revision, states.Listed["a"] = 5, "leaving"
	for _, c := range []struct {
		revision int64 // revision of the list in the configuration
		want     string
	}{{4, "leaving"}, {5, "leaving"}, {6, "active"}} {
		loop := newListLoop(t, t.TempDir())
		require.NoError(t, states.Write(loop.config.Folder))
		for _, want := range []string{c.want, "active"} {
			loop.config.LastEndpoints = *endpointList(c.revision, true, "a", "active")
			loop.loadEndpointStates()
			require.Equal(t, want, loop.config.LastEndpoints.Endpoints[0].State, "revision %d", c.revision)
		}
	}
}

// Guards against a successor that treats an ejected or recovering endpoint as healthy.
func TestEndpointHealthIsHandedOver(t *testing.T) {
	loop := newListLoop(t, t.TempDir())
	handedOver := statefile.NewEndpointStates()
	handedOver.Health["a"] = statefile.Health{Ejected: true, UsualRate: 3}
	handedOver.Health["b"] = statefile.Health{RecoveringFor: 4, UsualRate: 3}
	handedOver.Health["later"] = statefile.Health{RecoveringFor: 1, UsualRate: 2}
	require.NoError(t, handedOver.Write(loop.config.Folder))
	loop.config.LastEndpoints = *endpointList(1, true, "a", "active", "b", "active", "c", "active")
	loop.loadEndpointStates()
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
