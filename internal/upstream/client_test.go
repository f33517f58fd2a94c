package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
	"spanflow/transport"
)

// requireClosed requires that the client has closed a connection.
func requireClosed(t *testing.T, c net.Conn) {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the connection stays open")
}

func TestEachCallHasItsOwnConnection(t *testing.T) {
	f := newFixture(t)
	f.send(time.Minute, "b")
	c := f.acceptCall()
	c.Write([]byte("HTTP/1.1 429 Full\r\nRetry-After: 0.25\r\nX-Pressure: x0=0.4,x1=25\r\nContent-Length: 0\r\n\r\n"))
	e := f.requireResult(transport.ResultRetryAfter)
	require.Equal(t, []any{0.25, 25.0, 0.4}, []any{e.RetryAfter, e.ReportedLimit, e.ReportedShare})
	requireClosed(t, c)
	f.send(time.Minute, "b")
	c = f.acceptCall()
	c.Write([]byte(emptyOK))
	require.Zero(t, f.requireResult(transport.ResultOK).RetryAfter)
	requireClosed(t, c)
	f.send(time.Minute, "b")
	c = f.acceptCall()
	c.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"))
	c.Close()
	f.requireResult(transport.ResultOK)
	require.Empty(t, f.open)
}

// The limit counts the calls in progress only: a call that has ended leaves no connection.
func TestConnectionLimitCountsCallsInProgress(t *testing.T) {
	f := newFixture(t)
	for range 3 {
		var conns []net.Conn
		for range connectionLimit {
			f.send(time.Minute, "b")
			conns = append(conns, f.acceptCall())
		}
		f.send(time.Minute, "one too many")
		f.requireResult(transport.ResultConnectRefused)
		for _, c := range conns {
			c.Write([]byte(emptyOK))
			f.requireResult(transport.ResultOK)
		}
	}
	require.Empty(t, f.open)
}

func TestEndpointsAtSameAddressShareNoConnection(t *testing.T) {
	f := newFixture(t)
	f.send(time.Minute, "b")
	c := f.acceptCall()
	c.Write([]byte(emptyOK))
	f.requireResult(transport.ResultOK)
	f.endpointID = 2
	f.send(time.Minute, "b")
	f.acceptCall().Write([]byte(emptyOK))
	f.requireResult(transport.ResultOK)
	requireClosed(t, c)
}

func TestUndeliveredBytesDoNotAnswerNextCall(t *testing.T) {
	f := newFixture(t)
	f.send(time.Minute, "b")
	c := f.acceptCall()
	f.mu.Lock()
	c.Write([]byte(emptyOK)) // read from the socket, but not delivered yet
	emulator.AwaitBlockedOnLock(t, "upstream.(*connection).Data(")
	c.Write([]byte(emptyOK)) // a second answer
	f.mu.Unlock()
	f.requireResult(transport.ResultOK)
	f.send(time.Minute, "b")
	f.acceptCall().Write([]byte("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"))
	f.requireResult(transport.ResultServerError)
}

// Bytes that arrive together with an answer are reported, and change nothing for the next call.
func TestBytesAfterAnswerDoNotAnswerNextCall(t *testing.T) {
	f := newFixture(t)
	for range 20 {
		f.send(time.Hour, "b")
		f.acceptCall().Write([]byte(emptyOK + emptyOK))
		require.Equal(t, len(emptyOK), f.requireResult(transport.ResultOK).SurplusBytes)
		f.send(time.Hour, "b")
		f.acceptCall().Write([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"))
		require.Zero(t, f.requireResult(transport.ResultOverloaded).SurplusBytes)
	}
}

// A call whose bytes may have been written is not cancelled.
func TestCallOnEstablishedConnectionIsNotCancelled(t *testing.T) {
	f := newFixture(t)
	f.send(time.Hour, "b")
	c := f.acceptCall()
	f.CancelUnsent(1)
	require.Empty(t, f.results)
	c.Write([]byte(emptyOK))
	f.requireResult(transport.ResultOK)
}

// The connection is never established. Of the connect timeout, the call's timeout and a cancellation, the first one
// determines the result. Each case sets the other timeouts far off, so that a slow machine does not change the result.
func TestUnestablishedConnectionEndsCall(t *testing.T) {
	never := func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	f := newFixtureWith(t, Settings{ConnectTimeout: 20 * time.Millisecond}, never)
	f.send(time.Hour, "b")
	f.requireResult(transport.ResultConnectTimeout)
	f = newFixtureWith(t, Settings{ConnectTimeout: time.Hour}, never)
	f.send(20*time.Millisecond, "b")
	f.requireResult(transport.ResultTimeoutBeforeSent)
	f.send(time.Hour, "b")
	f.CancelUnsent(1)
	f.requireResult(transport.ResultCancelled)
}
