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
	for i := range 2 { // the limit on concurrent calls to the endpoint
		h.put(c, noKey, fmt.Sprint("d", i), "c=status,d=8000,dest=7", "+OK")
		first = append(first, h.nextCall().ID)
	}
	for i := range 3 {
		h.put(c, noKey, fmt.Sprint("e", i), "c=status,d=8000,dest=7", "+OK")
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

func TestNoticeIsRepeatedUntilAcknowledged(t *testing.T) {
	h := newHarness(t, "single")
	h.endpoint.Do(func(emulator.Call) emulator.Reply { return emulator.Reply{Break: true} })
	h.discovery.SetUnresponsive(true)
	c := h.start()
	h.put(c, noKey, "p1", "c=payment,d=8000,dest=7", "+OK") // the message may have run and must not run twice
	h.nextCall()
	h.awaitLog(logNoticesUnanswered)
	h.discovery.SetUnresponsive(false)
	require.Equal(t, emulator.Notice{ID: "p1", State: "failed"}, h.nextNotice())
	h.put(c, noKey, "s1", "c=status,d=300,dest=9", "+OK") // a destination whose only endpoint is leaving
	n := h.nextNotice()
	require.Equal(t, "returned", n.State)
	require.Empty(t, h.endpoint.Calls)
}

// The client's clock for the time to live starts before the forwarder reads the message. To the client, a delivery just
// before the forwarder's deadline may therefore be too late to count, so the forwarder also sends a notice.
func TestDeliveryJustBeforeDeadlineAlsoSendsNotice(t *testing.T) {
	h := newHarness(t, "single")
	c := h.start()
	answer, id := "", ""
	for n := 0; answer != "+OK"; n++ { // a message is either rejected or accepted just before its deadline
		id = fmt.Sprint("late", n)
		var err error
		answer, err = c.Put(noKey, id, "c=status,d=95,dest=7", "b")
		require.NoError(t, err)
	}
	for h.nextCall().ID != id { // each call is answered 200 at once
	}
	require.Equal(t, id, h.nextNotice().ID)
	h.put(c, noKey, "early", "c=status,d=20000,dest=7", "+OK")
	require.Equal(t, "early", h.nextCall().ID)
	require.Empty(t, h.discovery.Notices, "delivered in time by either clock")
}

func TestEndpointListChangesAreApplied(t *testing.T) {
	h := newHarness(t, "single")
	c := h.start()
	h.put(c, noKey, "d1", "c=status,d=20000,dest=9", "+OK")
	h.discovery.Set(h.activeEntry("s2", 9))
	require.Equal(t, "d1", h.nextCall().ID)
}

func TestConfiguredEndpointListIsUsedWhileDiscoveryIsDown(t *testing.T) {
	h := newHarness(t, "single")
	down, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, down.Close())
	up := h.discovery.Addr
	h.discovery.Addr = down.Addr().String()
	c := h.start()
	h.awaitLog(logWatchEnded)
	h.put(c, noKey, "d1", "c=status,d=8000,dest=7", "+OK")
	require.Equal(t, "d1", h.nextCall().ID)
	h.put(c, noKey, "d2", "c=status,d=200,dest=9", "+OK")
	h.awaitLog(logNoticesUnanswered)
	h.kill()
	h.discovery.Addr = up
	h.start()
	require.Equal(t, emulator.Notice{ID: "d2", State: "returned", AfterMs: 2000}, h.nextNotice())
}
