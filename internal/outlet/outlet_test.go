package outlet

import (
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/choice"
	"spanflow/internal/dial"
)

func TestEveryEndHasItsOutcome(t *testing.T) {
	type meaning struct {
		outcome   choice.Outcome
		over, ran bool
	}
	for end, want := range map[End]meaning{Took: {choice.Delivered, true, true}, Failed: {choice.Errored, false, true},
		Waiting: {choice.Full, false, false}, TurnedAway: {choice.Full, false, false}, LineBusy: {choice.Moot, false, false},
		Spent: {choice.Moot, false, false}, Gone: {choice.Moot, true, false}, Unread: {choice.Moot, false, false},
		Refused: {choice.NoConnection, false, false}, NeverUp: {choice.NoConnection, false, false},
		BrokenEarly: {choice.NoConnection, false, false}, GivenUpEarly: {choice.NoConnection, false, false},
		Broken: {choice.Reset, false, true}, Garbled: {choice.Errored, false, true}, GivenUp: {choice.TimedOut, false, true},
		Unsent: {choice.Moot, false, false}, Recalled: {choice.Moot, false, false}} {
		outcome, over := end.Outcome()
		require.Equal(t, want, meaning{outcome, over, end.Ran()}, end.String())
	}
	require.Len(t, names, int(Recalled)+1)
}

func TestAnswersMeanWhatTheProtocolSays(t *testing.T) {
	one, two := &Call{Papers: make([]Paper, 1)}, &Call{Papers: []Paper{{ID: "a"}, {ID: "b"}}}
	for code, want := range map[int]End{200: Took, 500: Failed, 502: Failed, 429: Waiting, 503: TurnedAway, 504: Spent, 410: Gone, 400: Unread, 413: Unread} {
		require.Equal(t, []End{want}, (&answer{code: code}).ends(one))
	}
	require.Equal(t, []End{LineBusy}, (&answer{code: 503, busy: true}).ends(one))
	require.Equal(t, []End{Waiting, Waiting}, (&answer{code: 429}).ends(two))
	for body, want := range map[string][]End{
		`[{"id":"b","state":"ok"},{"id":"a","state":"error"}]`:   {Failed, Took},
		`[{"id":"a","state":"gone"},{"id":"b","state":"later"}]`: {Gone, TurnedAway},
		`[{"id":"a","state":"exhausted"}]`:                       {Spent, Failed}, // b is not told: it may have run
		`[{"id":`:                                                {Failed, Failed}} {
		require.Equal(t, want, (&answer{code: 200, body: []byte(body)}).ends(two), body)
	}
}

// desk hands a test the ends of its calls.
type desk chan Ended

func (d desk) CallEnded(e Ended) { d <- e }

type scene struct {
	*Outlet
	t    *testing.T
	desk desk
	ln   net.Listener
	door uint64
}

func newScene(t *testing.T) *scene {
	ln, err := net.Listen("tcp", "127.4.0.1:0")
	require.NoError(t, err)
	d, err := dial.New("test", 8)
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close(); d.Stop() })
	s := &scene{t: t, desk: make(desk, 9), ln: ln, door: 1}
	s.Outlet = New(d, s.desk, Terms{Connect: 300 * time.Millisecond, KeepIdle: time.Minute})
	return s
}

func (s *scene) send(allow time.Duration, body string) {
	s.Send(&Call{Door: s.door, Target: s.ln.Addr().String(), Papers: []Paper{{ID: "a", Body: []byte(body)}}, Allow: allow})
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

func (s *scene) ends(want End) Ended {
	s.t.Helper()
	e := <-s.desk
	require.Equal(s.t, []End{want}, e.Ends)
	return e
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

func TestAConnectionIsUsedAgainUntilItIsClosed(t *testing.T) {
	s := newScene(t)
	s.send(time.Minute, "b")
	c := s.accepts()
	c.Write([]byte("HTTP/1.1 429 Full\r\nRetry-After: 0.25\r\nX-Pressure: x0=0.4,x1=25\r\nContent-Length: 0\r\n\r\n"))
	e := s.ends(Waiting)
	require.Equal(t, []any{0.25, "x0=0.4,x1=25"}, []any{e.Wait, e.Report})
	s.send(time.Minute, "b")
	s.hears(c)
	c.Write([]byte(ok))
	require.Zero(t, s.ends(Took).Wait)
	s.CloseIdle(1)
	s.send(time.Minute, "b")
	s.accepts().Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"))
	require.Zero(t, s.Idle())
}

func TestBrokenConnectionsAreToldApartByWhetherTheCallWasWrittenWhole(t *testing.T) {
	s := newScene(t)
	s.send(time.Minute, "b")
	s.accepts().Close()
	s.ends(Broken)
	huge := strings.Repeat("x", 32<<20) // more than the sockets take
	s.send(time.Minute, huge)
	s.accepts().Close()
	s.ends(BrokenEarly)
	s.send(100*time.Millisecond, huge)
	c := s.accepts()
	s.ends(GivenUpEarly)
	c.Close()
	s.send(100*time.Millisecond, "b")
	c = s.accepts()
	s.ends(GivenUp)
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err, "a call given up closes its connection")
	s.send(time.Minute, "b")
	s.accepts().Write([]byte("what is this\r\n"))
	require.NotEmpty(t, s.ends(Garbled).Why)
	s.ln.Close()
	s.send(time.Minute, "b")
	s.ends(Refused)
}

func TestAStatusHoldsFromItsLineOn(t *testing.T) {
	s := newScene(t)
	s.send(time.Minute, "b")
	c := s.accepts()
	c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Le"))
	c.Close()
	s.ends(Took)
	s.send(time.Minute, strings.Repeat("x", 32<<20))
	s.accepts().Write([]byte("HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n")) // before the call was written whole
	s.ends(Unread)
	require.Zero(t, s.Idle())
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
		s.ends(Took)
	}
	other, err := net.Listen("tcp", "127.4.0.1:0")
	require.NoError(t, err)
	defer other.Close()
	s.ln, s.door = other, 2
	s.send(time.Minute, "b")
	s.accepts().Write([]byte(ok))
	s.ends(Took)
	_, err = lines[0].Read(make([]byte, 1))
	require.Error(t, err)
	require.Equal(t, 8, s.Idle())
}

func TestAConnectionThatNeverComesUp(t *testing.T) {
	s := newScene(t)
	full, err := net.Listen("tcp", "127.4.0.1:0")
	require.NoError(t, err)
	defer full.Close()
	s.ln.Close()
	s.ln = full
	raw, err := full.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) }))
	require.NoError(t, err)
	for range 10 { // fill the short line of those who wait to be accepted
		c, err := net.DialTimeout("tcp", full.Addr().String(), 50*time.Millisecond)
		if err != nil {
			break
		}
		defer c.Close()
	}
	s.send(time.Minute, "b")
	s.ends(NeverUp)
	s.send(100*time.Millisecond, "b")
	s.ends(GivenUpEarly)
	s.send(time.Minute, "b")
	s.Recall(1)
	s.ends(Recalled)
}

const head = "HTTP/1.1 200 OK\r\n"

// A document whose answer is spoilt has run, whatever a piece of the answer says; but one's own 200 is true.
func TestASpoiltAnswerMayStandForADocumentThatRan(t *testing.T) {
	s := newScene(t)
	for text, want := range map[string]End{
		"HTTP/1.1 503 Full\r\nno colon\r\n":                                                Garbled,
		"HTTP/1.1 429 Full\r\nRetry-After: 9\r\nContent-Length: -1\r\n\r\n":                Garbled,
		"HTTP/1.1 410 Gone\r\nContent-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 9): Garbled,
		"HTTP/1.1 504 Spent\r\nA: " + strings.Repeat("x", 9000):                            Garbled,
		"\x00\xff noise": Garbled, // and nothing after
		head + "Content-Length: 3000000000\r\n\r\n" + strings.Repeat("x", 9): Took,
		head + "Content-Length: 90\r\n\r\nshort":                             Took,
		head + "no colon\r\n":                                                Took} {
		s.send(200*time.Millisecond, "b")
		c := s.accepts()
		c.Write([]byte(text))
		require.Zero(t, s.ends(want).Wait, text)
		_, err := c.Read(make([]byte, 1))
		require.Error(t, err, "the connection is not used again")
	}
	require.Zero(t, s.Idle())
	s.Send(&Call{Door: s.door, Target: s.ln.Addr().String(), Papers: []Paper{{ID: "a"}, {ID: "b"}}, Allow: time.Minute})
	s.accepts().Write([]byte(head + "Content-Length: 9\r\n\r\n[{\"id\":\"a\""))
	s.send(200*time.Millisecond, "b")
	c := s.accepts()
	c.Write([]byte("HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nshort")) // and its connection breaks
	c.Close()
	require.ElementsMatch(t, [][]End{{Failed, Failed}, {Broken}}, [][]End{(<-s.desk).Ends, (<-s.desk).Ends})
}

func TestWhatFollowsAGoodAnswerIsNeverTheNextCalls(t *testing.T) {
	s := newScene(t)
	for range 20 {
		s.send(time.Minute, "b")
		c := s.accepts()
		c.Write([]byte(ok))
		s.ends(Took)
		s.send(time.Minute, "b") // at once, while the copy is on its way
		c.Write([]byte(ok))
		c = s.accepts()
		c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n"))
		s.ends(TurnedAway)
		s.CloseIdle(s.door)
	}
}

func TestATargetDoesNotInheritTheConnectionsOfOneThatHadItsAddress(t *testing.T) {
	s := newScene(t)
	s.send(time.Minute, "b")
	s.accepts().Write([]byte(ok))
	s.ends(Took)
	s.door = 2
	s.send(time.Minute, "b")
	s.accepts().Write([]byte(ok))
	s.ends(Took)
	require.Equal(t, 2, s.Idle())
}
