package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
)

func TestAdminAddressAnswersDespiteStalledClients(t *testing.T) {
	h := newHarness(t, "single")
	p := h.startWithAdmin(nil)
	p.AwaitReady(t)
	require.True(t, p.isReady())
	// Stalled clients send nothing or half a request and stay connected. They must not delay the others.
	var stalled []net.Conn
	for i := range 30 {
		c, err := net.Dial("tcp", p.admin)
		require.NoError(t, err)
		if i%2 == 0 {
			c.Write([]byte("GET /_ready HTTP/1.1\r\nHost: x\r\n"))
		}
		stalled = append(stalled, c)
	}
	for range 5 {
		require.True(t, p.isReady())
	}
	for path, want := range map[string]int{"/nothing": 404, "/_targets/detach": 400, "/_targets/attach?name=": 400} {
		code, text := callAdmin(t, p.admin, "POST", path)
		require.Equal(t, want, code, "%s: %s", path, text)
	}
	code, _ := callAdmin(t, p.admin, "POST", "/_ready")
	require.Equal(t, http.StatusMethodNotAllowed, code)
	for _, c := range stalled { // each is disconnected within a second
		c.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err := bufio.NewReader(c).ReadString('\n')
		if err == nil { // half a request may be answered with an error
			continue
		}
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
	}
}

// In lame duck mode, PING is answered with an error and idle clients are disconnected. A client in the middle of a
// command is answered and then disconnected, and its message reaches the endpoint. After the second admin command,
// clients are served as before.
func TestLameDuckDisconnectsClientsAndLosesNoMessage(t *testing.T) {
	h := newHarness(t, "single")
	p := h.startWithAdmin(nil)
	h.listen = p.AwaitReady(t)
	idle, midway := h.client(), h.client()
	raw := emulator.Command("MSG.PUT", noKey, "d1", "c=status,d=8000,dest=7", "body")
	midway.Write([]byte(raw[:25]))
	h.requireReply(h.client(), emulator.Command("PING"), "+PONG") // the answer shows that the fragment has been read
	code, text := callAdmin(t, p.admin, "POST", "/_lameduck/on")
	require.Equal(t, http.StatusOK, code, text)
	pinging, err := emulator.NewClient(h.listen)
	require.NoError(t, err)
	h.requireReply(pinging, emulator.Command("PING"), "-ERR lameduck: this forwarder is being emptied")
	_, err = idle.ReadReply()
	require.ErrorIs(t, err, io.EOF, "an idle client is disconnected")
	h.requireReply(midway, raw[25:], "+OK")
	_, err = midway.ReadReply()
	require.ErrorIs(t, err, io.EOF, "a client whose command was answered is disconnected")
	require.Equal(t, "d1", h.nextCall().ID)
	code, text = callAdmin(t, p.admin, "POST", "/_lameduck/off")
	require.Equal(t, http.StatusOK, code, text)
	c := h.client() // requires that PING is answered +PONG
	h.put(c, noKey, "d2", "c=status,d=8000,dest=7", "+OK")
	h.requireReply(c, emulator.Command("PING"), "+PONG") // the client stays connected
}

// The counters and gauges match the numbers of messages that were delivered, rejected at submission or sent to the
// endpoint, of messages that have no final answer yet, and of endpoints that are listed or drained.
func TestAdminCountersMatchTraffic(t *testing.T) {
	h := newHarness(t, "single")
	p := h.startWithAdmin(nil)
	h.listen = p.AwaitReady(t)
	c := h.client()
	for i := range 5 {
		h.put(c, noKey, fmt.Sprint("d", i), "c=status,d=8000,dest=7", "+OK")
		h.nextCall()
	}
	h.put(c, noKey, "late", "c=status,d=0,dest=7", "-BUSY 2000")
	require.Eventually(t, func() bool {
		return adminVars(t, p.admin)["proxy.fulfilled.status"] == "5|c"
	}, 5*time.Second, 20*time.Millisecond)
	got := adminVars(t, p.admin)
	for name, want := range map[string]string{
		"proxy.throttled.status": "1|c", "proxy.faulted.status": "0|c", "proxy.fulfilled.ticket": "0|c",
		"proxy.relayed": "5|c", "proxy.open_requests": "0|g", "proxy.registry_entries": "2|g",
		"proxy.out_of_rotation": "0|g", "proxy.cfg_accepted": "0|c",
	} {
		require.Equal(t, want, got[name], name)
	}
	code, text := callAdmin(t, p.admin, "POST", "/_targets/detach?name=s1")
	require.Equal(t, http.StatusOK, code, text)
	h.put(c, noKey, "held", "c=status,d=8000,dest=7", "+OK")
	got = adminVars(t, p.admin)
	require.Equal(t, "1|g", got["proxy.out_of_rotation"])
	require.Equal(t, "1|g", got["proxy.open_requests"])
}

// A drained endpoint stays drained when the forwarder is killed and started again with the same folder.
func TestDrainedEndpointStaysDrainedAfterKill(t *testing.T) {
	h := newHarness(t, "single")
	first := h.startWithAdmin(nil)
	first.AwaitReady(t)
	code, text := callAdmin(t, first.admin, "POST", "/_targets/detach?name=s1")
	require.Equal(t, http.StatusOK, code, text)
	first.Kill()
	again := h.startWithAdmin(nil)
	h.listen = again.AwaitReady(t)
	h.put(h.client(), noKey, "d1", "c=status,d=20000,dest=7", "+OK")
	h.requireNoCall()
	code, text = callAdmin(t, again.admin, "POST", "/_targets/attach?name=s1")
	require.Equal(t, http.StatusOK, code, text)
	require.Equal(t, "d1", h.nextCall().ID)
}
