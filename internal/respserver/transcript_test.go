package respserver_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/respserver"
	"spanflow/internal/transcript"
	"spanflow/transport"
)

// submitter gives each request the next answer of the test, and malformed ones their reason.
type submitter chan transport.Reply

func (s submitter) Withdraw(string) {}

func (s submitter) Submit(request transport.Request) {
	if request.Malformed != "" {
		reply := transport.Reply{Status: transport.StatusMalformed, Reason: request.Malformed, Close: request.Close}
		request.From.Answer(reply)
		return
	}
	request.From.Answer(<-s)
}

const ping = "*1\r\n$4\r\nPING\r\n"

// clients is the transcript of what clients send and are answered.
type clients struct {
	t         *testing.T
	submitter submitter
	addr      string
	script    transcript.Transcript
}

func newClients(t *testing.T, timeouts respserver.Timeouts) *clients {
	c := &clients{t: t, submitter: make(submitter, 9)}
	server, err := respserver.Open("127.6.0.2:0", 20, 24, timeouts, c.submitter)
	require.NoError(t, err)
	t.Cleanup(server.Stop)
	c.addr = server.Addr()
	return c
}

// sends opens a connection and sends bytes on it.
func (c *clients) sends(raw string) net.Conn {
	c.t.Helper()
	conn, err := net.Dial("tcp", c.addr)
	require.NoError(c.t, err)
	c.t.Cleanup(func() { conn.Close() })
	require.NoError(c.t, conn.SetDeadline(time.Now().Add(15*time.Second)))
	_, err = io.WriteString(conn, raw)
	require.NoError(c.t, err)
	return conn
}

const maxShownBytes = 400 // bytes of a request that stand in the transcript

// note adds what a client has sent to the transcript.
func (c *clients) note(what, raw string) {
	c.script.Note("%s", what)
	if len(raw) > maxShownBytes {
		c.script.Note("%d bytes, of which the first %d", len(raw), maxShownBytes)
		raw = raw[:maxShownBytes]
	}
	c.script.Bytes("client", []byte(raw))
}

// asks sends bytes on a connection of their own and adds the answer.
func (c *clients) asks(what, raw string) {
	c.t.Helper()
	conn := c.sends(raw)
	c.note(what, raw)
	answer := make([]byte, 4096)
	n, err := conn.Read(answer)
	require.NoError(c.t, err)
	c.script.Bytes("forwarder", answer[:n])
	conn.Close()
}

// isClosed adds all that comes on a connection until the forwarder closes it.
func (c *clients) isClosed(conn net.Conn, what, raw string) {
	c.t.Helper()
	c.note(what, raw)
	answer, err := io.ReadAll(conn)
	require.NoError(c.t, err)
	c.script.Bytes("forwarder", answer)
	c.script.Note("the connection is closed")
}

func TestAnswersToClients(t *testing.T) {
	c := newClients(t, respserver.Timeouts{FirstCommand: 60, Idle: 60})
	for _, reply := range []struct {
		what  string
		reply transport.Reply
	}{
		{"taken on", transport.Reply{Status: transport.StatusAccepted}},
		{"alive", transport.Reply{Status: transport.StatusAlive}},
		{"busy", transport.Reply{Status: transport.StatusOverloaded}},
		{"busy, with a time", transport.Reply{Status: transport.StatusOverloaded, RetryAfter: 250}},
		{"busy, with the longest time", transport.Reply{Status: transport.StatusOverloaded, RetryAfter: 9_999_999}},
		{"declined", transport.Reply{Status: transport.StatusInvalid, Reason: "the reason"}},
		{"malformed", transport.Reply{Status: transport.StatusMalformed, Reason: "ERR the reason"}},
	} {
		c.submitter <- reply.reply
		c.asks(reply.what, ping)
	}
	c.submitter <- transport.Reply{Status: transport.StatusMalformed, Reason: "ERR the reason", Close: true}
	c.isClosed(c.sends(ping), "malformed, and the connection ends", ping)
	c.script.Compare(t, "answers.txt")
}

func TestAnswersToWhatCannotBeUnderstood(t *testing.T) {
	c := newClients(t, respserver.Timeouts{FirstCommand: 60, Idle: 60})
	cases := []struct{ what, raw string }{
		{"an inline command", "PING\r\n"},
		{"an array of nothing", "*0\r\n"},
		{"a string that is null", "*1\r\n$-1\r\n"},
		{"a number that is none", "*x\r\n"},
		{"a line's end without its carriage return", "*1\n"},
		{"a string that goes on beyond its length", "*1\r\n$4\r\nPINGS\r\n"},
		{"too many words", "*17\r\n"},
		{"a word over the limit", "*2\r\n$4\r\nPING\r\n$69633\r\n"},
	}
	var conns []net.Conn // all at once: each is kept open for a while after its answer
	for _, sent := range cases {
		conns = append(conns, c.sends(sent.raw))
	}
	for i, sent := range cases {
		c.isClosed(conns[i], sent.what, sent.raw)
	}
	c.script.Compare(t, "framing.txt")
}

func TestAnswersToCommandsThatAreNotCarriedOut(t *testing.T) {
	c := newClients(t, respserver.Timeouts{FirstCommand: 60, Idle: 60})
	const options = "c=notice,d=8000,dest=7"
	for _, command := range []struct {
		what string
		args []string
	}{
		{"an unknown command", []string{"GET", "x"}},
		{"too few words", []string{"MSG.PUT", "0", "a", options}},
		{"too many words", []string{"MSG.PUT", "0", "a", options, "body", "more"}},
		{"no id", []string{"MSG.PUT", "0", "", options, ""}},
		{"an id over the limit", []string{"MSG.PUT", "0", strings.Repeat("i", 129), options, ""}},
		{"an id with a space", []string{"msg.put", "0", "a b", options, ""}},
		{"a key that is no number", []string{"MSG.PUT", "key", "a", options, ""}},
		{"a key that is too large", []string{"MSG.PUT", "10000000000000000", "a", options, ""}},
		{"no time", []string{"MSG.PUT", "0", "a", "c=notice,dest=7", ""}},
		{"no destination", []string{"MSG.PUT", "0", "a", "c=notice,d=8000", ""}},
		{"a time that is no number", []string{"MSG.PUT", "0", "a", "c=notice,d=1e3,dest=7", ""}},
		{"a time below zero", []string{"MSG.PUT", "0", "a", "c=notice,d=-1,dest=7", ""}},
		{"a time over the limit", []string{"MSG.PUT", "0", "a", "c=notice,d=86400000,dest=7", ""}},
		{"a destination that is no number", []string{"MSG.PUT", "0", "a", "c=notice,d=8000,dest=-7", ""}},
		{"an idempotency key with a control character", []string{"MSG.PUT", "0", "a", options + ",k=x\ny", ""}},
		{"an idempotency key over the limit", []string{"MSG.PUT", "0", "a", options + ",k=" + strings.Repeat("k", 129), ""}},
		{"a body over the limit", []string{"MSG.PUT", "0", "a", options, strings.Repeat("x", 64<<10+1)}},
	} {
		c.asks(command.what, transcript.Command(command.args...))
	}
	c.script.Compare(t, "commands.txt")
}

func TestAnswerToACommandThatDoesNotGoOn(t *testing.T) {
	c := newClients(t, respserver.Timeouts{FirstCommand: 0.3, Idle: 60})
	c.isClosed(c.sends(ping[:9]), "half a command", ping[:9])
	c.script.Compare(t, "unfinished.txt")
}
