package upstream

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/dial"
	"spanflow/transport"
)

// resultQueue is a transport.ResultListener that passes the results of calls to the test.
type resultQueue chan transport.CallResult

func (q resultQueue) CallEnded(result transport.CallResult) { q <- result }

// fixture is a client with the listener of its endpoint.
type fixture struct {
	*Client
	t          *testing.T
	results    resultQueue
	listener   net.Listener
	endpointID uint64
}

func newFixture(t *testing.T) *fixture {
	return newFixtureWith(t, Settings{ConnectTimeout: time.Minute, LimitField: "x1", ShareField: "x0"}, nil)
}

// connectionLimit is the limit of the fixture's dialer.
const connectionLimit = 8

// newFixtureWith returns a fixture with the given settings. It connects with connect, or by TCP if that is nil.
func newFixtureWith(t *testing.T, settings Settings, connect func(context.Context, string) (net.Conn, error)) *fixture {
	ln, err := net.Listen("tcp", "127.4.0.1:0")
	require.NoError(t, err)
	d, err := dial.New("test", connectionLimit)
	require.NoError(t, err)
	d.Connect = connect
	t.Cleanup(func() { ln.Close(); d.Stop() })
	f := &fixture{t: t, results: make(resultQueue, 9), listener: ln, endpointID: 1}
	f.Client = New(d, f.results, settings)
	return f
}

// send starts a call with one message.
func (f *fixture) send(timeout time.Duration, body string) {
	f.Send(&transport.Call{
		EndpointID: f.endpointID,
		Address:    f.listener.Addr().String(),
		Messages:   []transport.Message{{ID: "a", Body: []byte(body)}},
		Timeout:    timeout,
	})
}

// acceptCall accepts a new connection and reads its request.
func (f *fixture) acceptCall() net.Conn {
	c, err := f.listener.Accept()
	require.NoError(f.t, err)
	f.readCall(c)
	return c
}

// readCall reads the request of a call, or its first part if it is large.
func (f *fixture) readCall(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	b := make([]byte, 1000)
	n, err := c.Read(b)
	require.NoError(f.t, err)
	require.True(f.t, strings.HasPrefix(string(b[:n]), "POST /hook"))
}

// requireResult waits for the result of a call with one message.
func (f *fixture) requireResult(want transport.ResultCode) transport.CallResult {
	f.t.Helper()
	result := <-f.results
	require.Equal(f.t, []transport.ResultCode{want}, result.Codes)
	return result
}

// connectionOf returns the connection whose call has the given body. The client's lock is held.
func (f *fixture) connectionOf(body string) *connection {
	for conn := range f.open {
		if string(conn.call.Messages[0].Body) == body {
			return conn
		}
	}
	f.t.Fatalf("no call with the body %q", body)
	panic("unreachable")
}

// Answers of an endpoint.
const (
	headOK  = "HTTP/1.1 200 OK\r\n"
	emptyOK = headOK + "Content-Length: 0\r\n\r\n"
)
