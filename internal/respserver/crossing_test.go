package respserver

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
	"spanflow/internal/resp"
	"spanflow/transport"
)

// Crossings of a command with the close of its connection. A test holds the reader at its lock, where it stands between
// the read of the socket and the count of the commands that are owed an answer.

// table is a desk whose commands a test answers.
type table chan transport.Request

func (t table) Submit(a transport.Request) { t <- a }
func (t table) Withdraw(string)            {}

type scene struct {
	t     *testing.T
	in    *Server
	table table
}

func newScene(t *testing.T, most int, quiet float64) *scene {
	s := &scene{t: t, table: make(table, 9)}
	var err error
	s.in, err = Open("127.6.0.1:0", most, most+4, Timeouts{FirstCommand: 60, Idle: quiet}, s.table)
	require.NoError(t, err)
	t.Cleanup(s.in.Stop)
	return s
}

// served connects a client whose first command has had its answer.
func (s *scene) served() (*emulator.Client, *Client) {
	c, err := emulator.NewClient(s.in.Addr())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, emulator.Command("PING"))
	require.NoError(s.t, err)
	from := (<-s.table).From.(*Client)
	from.Answer(transport.Reply{Status: transport.StatusAlive})
	line, err := c.ReadReply()
	require.NoError(s.t, err)
	require.Equal(s.t, "+PONG", line)
	return c, from
}

// answered has a command reach the desk and its answer the client.
func (s *scene) answered(c *emulator.Client) {
	s.t.Helper()
	a := <-s.table
	require.True(s.t, a.Ping)
	require.True(s.t, a.From.Answer(transport.Reply{Status: transport.StatusAlive}))
	line, err := c.ReadReply()
	require.NoError(s.t, err)
	require.Equal(s.t, "+PONG", line)
}

func TestACommandThatIsBeingReadWhileClientsAreSentAwayIsAnswered(t *testing.T) {
	for name, close := range map[string]func(*scene, *Client){
		"leave": func(s *scene, _ *Client) { s.in.Drain() },
		"sweep": func(s *scene, _ *Client) { s.in.sweep(time.Now().Add(time.Hour)) },
		"room": func(s *scene, _ *Client) {
			other, err := net.Dial("tcp", s.in.Addr())
			require.NoError(s.t, err)
			s.t.Cleanup(func() { other.Close() })
			require.Eventually(s.t, func() bool { return s.in.Stats().Evicted[rankIdle] == 1 && s.in.Clients() == 2 }, 5*time.Second, time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, 1, 1800)
			c, from := s.served()
			from.reading.Lock() // read, and not counted yet
			_, err := io.WriteString(c, emulator.Command("PING"))
			require.NoError(t, err)
			emulator.AwaitAtLock(t, "respserver.(*Server).read(")
			close(s, from)
			require.False(t, from.gone.Load())
			from.reading.Unlock()
			s.answered(c)
		})
	}
}

func TestACommandWhoseRestIsBeingReadIsNotRefusedAsStuck(t *testing.T) {
	s := newScene(t, 9, 1800)
	c, from := s.served()
	whole := emulator.Command("PING")
	_, err := io.WriteString(c, whole[:5])
	require.NoError(t, err)
	require.Eventually(t, from.partial.Load, 5*time.Second, time.Millisecond)
	from.reading.Lock() // the rest is read, and not counted yet
	_, err = io.WriteString(c, whole[5:])
	require.NoError(t, err)
	s.in.sweep(time.Now().Add(time.Hour))
	require.Empty(t, s.table)
	from.reading.Unlock()
	s.answered(c)
	require.Zero(t, s.in.Stats().Incomplete)
}

func TestAConnectionThatIsReadFromWhileItIsToCloseClosesAfterItsAnswer(t *testing.T) {
	s := newScene(t, 9, 1800)
	c, from := s.served()
	from.reading.Lock()
	s.in.Drain()
	_, err := io.WriteString(c, emulator.Command("PING"))
	require.NoError(t, err)
	emulator.AwaitAtLock(t, "respserver.(*Server).read(") // else the sweep may close it before it has anything to read
	from.reading.Unlock()
	s.answered(c)
	_, err = c.ReadReply()
	require.ErrorIs(t, err, io.EOF)
}

func TestWhatIsNotReadWhenAllIsHaltedIsTheClientsToSendAgain(t *testing.T) {
	s := newScene(t, 9, 1800)
	c, from := s.served()
	s.in.StopReading()
	_, err := io.WriteString(c, emulator.Command("PING"))
	require.NoError(t, err)
	from.conn.Close()
	_, err = c.ReadReply()
	// A socket that is closed with something unread resets its connection: it was not read.
	require.True(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
	require.Empty(t, s.table)
}

func TestHaltWaitsForWhatIsBeingRead(t *testing.T) {
	s := newScene(t, 9, 1800)
	c, from := s.served()
	from.reading.Lock()
	halted := make(chan struct{})
	go func() { s.in.StopReading(); close(halted) }()
	for _, h := s.in.state(); !h; _, h = s.in.state() {
	}
	select {
	case <-halted:
		t.Fatal("halted, while a command may have been read that nobody has counted")
	default:
	}
	s.in.data(from, []byte(emulator.Command("PING"))) // what had been read
	from.reading.Unlock()
	<-halted
	s.answered(c)
}

func TestHalfACommandKeepsItsConnectionWhileClientsAreSentAway(t *testing.T) {
	s := newScene(t, 9, 1800)
	c, from := s.served()
	whole := emulator.Command("PING")
	_, err := io.WriteString(c, whole[:5])
	require.NoError(t, err)
	require.Eventually(t, from.partial.Load, 5*time.Second, time.Millisecond)
	s.in.Drain()
	_, err = io.WriteString(c, whole[5:])
	require.NoError(t, err)
	s.answered(c)
}

func TestBadClientsThatSendMuchAndGoLeaveNothingBehind(t *testing.T) {
	s := newScene(t, 9, 1800)
	for range 5 {
		raw, err := net.Dial("tcp", s.in.Addr())
		require.NoError(t, err)
		raw.(*net.TCPConn).SetLinger(0)
		for range 3 {
			io.WriteString(raw, emulator.Command("PING"))
		}
		for range 3 {
			(<-s.table).From.Answer(transport.Reply{Status: transport.StatusAlive})
		}
		raw.Close()
	}
	require.Eventually(t, func() bool { return s.in.Clients() == 0 }, 5*time.Second, time.Millisecond)
	huge, err := emulator.NewClient(s.in.Addr())
	require.NoError(t, err)
	go io.WriteString(huge, "*2\r\n$99999999\r\n"+string(make([]byte, 1<<20)))
	a := <-s.table
	require.True(t, a.Close)
	require.Contains(t, a.Malformed, resp.ErrSize.Error())
	a.From.Answer(transport.Reply{Status: transport.StatusMalformed, Reason: a.Malformed, Close: true})
	line, err := huge.ReadReply()
	require.NoError(t, err)
	require.Contains(t, line, "over the limit")
}
