package forwarder_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/forwarder"
	"spanflow/internal/dial"
	"spanflow/internal/emulator"
)

// Each revision of the list is reported once the scheduler has reconciled with it, and the last known one once
// discovery has confirmed it.
func TestFollowEndpointsReportsEachRevision(t *testing.T) {
	entry := emulator.Entry{UID: "t1", Endpoint: "127.0.0.1:1", Zone: "a", Kind: "k", Destination: 1, State: "active"}
	discovery, err := emulator.NewDiscovery("", entry)
	require.NoError(t, err)
	config := readConfig(t, fmt.Appendf(nil, benchConfig, discovery.Addr, t.TempDir(), discovery.Known()))
	dialer, err := dial.New("test", 4)
	require.NoError(t, err)
	defer dialer.Stop()
	ctx, cancel := context.WithCancel(t.Context())
	reconciled, ended := make(chan int64, 9), make(chan error, 1)
	follower := forwarder.EndpointFollower{
		Dialer:       dialer,
		LogTo:        emulator.NewLog(),
		OnReconciled: func(revision int64) { reconciled <- revision },
	}
	go func() {
		ended <- forwarder.FollowEndpoints(ctx, config, follower)
	}()
	require.EqualValues(t, config.LastEndpoints.Revision, <-reconciled)
	entry.State = "leaving"
	discovery.Set(entry)
	var list struct{ Rev int64 }
	require.NoError(t, json.Unmarshal(discovery.Known(), &list))
	require.Greater(t, list.Rev, config.LastEndpoints.Revision)
	require.Equal(t, list.Rev, <-reconciled)
	cancel()
	require.NoError(t, <-ended)
	require.Zero(t, dialer.Open(), "the watch is still open")
}
