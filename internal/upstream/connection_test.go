package upstream

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
	"spanflow/internal/membudget"
	"spanflow/transport"
)

// The only reading goroutine is blocked at the lock with the answer to another call, so that this call's answer stays
// in the socket until the call times out. The same happens when the process was suspended.
func TestUnreadAnswerEndsCallAtTimeout(t *testing.T) {
	f := newFixture(t)
	f.send(time.Minute, "other")
	other := f.acceptCall()
	f.send(time.Minute, "late")
	late := f.acceptCall()
	f.mu.Lock()
	other.Write([]byte(emptyOK))
	emulator.AwaitBlockedOnLock(t, "upstream.(*connection).Data(")
	late.Write([]byte(emptyOK))
	f.connectionOf("late").timedOutLocked()
	f.mu.Unlock()
	f.requireResult(transport.ResultOK)
	f.requireResult(transport.ResultOK)
}

func TestUndeliveredAnswerEndsCallAtTimeout(t *testing.T) {
	f := newFixture(t)
	f.send(time.Minute, "late")
	late := f.acceptCall()
	f.mu.Lock()
	conn := f.connectionOf("late")
	late.Write([]byte(emptyOK))
	emulator.AwaitBlockedOnLock(t, "upstream.(*connection).Data(")
	conn.timedOutLocked()
	require.NotNil(t, conn.call, "the call ends when Data delivers the answer")
	f.mu.Unlock()
	f.requireResult(transport.ResultOK)
}

func TestResultOfBrokenConnectionDependsOnBytesWritten(t *testing.T) {
	f := newFixture(t)
	f.send(time.Minute, "b")
	f.acceptCall().Close()
	f.requireResult(transport.ResultClosed)
	huge := strings.Repeat("x", 32<<20) // more than the socket buffers hold
	f.send(time.Minute, huge)
	f.acceptCall().Close()
	f.requireResult(transport.ResultClosedBeforeSent)
	f.send(100*time.Millisecond, huge)
	c := f.acceptCall()
	f.requireResult(transport.ResultTimeoutBeforeSent)
	c.Close()
	f.send(time.Second, "b")
	c = f.acceptCall()
	f.requireResult(transport.ResultTimeout)
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err, "a call that times out closes its connection")
	f.send(time.Minute, "b")
	f.acceptCall().Write([]byte("what is this\r\n"))
	require.NotEmpty(t, f.requireResult(transport.ResultMalformed).Reason)
	f.listener.Close()
	f.send(time.Minute, "b")
	f.requireResult(transport.ResultConnectRefused)
}

func TestStatusOKCountsFromStatusLine(t *testing.T) {
	f := newFixture(t)
	f.send(time.Minute, "b")
	c := f.acceptCall()
	c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Le"))
	c.Close()
	f.requireResult(transport.ResultOK)
	f.send(time.Minute, strings.Repeat("x", 32<<20))
	f.acceptCall().Write([]byte("HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n")) // before the call was sent
	f.requireResult(transport.ResultTooLarge)
	require.Empty(t, f.open)
}

// An endpoint runs a call only after its last byte has arrived. A 200 before that is noise, or answers another call.
func Test200BeforeCallIsWrittenIsIgnored(t *testing.T) {
	f := newFixture(t)
	for _, text := range []string{emptyOK, "HTTP/1.1 200 OK\r\nContent-Le"} {
		f.send(time.Minute, strings.Repeat("x", 32<<20))
		c := f.acceptCall()
		c.Write([]byte(text))
		c.(*net.TCPConn).CloseWrite() // no more answer bytes follow
		f.requireResult(transport.ResultClosedBeforeSent)
		c.Close()
	}
}

// A message whose answer is malformed may have run, even if the status says otherwise. Only a status of 200 counts.
func TestMessageWithMalformedAnswerMayHaveRun(t *testing.T) {
	f := newFixture(t)
	for text, want := range map[string]transport.ResultCode{
		"HTTP/1.1 503 Full\r\nno colon\r\n":                                                transport.ResultMalformed,
		"HTTP/1.1 429 Full\r\nRetry-After: 9\r\nContent-Length: -1\r\n\r\n":                transport.ResultMalformed,
		"HTTP/1.1 410 Gone\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 9): transport.ResultMalformed,
		"HTTP/1.1 504 Spent\r\nA: " + strings.Repeat("x", 9000):                            transport.ResultMalformed,
		"HTTP/1.1 413 Large\r\nno colon\r\n":                                               transport.ResultMalformed,
		"HTTP/1.1 400 Unread\r\nContent-Length: -1\r\n\r\n":                                transport.ResultMalformed,
		"\x00\xff noise": transport.ResultMalformed, // nothing follows
		headOK + "Content-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 9): transport.ResultOK,
		headOK + "Content-Length: 90\r\n\r\nshort":                             transport.ResultOK,
		headOK + "no colon\r\n":                                                transport.ResultOK} {
		f.send(time.Second, "b")
		c := f.acceptCall()
		c.Write([]byte(text))
		require.Zero(t, f.requireResult(want).RetryAfter, text)
		_, err := c.Read(make([]byte, 1))
		require.Error(t, err, "the connection stays open")
	}
	require.Empty(t, f.open)
	f.Send(&transport.Call{
		EndpointID: f.endpointID,
		Address:    f.listener.Addr().String(),
		Messages:   []transport.Message{{ID: "a"}, {ID: "b"}},
		Timeout:    time.Minute,
	})
	f.acceptCall().Write([]byte(headOK + "Content-Length: 9\r\n\r\n[{\"id\":\"a\""))
	f.send(time.Minute, "b")
	c := f.acceptCall()
	c.Write([]byte("HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nshort")) // the connection breaks within the body
	c.Close()
	want := [][]transport.ResultCode{{transport.ResultServerError, transport.ResultServerError}, {transport.ResultClosed}}
	require.ElementsMatch(t, want, [][]transport.ResultCode{(<-f.results).Codes, (<-f.results).Codes})
}

// Guards against the answers of many calls over the process's memory (report 5ef372): one that has no room counts as
// malformed, and the memory of each is released with its call.
func TestAnswersStayWithinMemory(t *testing.T) {
	memory := membudget.NewAccount("answers", 100)
	a, b := answer{keepBody: true, memory: memory}, answer{keepBody: true, memory: memory}
	require.NoError(t, a.Body(make([]byte, 60)))
	require.ErrorIs(t, b.Body(make([]byte, 60)), errMemory)
	b.release()
	require.Equal(t, 60, memory.Held())
	a.release()
	require.Zero(t, memory.Held())
}
