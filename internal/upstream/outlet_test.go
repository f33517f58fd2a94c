package upstream

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/dial"
	"spanflow/internal/emulator"
	"spanflow/transport"
)

func TestAnswersMeanWhatTheProtocolSays(t *testing.T) {
	one, two := &transport.Call{Messages: make([]transport.Message, 1)}, &transport.Call{Messages: []transport.Message{{ID: "a"}, {ID: "b"}}}
	for code, want := range map[int]transport.ResultCode{200: transport.ResultOK, 500: transport.ResultServerError, 502: transport.ResultServerError, 429: transport.ResultRetryAfter, 503: transport.ResultOverloaded, 504: transport.ResultAttemptsExhausted, 410: transport.ResultGone, 400: transport.ResultBadRequest, 413: transport.ResultBadRequest} {
		require.Equal(t, []transport.ResultCode{want}, (&answer{code: code}).ends(one))
	}
	require.Equal(t, []transport.ResultCode{transport.ResultNoSlot}, (&answer{code: 503, busy: true}).ends(one))
	require.Equal(t, []transport.ResultCode{transport.ResultRetryAfter, transport.ResultRetryAfter}, (&answer{code: 429}).ends(two))
	for body, want := range map[string][]transport.ResultCode{
		`[{"id":"b","state":"ok"},{"id":"a","state":"error"}]`:   {transport.ResultServerError, transport.ResultOK},
		`[{"id":"a","state":"gone"},{"id":"b","state":"later"}]`: {transport.ResultGone, transport.ResultOverloaded},
		`[{"id":"a","state":"exhausted"}]`:                       {transport.ResultAttemptsExhausted, transport.ResultServerError}, // b is not told: it may have run
		`[{"id":`:                                                {transport.ResultServerError, transport.ResultServerError}} {
		require.Equal(t, want, (&answer{code: 200, body: []byte(body)}).ends(two), body)
	}
}

// desk hands a test the ends of its calls.
type desk chan transport.CallResult

func (d desk) CallEnded(e transport.CallResult) { d <- e }

type scene struct {
	*Client
	t    *testing.T
	desk desk
	ln   net.Listener
	door uint64
}

func newScene(t *testing.T) *scene {
	return newSceneBy(t, Settings{Connect: time.Minute, KeepIdle: time.Minute, LimitField: "x1", ShareField: "x0"}, nil)
}

// newSceneBy has terms of its own, and perhaps connections that a network makes only now and then.
func newSceneBy(t *testing.T, terms Settings, connect func(context.Context, string) (net.Conn, error)) *scene {
	ln, err := net.Listen("tcp", "127.4.0.1:0")
	require.NoError(t, err)
	d, err := dial.New("test", 8)
	require.NoError(t, err)
	d.Connect = connect
	t.Cleanup(func() { ln.Close(); d.Stop() })
	s := &scene{t: t, desk: make(desk, 9), ln: ln, door: 1}
	s.Client = New(d, s.desk, terms)
	return s
}

func (s *scene) send(allow time.Duration, body string) {
	s.Send(&transport.Call{EndpointID: s.door, Address: s.ln.Addr().String(), Messages: []transport.Message{{ID: "a", Body: []byte(body)}}, Timeout: allow})
}

// accepts reads the head of a call on a new connection.
func (s *scene) accepts() net.Conn {
	c, err := s.ln.Accept()
	require.NoError(s.t, err)
	s.hears(c)
	return c
}

func (s *scene) hears(c net.Conn) {
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	b := make([]byte, 1000)
	n, err := c.Read(b)
	require.NoError(s.t, err)
	require.True(s.t, strings.HasPrefix(string(b[:n]), "POST /hook"))
}

func (s *scene) ends(want transport.ResultCode) transport.CallResult {
	s.t.Helper()
	e := <-s.desk
	require.Equal(s.t, []transport.ResultCode{want}, e.Codes)
	return e
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

func TestAConnectionIsUsedAgainUntilItIsClosed(t *testing.T) {
	s := newScene(t)
	s.send(time.Minute, "b")
	c := s.accepts()
	c.Write([]byte("HTTP/1.1 429 Full\r\nRetry-After: 0.25\r\nX-Pressure: x0=0.4,x1=25\r\nContent-Length: 0\r\n\r\n"))
	e := s.ends(transport.ResultRetryAfter)
	require.Equal(t, []any{0.25, 25.0, 0.4}, []any{e.RetryAfter, e.ReportedLimit, e.ReportedShare})
	s.send(time.Minute, "b")
	s.hears(c)
	c.Write([]byte(ok))
	require.Zero(t, s.ends(transport.ResultOK).RetryAfter)
	s.CloseIdle(1)
	s.send(time.Minute, "b")
	s.accepts().Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"))
	require.Zero(t, s.IdleConnections())
}

func TestBytesOnTheirWayToTheUpstreamAreNotTheAnswerToTheNextCall(t *testing.T) {
	s := newScene(t)
	s.send(time.Minute, "b")
	c := s.accepts()
	c.Write([]byte(ok))
	s.ends(transport.ResultOK)
	s.mu.Lock()
	c.Write([]byte(ok)) // once more: read from the socket, and not heard yet
	emulator.AwaitAtLock(t, "upstream.(*trunk).Data(")
	used := s.rested(s.door)
	s.mu.Unlock()
	require.Nil(t, used, "a call on it would be taken for done")
	s.send(time.Minute, "b")
	s.accepts().Write([]byte("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"))
	s.ends(transport.ResultServerError)
}

// waiting is the connection that carries a call with such a body, and the number of that call; the upstream's lock is
// held.
func (s *scene) waiting(body string) (*trunk, int) {
	for t := range s.rising {
		if string(t.call.Messages[0].Body) == body {
			return t, t.turn
		}
	}
	s.t.Fatalf("no call with the body %q", body)
	panic("unreachable")
}

const emptyAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

// The network's one goroutine stands at the lock with another call's answer, so that this one's stays in the socket while
// its time-out comes, as after a standstill of the process.
func TestAnAnswerInTheSocketEndsTheCallWhoseTimeIsOver(t *testing.T) {
	s := newScene(t)
	s.send(time.Minute, "other")
	other := s.accepts()
	s.send(time.Minute, "late")
	late := s.accepts()
	s.mu.Lock()
	other.Write([]byte(emptyAnswer))
	emulator.AwaitAtLock(t, "upstream.(*trunk).Data(")
	late.Write([]byte(emptyAnswer))
	trunk, turn := s.waiting("late")
	trunk.timeOver(turn)
	s.mu.Unlock()
	s.ends(transport.ResultOK)
	s.ends(transport.ResultOK)
}

func TestAnAnswerOnItsWayToTheUpstreamEndsTheCallWhoseTimeIsOver(t *testing.T) {
	s := newScene(t)
	s.send(time.Minute, "late")
	late := s.accepts()
	s.mu.Lock()
	trunk, turn := s.waiting("late")
	late.Write([]byte(emptyAnswer))
	emulator.AwaitAtLock(t, "upstream.(*trunk).Data(")
	trunk.timeOver(turn)
	require.NotNil(t, trunk.call, "its answer is told by Data")
	s.mu.Unlock()
	s.ends(transport.ResultOK)
}

func TestBrokenConnectionsAreToldApartByWhetherTheCallWasWrittenWhole(t *testing.T) {
	s := newScene(t)
	s.send(time.Minute, "b")
	s.accepts().Close()
	s.ends(transport.ResultClosed)
	huge := strings.Repeat("x", 32<<20) // more than the sockets take
	s.send(time.Minute, huge)
	s.accepts().Close()
	s.ends(transport.ResultClosedBeforeSent)
	s.send(100*time.Millisecond, huge)
	c := s.accepts()
	s.ends(transport.ResultTimeoutBeforeSent)
	c.Close()
	s.send(time.Second, "b")
	c = s.accepts()
	s.ends(transport.ResultTimeout)
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err, "a call given up closes its connection")
	s.send(time.Minute, "b")
	s.accepts().Write([]byte("what is this\r\n"))
	require.NotEmpty(t, s.ends(transport.ResultMalformed).Reason)
	s.ln.Close()
	s.send(time.Minute, "b")
	s.ends(transport.ResultConnectRefused)
}

func TestAStatusHoldsFromItsLineOn(t *testing.T) {
	s := newScene(t)
	s.send(time.Minute, "b")
	c := s.accepts()
	c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Le"))
	c.Close()
	s.ends(transport.ResultOK)
	s.send(time.Minute, strings.Repeat("x", 32<<20))
	s.accepts().Write([]byte("HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n")) // before the call was written whole
	s.ends(transport.ResultBadRequest)
	require.Zero(t, s.IdleConnections())
}

// An endpoint begins a call when its last byte has come: a 200 before that is noise, or the answer to another.
func TestA200BeforeTheCallIsWrittenWholeDeliversNothing(t *testing.T) {
	s := newScene(t)
	for _, text := range []string{ok, "HTTP/1.1 200 OK\r\nContent-Le"} {
		s.send(time.Minute, strings.Repeat("x", 32<<20))
		c := s.accepts()
		c.Write([]byte(text))
		c.(*net.TCPConn).CloseWrite() // it reads no more of it
		s.ends(transport.ResultClosedBeforeSent)
		c.Close()
	}
}

func TestTheLongestIdleConnectionMakesRoomForACall(t *testing.T) {
	s := newScene(t)
	var lines []net.Conn
	for range 8 { // as many as there may be
		s.send(time.Minute, "b")
		lines = append(lines, s.accepts())
	}
	for _, c := range lines {
		c.Write([]byte(ok))
		s.ends(transport.ResultOK)
	}
	other, err := net.Listen("tcp", "127.4.0.1:0")
	require.NoError(t, err)
	defer other.Close()
	s.ln, s.door = other, 2
	s.send(time.Minute, "b")
	s.accepts().Write([]byte(ok))
	s.ends(transport.ResultOK)
	_, err = lines[0].Read(make([]byte, 1))
	require.Error(t, err)
	require.Equal(t, 8, s.IdleConnections())
}

// Nobody answers a connection: what ends the call first is what is told, however late the test's machine runs.
func TestAConnectionThatNeverComesUp(t *testing.T) {
	never := func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s := newSceneBy(t, Settings{Connect: 20 * time.Millisecond, KeepIdle: time.Minute}, never)
	s.send(time.Hour, "b")
	s.ends(transport.ResultConnectTimeout)
	s = newSceneBy(t, Settings{Connect: time.Hour, KeepIdle: time.Minute}, never)
	s.send(20*time.Millisecond, "b")
	s.ends(transport.ResultTimeoutBeforeSent)
	s.send(time.Hour, "b")
	s.CancelUnsent(1)
	s.ends(transport.ResultCancelled)
}

const head = "HTTP/1.1 200 OK\r\n"

// A message whose answer is spoilt has run, whatever a piece of the answer says; but one's own 200 is true.
func TestAMalformedAnswerMayStandForAMessageThatRan(t *testing.T) {
	s := newScene(t)
	for text, want := range map[string]transport.ResultCode{
		"HTTP/1.1 503 Full\r\nno colon\r\n":                                                transport.ResultMalformed,
		"HTTP/1.1 429 Full\r\nRetry-After: 9\r\nContent-Length: -1\r\n\r\n":                transport.ResultMalformed,
		"HTTP/1.1 410 Gone\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 9): transport.ResultMalformed,
		"HTTP/1.1 504 Spent\r\nA: " + strings.Repeat("x", 9000):                            transport.ResultMalformed,
		"\x00\xff noise": transport.ResultMalformed, // and nothing after
		head + "Content-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 9): transport.ResultOK,
		head + "Content-Length: 90\r\n\r\nshort":                             transport.ResultOK,
		head + "no colon\r\n":                                                transport.ResultOK} {
		s.send(time.Second, "b")
		c := s.accepts()
		c.Write([]byte(text))
		require.Zero(t, s.ends(want).RetryAfter, text)
		_, err := c.Read(make([]byte, 1))
		require.Error(t, err, "the connection is not used again")
	}
	require.Zero(t, s.IdleConnections())
	s.Send(&transport.Call{EndpointID: s.door, Address: s.ln.Addr().String(), Messages: []transport.Message{{ID: "a"}, {ID: "b"}}, Timeout: time.Minute})
	s.accepts().Write([]byte(head + "Content-Length: 9\r\n\r\n[{\"id\":\"a\""))
	s.send(time.Minute, "b")
	c := s.accepts()
	c.Write([]byte("HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nshort")) // and its connection breaks
	c.Close()
	require.ElementsMatch(t, [][]transport.ResultCode{{transport.ResultServerError, transport.ResultServerError}, {transport.ResultClosed}}, [][]transport.ResultCode{(<-s.desk).Codes, (<-s.desk).Codes})
}

// A second copy of an answer comes while the next call waits for the connection to be proven clean: the call goes on a new
// one. The wait is without end here, so that the copy comes within it on any machine.
func TestWhatFollowsAGoodAnswerIsNeverTheNextCalls(t *testing.T) {
	s := newSceneBy(t, Settings{Connect: time.Minute, KeepIdle: time.Minute, ReuseProof: time.Hour}, nil)
	for range 20 {
		s.send(time.Hour, "b")
		c := s.accepts()
		c.Write([]byte(ok))
		s.ends(transport.ResultOK)
		s.send(time.Hour, "b")
		c.Write([]byte(ok))
		c = s.accepts()
		c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"))
		s.ends(transport.ResultOverloaded)
		s.CloseIdle(s.door)
	}
}

// Until its connection is proven clean a call can still be taken back: nothing of it was written.
func TestACallWaitsForItsConnectionToBeProvenClean(t *testing.T) {
	s := newSceneBy(t, Settings{Connect: time.Minute, KeepIdle: time.Minute, ReuseProof: time.Hour}, nil)
	s.send(time.Hour, "b")
	s.accepts().Write([]byte(ok))
	s.ends(transport.ResultOK)
	require.Equal(t, 1, s.IdleConnections())
	s.send(time.Hour, "b")
	require.Zero(t, s.IdleConnections(), "it has taken the connection")
	s.CancelUnsent(1)
	s.ends(transport.ResultCancelled)
}

func TestAnEndpointDoesNotInheritTheConnectionsOfOneThatHadItsAddress(t *testing.T) {
	s := newScene(t)
	s.send(time.Minute, "b")
	s.accepts().Write([]byte(ok))
	s.ends(transport.ResultOK)
	s.door = 2
	s.send(time.Minute, "b")
	s.accepts().Write([]byte(ok))
	s.ends(transport.ResultOK)
	require.Equal(t, 2, s.IdleConnections())
}

func TestTheLimitIsReadFromAReport(t *testing.T) {
	for report, want := range map[string]float64{"x0=0.4, x1=25": 25, "x0=0,x1=0": -1, "x0=1": 0, "x1=many": 0, "x1=-3": 0,
		"x1=NaN": 0, "\x00=,": 0, "": 0} {
		require.Equal(t, want, limit(report, "x1"), report)
	}
}

func TestAnAbsurdWaitIsNotBelieved(t *testing.T) {
	for told, want := range map[string]float64{"0.25": 0.25, "-3": 0, "NaN": 0, "Inf": 0, "soon": 0, "1e9": 0, "": 0,
		"Wed, 21 Oct 2026 07:28:00 GMT": 0} {
		a := answer{}
		a.Field([]byte("Retry-After"), []byte(told))
		require.Equal(t, want, a.wait, told)
	}
}
