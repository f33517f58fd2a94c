package forwarder_test

import (
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"spanflow/forwarder"
	"spanflow/internal/emulator"
	"spanflow/transport"
)

func TestReloadMovesFrontendWhileCallsAreInFlight(t *testing.T) {
	f := newFixture(t)
	next := *f.config
	var fail error
	f.config.Reload = func() (*forwarder.Config, error) { c := next; return &c, fail }
	f.start()
	c := f.client()
	for _, id := range []string{"1", "2"} {
		answer, err := c.Put("0000000000000000", id, "c=status,d=10000,dest=7", "x")
		require.NoError(t, err)
		require.Equal(t, "+OK", answer)
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	reload := func(listen, logged string) {
		moved := forwarder.Frontend{Name: "resp", Protocol: "resp", Listen: listen}
		next.Frontends = append([]forwarder.Frontend{moved}, f.config.Frontends[1:]...)
		f.reload <- os.Interrupt
		f.log.Await(t, logged)
	}
	reload(taken.Addr().String(), "configuration not reloaded") // an address that is in use changes nothing
	answer, err := c.Send(emulator.Command("PING"))
	require.True(t, err == nil && answer == "+PONG", answer)
	addr := freeAddress(t)
	reload(addr, "configuration reloaded")
	require.Contains(t, f.log.String(), addr)
	_, err = emulator.NewClient(f.addr)
	require.Error(t, err, "nobody listens at the old address")
	old := f.addr
	f.addr = addr
	answer, err = f.client().Send(emulator.Command("PING"))
	require.True(t, err == nil && answer == "+PONG", answer)
	_, err = c.ReadReply()
	require.Error(t, err, "a connection to the old address is closed once its requests are answered")
	f.finishNext(transport.ResultOK)
	f.finishNext(transport.ResultOK)
	fail = fmt.Errorf("limits.memory: c.toml:5: wrong")
	f.reload <- os.Interrupt
	f.log.Await(t, "c.toml:5")
	require.NotEqual(t, old, addr)
}

func TestReloadChangesStaticEndpoints(t *testing.T) {
	f := newFixture(t)
	next := *f.config
	f.config.Reload = func() (*forwarder.Config, error) { c := next; return &c, nil }
	f.start()
	unknown := f.submit(transport.Submission{ID: "a", Type: "status", Destination: 8})
	require.Equal(t, transport.StatusInvalid, (<-unknown.reply).Status)
	next.StaticEndpoints = &transport.EndpointList{Complete: true, Endpoints: []transport.Endpoint{
		{UID: "t2", Address: "127.0.0.1:8", Kind: "k", Destination: 8, State: "active"},
	}}
	next.MemoryMB = 128
	f.reload <- os.Interrupt
	text := f.log.Await(t, "configuration reloaded")
	require.Contains(t, text, `"at_next_start":["limits"]`)
	c := f.submit(transport.Submission{ID: "b", Type: "status", Destination: 8})
	require.Equal(t, transport.StatusAccepted, (<-c.reply).Status)
	call := <-f.upstream.calls
	require.Equal(t, "127.0.0.1:8", call.Address)
	f.upstream.finish(call, transport.ResultOK)
}
