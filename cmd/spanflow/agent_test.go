package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

// In push mode a local agent has the endpoint list. What it has counts as known to a forwarder from its start.

// agentSettings is the replacement in the settings that switches to push mode.
var agentSettings = []string{`"Discovery":"ask"`, `"Discovery":"push"`}

// restartWhileAgentIsSilent delivers a message, kills the forwarder, replaces its endpoint in the agent's list by one with
// another address, and starts the forwarder again with its last known list while the agent is silent.
func (h *harness) restartWhileAgentIsSilent() (p *adminProcess, replacement *emulator.Endpoint) {
	h.t.Helper()
	h.replacements = agentSettings
	first := h.startWithAdmin(nil)
	h.listen = first.AwaitReady(h.t)
	h.put(h.client(), noKey, "before", "c=status,d=20000,dest=7", "+OK")
	require.Equal(h.t, "before", h.nextCall().ID)
	first.Kill()
	h.knownList = h.discovery.Known()
	leaving := h.activeEntry("s1", 7)
	leaving.State = "leaving"
	h.discovery.Set(leaving)
	replacement, err := emulator.NewEndpoint("", nil)
	require.NoError(h.t, err)
	entry := h.activeEntry("s2", 7)
	entry.Endpoint = replacement.Addr
	h.discovery.Set(entry)
	h.discovery.SetListUnavailable(true)
	p = h.startWithAdmin(nil)
	h.listen = p.AwaitReady(h.t)
	return p, replacement
}

// Guards against review case 2: after a restart during an outage of discovery, messages went to an endpoint that the agent
// knew to be leaving, whose address then belonged to another destination.
func TestRestartWhileAgentIsSilentSendsNothing(t *testing.T) {
	for name, operator := range map[string]func(*adminProcess) int{
		"no operator": nil,
		"operator drains another endpoint": func(p *adminProcess) int {
			status, _ := callAdmin(t, p.admin, "POST", "/_targets/detach?name=s0")
			return status
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, "single")
			p, replacement := h.restartWhileAgentIsSilent()
			c := h.client()
			for i := range 3 {
				h.put(c, noKey, fmt.Sprint("m", i), "c=status,d=20000,dest=7", "+OK")
			}
			h.awaitLog(logWatchEnded)
			if operator != nil {
				require.Equal(t, http.StatusOK, operator(p))
			}
			h.requireNoCall()
			h.discovery.SetListUnavailable(false)
			awaited := map[string]bool{"m0": true, "m1": true, "m2": true} // "before" may come again, because of the kill
			for len(awaited) > 0 {
				delete(awaited, awaitNext(h, replacement.Calls, "call to the replacement").ID)
			}
			h.awaitLog(logAgentListReceived)
			require.Empty(t, h.endpoint.Calls)
		})
	}
}

// An agent whose list has not changed since the forwarder's last known one may send only empty lines.
func TestEmptyLineOfAgentConfirmsLastKnownList(t *testing.T) {
	h := newHarness(t, "single")
	h.replacements = agentSettings
	h.discovery.OnlyHeartbeats = true
	h.listen = h.startWithAdmin(nil).AwaitReady(t)
	h.put(h.client(), noKey, "a", "c=status,d=20000,dest=7", "+OK")
	require.Equal(t, "a", h.nextCall().ID)
}

// While discovery is down the agent learns nothing, so a forwarder that had its list goes on with it.
func TestForwarderKeepsSendingWhileItsAgentIsSilent(t *testing.T) {
	h := newHarness(t, "single")
	h.replacements = agentSettings
	c := h.start()
	h.awaitLog(logAgentListReceived)
	h.discovery.SetListUnavailable(true)
	h.awaitLog(logWatchEnded)
	for i := range 5 {
		h.put(c, noKey, fmt.Sprint("m", i), "c=status,d=20000,dest=7", "+OK")
		require.Equal(t, fmt.Sprint("m", i), h.nextCall().ID)
		time.Sleep(200 * time.Millisecond)
	}
}
