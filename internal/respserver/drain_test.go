package respserver

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/emulator"
	"spanflow/transport"
)

const (
	drainBound    = 4 * time.Second       // within which a drained connection has to be closed
	drainInterval = 50 * time.Millisecond // between two writes of a client

	delayedAcknowledgement = 50 * time.Millisecond // longer than the kernel delays the acknowledgement of what was received
)

// countingAnswerer is a transport.Submitter that answers all requests after a while, and counts them.
type countingAnswerer struct {
	delay    time.Duration
	commands atomic.Int32
}

func (a *countingAnswerer) Submit(r transport.Request) {
	if r.Malformed == "" {
		a.commands.Add(1)
	}
	reply := transport.Reply{Status: transport.StatusAlive, Close: r.Close}
	if r.Malformed != "" {
		reply.Status, reply.Reason = transport.StatusMalformed, r.Malformed
	}
	time.AfterFunc(a.delay, func() { r.From.Answer(reply) })
}
func (*countingAnswerer) Withdraw(string)        {}
func (*countingAnswerer) ConnectionReset(uint64) {}

// pipeline writes pieces of endless commands until the connection ends or until end is closed.
func pipeline(conn net.Conn, piece func(n int) string, end <-chan struct{}) {
	for n := 0; ; n++ {
		if _, err := io.WriteString(conn, piece(n)); err != nil {
			return
		}
		select {
		case <-end:
			return
		case <-time.After(drainInterval):
		}
	}
}

// countReplies reads replies until the connection ends, and returns their number and when it ended.
func countReplies(conn net.Conn) (replies int, endedAt time.Time, err error) {
	buffer := make([]byte, 4096)
	for {
		n, err := conn.Read(buffer)
		replies += strings.Count(string(buffer[:n]), "\r\n")
		if err != nil {
			return replies, time.Now(), err
		}
	}
}

// Guards against review case 8: a client that sent several commands at once, each time with the beginning of the next one,
// kept its connection for as long as it went on, and all its messages were accepted.
func TestDrainClosesConnectionsOfPipeliningClients(t *testing.T) {
	ping := emulator.Command("PING")
	large := "*1\r\n$40000\r\n" + strings.Repeat("x", 40000) + "\r\n"
	for name, piece := range map[string]func(n int) string{
		"cut within a command":          func(n int) string { return cutCommands(ping, n, 3) },
		"cut within a large command":    func(n int) string { return cutCommands(large, n, 1) },
		"whole commands":                func(int) string { return strings.Repeat(ping, 3) },
		"a flood of whole commands":     func(int) string { return strings.Repeat(ping, 3000) },
		"a flood cut within a command":  func(n int) string { return cutCommands(ping, n, 3000) },
		"one byte at a time":            func(n int) string { return ping[n%len(ping) : n%len(ping)+1] },
		"a command that never goes on":  func(n int) string { return map[bool]string{true: ping + ping[:5]}[n == 0] },
		"a command that crawls forever": func(n int) string { return map[bool]string{true: ping + large[:20], false: "x"}[n == 0] },
	} {
		for _, delay := range []time.Duration{0, 30 * time.Millisecond} {
			t.Run(fmt.Sprint(name, ", answered after ", delay), func(t *testing.T) {
				t.Parallel()
				answerer := &countingAnswerer{delay: delay}
				limits := Limits{Soft: 9, Hard: 9, Timeouts: Timeouts{FirstCommand: 2.7, Idle: 1800}}
				server, err := Open("127.6.0.1:0", limits, answerer)
				require.NoError(t, err)
				defer server.Stop()
				conn, err := net.Dial("tcp", server.Addr())
				require.NoError(t, err)
				defer conn.Close()
				end := make(chan struct{})
				defer close(end)
				go pipeline(conn, piece, end)
				time.AfterFunc(500*time.Millisecond, server.Drain)
				drainedAt := time.Now().Add(500 * time.Millisecond)
				require.NoError(t, conn.SetReadDeadline(drainedAt.Add(drainBound+time.Second)))
				replies, endedAt, err := countReplies(conn)
				require.True(t, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), "%v", err)
				require.Less(t, endedAt.Sub(drainedAt), drainBound)
				require.GreaterOrEqual(t, replies, int(answerer.commands.Load()), "each command that was read is answered")
			})
		}
	}
}

// cutCommands returns the n-th piece of a stream of equal commands. Each piece has a number of commands in all, and ends
// within one.
func cutCommands(command string, n, commands int) string {
	cut := 1 + n%(len(command)-1)
	previous := 0
	if n > 0 {
		previous = 1 + (n-1)%(len(command)-1)
	}
	return command[previous:] + strings.Repeat(command, commands-1) + command[:cut]
}

// A connection that is opened while the server drains gets an answer to its first command, however long the drain has
// lasted: the clients' load balancer asks by PING.
func TestConnectionsOpenedDuringDrainAreAnswered(t *testing.T) {
	f := newFixture(t, 9, 1800)
	f.server.Drain()
	f.server.mu.Lock()
	f.server.drainingSince = time.Now().Add(-time.Hour)
	f.server.mu.Unlock()
	c, err := emulator.NewClient(f.server.Addr())
	require.NoError(t, err)
	time.Sleep(3 * sweepInterval)
	ping := emulator.Command("PING")
	for _, part := range []string{ping[:5], ping[5:]} {
		_, err = io.WriteString(c, part)
		require.NoError(t, err)
		time.Sleep(sweepInterval)
	}
	f.answerPing(c)
	_, err = c.ReadReply()
	require.ErrorIs(t, err, io.EOF)
}

// The end of draining keeps the connections that have not been closed.
func TestUndrainKeepsConnectionsThatAreStillOpen(t *testing.T) {
	f := newFixture(t, 9, 1800)
	c, _, rest := f.connectWithPartialPing()
	ping := emulator.Command("PING")
	f.server.Drain()
	f.server.Undrain()
	for _, piece := range []string{rest + ping[:3], ping[3:]} {
		_, err := io.WriteString(c, piece)
		require.NoError(t, err)
		f.answerPing(c)
	}
	f.server.sweep(time.Now().Add(time.Minute))
	require.Equal(t, 1, f.server.Clients())
}

// Guards against a command that is closed on without an answer although its last byte had arrived: its first part was read
// before.
func TestStopReadingCompletesCommandInProgress(t *testing.T) {
	f := newFixture(t, 9, 1800)
	c, from, rest := f.connectWithPartialPing()
	ping := emulator.Command("PING")
	from.reading.Lock() // blocks the reader
	_, err := io.WriteString(c, rest+ping+ping[:5])
	require.NoError(t, err)
	emulator.AwaitBlockedOnLock(t, "respserver.(*Server).read(")
	stopped := f.stopReading()
	from.reading.Unlock()
	<-stopped
	f.answerPing(c)
	time.Sleep(sweepInterval)
	require.Empty(t, f.requests, "the next command was not read; its client sends it again")
}

// Guards against replies that are discarded because their client reads them late.
func TestDrainLeavesTimeToReadReplies(t *testing.T) {
	f := newFixture(t, 9, 1800)
	c, from := f.connect()
	from.unsent.Add(1) // the socket has not accepted all of the reply
	f.server.Drain()
	f.server.sweep(time.Now())
	require.Equal(t, 1, f.server.Clients())
	from.unsent.Add(-1)
	f.server.sweep(time.Now())
	_, err := c.ReadReply()
	require.ErrorIs(t, err, io.EOF)
}

// writeUnacknowledged writes to a client that does not read until some of it is not acknowledged, while a command of the
// client is unread. It returns the number of bytes.
func (f *fixture) writeUnacknowledged(c *emulator.Client, from *Client) (bytes int) {
	reply := []byte(strings.Repeat("x", 128<<10))
	f.server.StopReading()
	_, err := io.WriteString(c, emulator.Command("PING"))
	require.NoError(f.t, err)
	for !from.closeDiscardsReplies() {
		require.NoError(f.t, from.write(reply))
		bytes += len(reply)
		time.Sleep(delayedAcknowledgement)
	}
	require.Zero(f.t, from.unsent.Load(), "the socket has accepted all")
	return bytes
}

// Guards against replies that the kernel discards with a close over unread bytes: they were written, and the client had not
// received them.
func TestConnectionIsNotClosedBeforeRepliesAreReceived(t *testing.T) {
	for name, end := range map[string]func(f *fixture, from *Client){
		"drained": func(f *fixture, _ *Client) { f.server.Drain() },
		"drained, at a boundary": func(f *fixture, from *Client) {
			f.server.Drain()
			from.finish()
		},
		"idle":    func(_ *fixture, from *Client) { from.closeIfIdle() },
		"evicted": func(_ *fixture, from *Client) { from.evicted.Store(true); from.closeEvicted() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 9, 1800)
			c, from := f.connect()
			written := f.writeUnacknowledged(c, from)
			end(f, from)
			time.Sleep(closeDelay / 2)
			received, err := io.Copy(io.Discard, io.LimitReader(c, int64(written)))
			require.NoError(t, err)
			require.EqualValues(t, written, received)
			from.closeIfIdle()
			require.Eventually(t, func() bool { return f.server.Clients() == 0 }, 5*time.Second, time.Millisecond)
		})
	}
}

// A client that does not read its replies is closed on all the same, at the end of the drain.
func TestClientThatDoesNotReadItsRepliesIsClosedAtTheEndOfTheDrain(t *testing.T) {
	f := newFixture(t, 9, 1800)
	c, from := f.connect()
	f.writeUnacknowledged(c, from)
	began := time.Now()
	f.server.Drain()
	require.Eventually(t, func() bool { return f.server.Clients() == 0 }, drainBound, time.Millisecond)
	require.GreaterOrEqual(t, time.Since(began), drainLimit)
}
