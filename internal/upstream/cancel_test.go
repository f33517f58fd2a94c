package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/transport"
)

// lateFixture is a fixture whose connections are established once the test allows it.
type lateFixture struct {
	*fixture
	establish chan struct{}
}

func newLateFixture(t *testing.T) *lateFixture {
	establish := make(chan struct{})
	return &lateFixture{establish: establish, fixture: newFixtureWith(t, Settings{ConnectTimeout: time.Minute},
		func(ctx context.Context, addr string) (net.Conn, error) {
			select {
			case <-establish:
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			return net.Dial("tcp", addr)
		})}
}

// sendMessages starts a call with a message for each id, numbered from 1.
func (f *lateFixture) sendMessages(ids ...string) *transport.Call {
	call := &transport.Call{EndpointID: 1, Address: f.listener.Addr().String(), Timeout: time.Minute}
	for i, id := range ids {
		call.Messages = append(call.Messages, transport.Message{MessageID: uint64(i + 1), ID: id, Body: []byte(id)})
	}
	f.Send(call)
	return call
}

// acceptRequest accepts the connection of a call and returns its request. A connection that comes up although its call has
// ended is passed over: it carries nothing.
func (f *lateFixture) acceptRequest() (net.Conn, string) {
	f.t.Helper()
	for {
		c, err := f.listener.Accept()
		require.NoError(f.t, err)
		require.NoError(f.t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		request := make([]byte, 1000)
		n, err := c.Read(request)
		if errors.Is(err, io.EOF) {
			_ = c.Close()
			continue
		}
		require.NoError(f.t, err)
		return c, string(request[:n])
	}
}

// Guards against a message that is sent on after it has ended, because its call had not begun (report 32b2ab).
func TestMessageIsTakenOutOfUnsentCall(t *testing.T) {
	f := newLateFixture(t)
	f.sendMessages("one", "two", "three")
	require.True(t, f.CancelMessage(1))
	require.False(t, f.CancelMessage(1), "it is in no call any more")
	require.False(t, f.CancelMessage(9))
	require.True(t, f.CancelMessage(3))
	close(f.establish)
	c, request := f.acceptRequest()
	require.True(t, strings.HasPrefix(request, "POST /hook HTTP"), "one message is left: %q", request)
	require.Contains(t, request, "X-Txn: two\r\n")
	require.False(t, f.CancelMessage(2), "its call has begun")
	_, err := io.WriteString(c, emptyOK)
	require.NoError(t, err)
	result := f.requireResult(transport.ResultOK)
	require.Equal(t, "two", result.Call.Messages[0].ID)
	require.Positive(t, result.SentAfter)
}

func TestUnsentCallEndsWithItsLastMessage(t *testing.T) {
	f := newLateFixture(t)
	f.sendMessages("one", "two")
	require.True(t, f.CancelMessage(1))
	require.True(t, f.CancelMessage(2))
	require.Empty(t, f.open)
	close(f.establish)
	f.send(time.Minute, "next")
	_, request := f.acceptRequest()
	require.Contains(t, request, "next")
	require.Empty(t, f.results, "no result comes for a call without messages")
}

// What is over when the connection comes up is left out, even if nobody has cancelled it yet.
func TestExpiredMessagesAreLeftOutOfLateCall(t *testing.T) {
	for name, test := range map[string]struct {
		expired []int
		sent    string // a part of the request; empty if the call is not sent
	}{
		"the first":   {expired: []int{0}, sent: `[{"id":"two","body":"dHdv"},{"id":"three","body":"dGhyZWU="}]`},
		"all but one": {expired: []int{0, 2}, sent: "X-Txn: two\r\n"},
		"all":         {expired: []int{0, 1, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newLateFixture(t)
			call := f.sendMessages("one", "two", "three")
			f.mu.Lock()
			for i := range call.Messages {
				call.Messages[i].SendBefore = time.Now().Add(time.Hour)
			}
			var expired []string
			for _, i := range test.expired {
				call.Messages[i].SendBefore = time.Now()
				expired = append(expired, call.Messages[i].ID)
			}
			f.mu.Unlock()
			close(f.establish)
			result := <-f.results
			var cancelled []string
			for i, m := range result.Call.Messages {
				require.Equal(t, transport.ResultCancelled, result.Codes[i])
				cancelled = append(cancelled, m.ID)
			}
			require.Equal(t, expired, cancelled)
			require.Zero(t, result.SentAfter)
			if test.sent == "" {
				require.Empty(t, f.open)
				return
			}
			_, request := f.acceptRequest()
			require.Contains(t, request, test.sent)
			require.Len(t, f.open, 1)
		})
	}
}

// Guards against an endpoint that runs a call after it was given up: it is told how long the forwarder still waits, and not the
// time from the moment when the call was chosen.
func TestLateCallTellsTimeThatIsLeft(t *testing.T) {
	const late = 60 * time.Millisecond
	for _, ids := range [][]string{{"one"}, {"one", "two"}} {
		f := newLateFixture(t)
		began := time.Now()
		call := f.sendMessages(ids...)
		time.Sleep(late)
		close(f.establish)
		_, request := f.acceptRequest()
		_, rest, _ := strings.Cut(request, timeLeftField+": ")
		told, err := strconv.ParseInt(rest[:strings.Index(rest, "\r\n")], 10, 64)
		require.NoError(t, err)
		require.LessOrEqual(t, told, (call.Timeout - late).Milliseconds())
		require.GreaterOrEqual(t, told, (call.Timeout - time.Since(began)).Milliseconds())
	}
}

// A message is either cancelled or sent, whichever comes first, and never both or neither.
func TestMessageIsEitherCancelledOrSent(t *testing.T) {
	const tries = 300
	outcomes := map[bool]int{}
	for n := range tries {
		f := newLateFixture(t)
		f.sendMessages("one", "two")
		go func() {
			time.Sleep(time.Duration(n%10) * 20 * time.Microsecond)
			close(f.establish)
		}()
		time.Sleep(time.Duration(n%17) * 20 * time.Microsecond)
		cancelled := f.CancelMessage(1)
		c, request := f.acceptRequest()
		require.Equal(t, !cancelled, strings.Contains(request, "one"), "cancelled: %v; %q", cancelled, request)
		require.Contains(t, request, "two")
		outcomes[cancelled]++
		_ = c.Close()
	}
	t.Logf("%d cancelled, %d sent", outcomes[true], outcomes[false])
}

// Of a call that is written in part, nothing is cancelled: its first byte has gone out.
func TestMessageOfCallWrittenInPartIsNotCancelled(t *testing.T) {
	f := newLateFixture(t)
	close(f.establish)
	large := make([]byte, 32<<20) // more than the socket buffers hold
	f.Send(&transport.Call{
		EndpointID: 1,
		Address:    f.listener.Addr().String(),
		Messages:   []transport.Message{{MessageID: 1, ID: "large", Body: large}},
		Timeout:    time.Minute,
	})
	c, _ := f.acceptRequest()
	require.False(t, f.CancelMessage(1))
	f.CancelUnsent(1)
	require.Empty(t, f.results)
	_ = c.Close()
	f.requireResult(transport.ResultClosedBeforeSent)
}

// An answer that comes before the call was sent is none, whether it has a length or ends with the connection.
func TestAnswerBeforeCallIsSentIsNone(t *testing.T) {
	for _, answer := range []string{emptyOK, headOK + "\r\n"} {
		f := newLateFixture(t) // the connection is not established
		f.send(time.Minute, "b")
		f.mu.Lock()
		conn := f.connectionOf("b")
		require.False(t, conn.begun)
		conn.feed([]byte(answer))
		if conn.call != nil {
			conn.closedWithCall(nil)
		}
		f.mu.Unlock()
		f.requireResult(transport.ResultClosedBeforeSent)
	}
}
