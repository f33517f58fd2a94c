package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

const discoveryTemplate = `name = "n1"
[ledger]
folder = "state"
disk = "3MB"
[limits]
memory = "256MB"
[discovery]
address = %q
[[fronts]]
listen = %q
[[types]]
name = "status"
repeat = "replayable"
agreed = "3s"
life = "20s"
`

// Guards against a fault in which a complete list of more than 4 MiB in one line, about 28,000 destinations, was
// rejected regardless of the memory limit. The forwarder continued with its previous list, which could be empty, and
// the log did not state the maximum length of a line.
func TestLargeEndpointListIsApplied(t *testing.T) {
	const destinations = 50_000
	h := newHarness(t)
	endpoint := h.newEndpoint()
	entries := make([]emulator.Entry, destinations)
	for i := range entries {
		entries[i] = emulator.Entry{UID: fmt.Sprintf("endpoint-%d", i), Endpoint: endpoint.Addr, Zone: "", Kind: "",
			Destination: i + 1, State: "active"}
	}
	var err error
	h.discovery, err = emulator.NewDiscovery("", entries...)
	require.NoError(t, err)
	require.Greater(t, len(h.discovery.Known()), 4<<20)
	h.replaceConfig(fmt.Sprintf(discoveryTemplate, h.discovery.Addr, h.listen))
	h.start()
	c := h.client()
	require.Eventually(t, func() bool {
		answer, err := c.Put("0000000000000005", "a", fmt.Sprintf("c=status,d=15000,dest=%d", destinations), "hello")
		require.NoError(t, err)
		return answer == "+OK"
	}, readyBound, 100*time.Millisecond)
	require.Equal(t, "a", (<-endpoint.Calls).ID)
	require.False(t, h.process.Log.Has("is over"))
}
