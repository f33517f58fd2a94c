package upstream

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
	"spanflow/transport"
)

func TestConnectionIsReusedUntilClosed(t *testing.T) {
	f := newFixture(t)
	f.send(time.Minute, "b")
	c := f.acceptCall()
	c.Write([]byte("HTTP/1.1 429 Full\r\nRetry-After: 0.25\r\nX-Pressure: x0=0.4,x1=25\r\nContent-Length: 0\r\n\r\n"))
	e := f.requireResult(transport.ResultRetryAfter)
	require.Equal(t, []any{0.25, 25.0, 0.4}, []any{e.RetryAfter, e.ReportedLimit, e.ReportedShare})
	f.send(time.Minute, "b")
	f.readCall(c)
	c.Write([]byte(emptyOK))
	require.Zero(t, f.requireResult(transport.ResultOK).RetryAfter)
	f.CloseIdle(1)
	f.send(time.Minute, "b")
	f.acceptCall().Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"))
	require.Zero(t, f.IdleConnections())
}

func TestLongestIdleConnectionIsClosedForNewCall(t *testing.T) {
	f := newFixture(t)
	var conns []net.Conn
	for range 8 { // the dialer's limit
		f.send(time.Minute, "b")
		conns = append(conns, f.acceptCall())
	}
	for _, c := range conns {
		c.Write([]byte(emptyOK))
		f.requireResult(transport.ResultOK)
	}
	other, err := net.Listen("tcp", "127.4.0.1:0")
	require.NoError(t, err)
	defer other.Close()
	f.listener, f.endpointID = other, 2
	f.send(time.Minute, "b")
	f.acceptCall().Write([]byte(emptyOK))
	f.requireResult(transport.ResultOK)
	_, err = conns[0].Read(make([]byte, 1))
	require.Error(t, err)
	require.Equal(t, 8, f.IdleConnections())
}

func TestConnectionIsNotReusedByOtherEndpointAtSameAddress(t *testing.T) {
	f := newFixture(t)
	f.send(time.Minute, "b")
	f.acceptCall().Write([]byte(emptyOK))
	f.requireResult(transport.ResultOK)
	f.endpointID = 2
	f.send(time.Minute, "b")
	f.acceptCall().Write([]byte(emptyOK))
	f.requireResult(transport.ResultOK)
	require.Equal(t, 2, f.IdleConnections())
}

func TestUndeliveredBytesPreventReuse(t *testing.T) {
	f := newFixture(t)
	f.send(time.Minute, "b")
	c := f.acceptCall()
	c.Write([]byte(emptyOK))
	f.requireResult(transport.ResultOK)
	f.mu.Lock()
	c.Write([]byte(emptyOK)) // a second answer: read from the socket, but not delivered yet
	emulator.AwaitBlockedOnLock(t, "upstream.(*connection).Data(")
	used := f.takeIdle(f.endpointID)
	f.mu.Unlock()
	require.Nil(t, used, "the second answer would be taken for that of the next call")
	f.send(time.Minute, "b")
	f.acceptCall().Write([]byte("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"))
	f.requireResult(transport.ResultServerError)
}

// A second copy of an answer arrives while the next call waits for ReuseDelay to pass. The call must move to a new
// connection. ReuseDelay is an hour here, so that the copy arrives within it on any machine.
func TestBytesAfterAnswerMoveNextCallToNewConnection(t *testing.T) {
	f := newFixtureWith(t, Settings{ConnectTimeout: time.Minute, IdleTimeout: time.Minute, ReuseDelay: time.Hour}, nil)
	for range 20 {
		f.send(time.Hour, "b")
		c := f.acceptCall()
		c.Write([]byte(emptyOK))
		f.requireResult(transport.ResultOK)
		f.send(time.Hour, "b")
		c.Write([]byte(emptyOK))
		c = f.acceptCall()
		c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"))
		f.requireResult(transport.ResultOverloaded)
		f.CloseIdle(f.endpointID)
	}
}

// A call can be cancelled until ReuseDelay has passed, as no byte of it has been written.
func TestCallIsCancelledWhileAwaitingSilence(t *testing.T) {
	f := newFixtureWith(t, Settings{ConnectTimeout: time.Minute, IdleTimeout: time.Minute, ReuseDelay: time.Hour}, nil)
	f.send(time.Hour, "b")
	f.acceptCall().Write([]byte(emptyOK))
	f.requireResult(transport.ResultOK)
	require.Equal(t, 1, f.IdleConnections())
	f.send(time.Hour, "b")
	require.Zero(t, f.IdleConnections(), "the call has taken the connection")
	f.CancelUnsent(1)
	f.requireResult(transport.ResultCancelled)
}

// The connection is never established. Of the connect timeout, the call's timeout and a cancellation, the first one
// determines the result. Each case sets the other timeouts far off, so that a slow machine does not change the result.
func TestUnestablishedConnectionEndsCall(t *testing.T) {
	never := func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	f := newFixtureWith(t, Settings{ConnectTimeout: 20 * time.Millisecond, IdleTimeout: time.Minute}, never)
	f.send(time.Hour, "b")
	f.requireResult(transport.ResultConnectTimeout)
	f = newFixtureWith(t, Settings{ConnectTimeout: time.Hour, IdleTimeout: time.Minute}, never)
	f.send(20*time.Millisecond, "b")
	f.requireResult(transport.ResultTimeoutBeforeSent)
	f.send(time.Hour, "b")
	f.CancelUnsent(1)
	f.requireResult(transport.ResultCancelled)
}
