package main

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

func TestBatchedCallHasResultForEachMessage(t *testing.T) {
	h := newHarness(t, "several")
	hold := make(chan struct{})
	h.endpoint.Do(func(c emulator.Call) emulator.Reply { return emulator.Reply{Hold: hold} })
	c := h.start()
	var first []string
	for i := range 2 { // as many calls as the endpoint gets at once
		h.put(c, zero, fmt.Sprint("d", i), "c=status,d=8000,dest=7", "+OK")
		first = append(first, h.nextCall().ID)
	}
	for i := range 3 {
		h.put(c, zero, fmt.Sprint("e", i), "c=status,d=8000,dest=7", "+OK")
	}
	h.endpoint.Do(func(c emulator.Call) emulator.Reply {
		if len(c.IDs) < 3 {
			return emulator.Reply{}
		}
		return emulator.Reply{Body: `[{"id":"e0","state":"ok"},{"id":"e1","state":"later"},{"id":"e2","state":"gone"}]`}
	})
	close(hold)
	require.Equal(t, []string{"d0", "d1"}, first)
	require.Equal(t, []string{"e0", "e1", "e2"}, h.nextCall().IDs)
	require.Equal(t, []string{"e1"}, h.nextCall().IDs)
}

func TestUndeliveredMessageEndsByNoticeRepeatedUntilAcknowledged(t *testing.T) {
	h := newHarness(t, "single")
	h.endpoint.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Break: true} })
	h.discovery.SetUnresponsive(true)
	c := h.start()
	h.put(c, zero, "p1", "c=payment,d=8000,dest=7", "+OK") // it may have run and must not run twice
	h.nextCall()
	h.awaitLog(logNoticesUnanswered)
	h.discovery.SetUnresponsive(false)
	require.Equal(t, emulator.Notice{ID: "p1", State: "failed"}, h.nextNotice())
	h.put(c, zero, "s1", "c=status,d=300,dest=9", "+OK") // a destination whose only endpoint is leaving
	n := h.nextNotice()
	require.Equal(t, "returned", n.State)
	require.Empty(t, h.endpoint.Calls)
}

// A client counts a message's time to live from before the forwarder read it: a delivery just before the deadline may
// count as late, that is as not delivered, and needs a final answer.
func TestDeliveryJustBeforeDeadlineAlsoSendsNotice(t *testing.T) {
	h := newHarness(t, "single")
	c := h.start()
	answer, id := "", ""
	for n := 0; answer != "+OK"; n++ { // it is accepted just before its deadline, if at all
		id = fmt.Sprint("late", n)
		var err error
		answer, err = c.Put(zero, id, "c=status,d=95,dest=7", "b")
		require.NoError(t, err)
	}
	for h.nextCall().ID != id { // its answer is 200 at once
	}
	require.Equal(t, id, h.nextNotice().ID)
	h.put(c, zero, "early", "c=status,d=20000,dest=7", "+OK")
	require.Equal(t, "early", h.nextCall().ID)
	require.Empty(t, h.discovery.Notices, "delivered in time by any clock")
}

func TestEndpointListChangesAreApplied(t *testing.T) {
	h := newHarness(t, "single")
	c := h.start()
	h.put(c, zero, "d1", "c=status,d=20000,dest=9", "+OK")
	h.discovery.Set(h.activeEntry("s2", 9))
	require.Equal(t, "d1", h.nextCall().ID)
}

func TestConfiguredEndpointListServesWhileDiscoveryIsDown(t *testing.T) {
	h := newHarness(t, "single")
	down, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, down.Close())
	up := h.discovery.Addr
	h.discovery.Addr = down.Addr().String()
	c := h.start()
	h.awaitLog(logWatchEnded)
	h.put(c, zero, "d1", "c=status,d=8000,dest=7", "+OK")
	require.Equal(t, "d1", h.nextCall().ID)
	h.put(c, zero, "d2", "c=status,d=200,dest=9", "+OK")
	h.awaitLog(logNoticesUnanswered)
	h.kill()
	h.discovery.Addr = up
	h.start()
	require.Equal(t, emulator.Notice{ID: "d2", State: "returned", AfterMs: 2000}, h.nextNotice())
}
