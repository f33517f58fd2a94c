package notify_test

import (
	"fmt"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/dial"
	"spanflow/internal/notify"
	"spanflow/internal/peertest"
	"spanflow/internal/transcript"
	"spanflow/transport"
)

// listener passes the reports of a client to the test, as text.
type listener struct{ reports chan string }

func (l listener) NoticesUnanswered(string) { l.reports <- "notices unanswered" }

func (l listener) NoticesAcknowledged(ids []uint64) {
	l.reports <- fmt.Sprint("notices acknowledged ", ids)
}

// expect waits for the given reports, in this order.
func (l listener) expect(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		require.Equal(t, w, peertest.Next(t, l.reports))
	}
}

// recordedClient is a client with an emulated receiver of notices and a transcript of its requests.
type recordedClient struct {
	*notify.Client
	listener
	script transcript.Transcript
	server *transcript.Server
}

func newRecordedClient(t *testing.T) *recordedClient {
	t.Helper()
	dialer, err := dial.New("test", 8)
	require.NoError(t, err)
	t.Cleanup(dialer.Stop)
	c := &recordedClient{listener: listener{make(chan string, 9)}, server: transcript.NewServer(t, "127.5.0.4")}
	c.Client = notify.New(dialer, c.server.Addr, time.Minute, c.listener)
	c.SetAfterFunc(startOnlyShortTimers)
	t.Cleanup(c.Stop)
	c.script.Mask(regexp.QuoteMeta(c.server.Addr), "DISCOVERY")
	return c
}

// startOnlyShortTimers replaces time.AfterFunc. Timers longer than 60 ms never fire, so that no answer times out on a
// slow machine.
func startOnlyShortTimers(wait time.Duration, fire func()) *time.Timer {
	timer := time.AfterFunc(wait, fire)
	if wait > 60*time.Millisecond {
		timer.Stop()
	}
	return timer
}

// next returns the next request and adds it to the transcript.
func (c *recordedClient) next(comment string) *transcript.Request {
	request := c.server.Next()
	c.script.Note("%s, on connection %d", comment, request.Connection)
	c.script.Bytes("forwarder", request.Raw)
	return request
}

// awaitClose waits for the end of a connection and adds it to the transcript.
func (c *recordedClient) awaitClose(reason string) {
	c.script.Note("%s: connection %d is closed", reason, c.server.Ended())
}

const (
	answerNoContent = "HTTP/1.1 204 No Content\r\n\r\n"
	answerCloses    = "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"
	answerBusy      = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
)

func TestRequestsWithNotices(t *testing.T) {
	c := newRecordedClient(t)
	c.Notify(transport.FinalAnswer{MessageID: 1, ID: "9b1f03aa5c7e2d41", Outcome: transport.Failed})
	failed := c.next("failed")
	for n, notice := range []transport.FinalAnswer{
		{ID: "9b1f03aa5c7e2d42", Outcome: transport.Rejected, RetryAfterMs: 500},
		{ID: "9b1f03aa5c7e2d43", Outcome: transport.Rejected},
		{ID: `a"b\c<d>&e`, Outcome: transport.Failed, RetryAfterMs: 500},
		{ID: "9b1f03aa5c7e2d44", Outcome: transport.Delivered},
	} {
		notice.MessageID = uint64(n + 2)
		c.Notify(notice)
	}
	failed.Answer(answerNoContent)
	c.expect(t, "notices acknowledged [1]")
	c.awaitClose("acknowledged")
	several := c.next("what came meanwhile: returned with and without a time, failed, delivered")
	several.Answer(answerCloses)
	c.expect(t, "notices acknowledged [2 3 4 5]")
	c.awaitClose("acknowledged, with the word that the connection closes")
	c.Notify(transport.FinalAnswer{MessageID: 6, ID: "f", Outcome: transport.Rejected, RetryAfterMs: 1})
	c.next("a new connection").Answer(answerBusy)
	c.expect(t, "notices unanswered")
	c.awaitClose("the notice was turned away")
	again := c.next("sent again on a new connection")
	again.Close()
	c.expect(t, "notices unanswered")
	c.awaitClose("that one broke")
	c.next("sent again on a new connection").Answer(answerNoContent)
	c.expect(t, "notices acknowledged [6]")
	c.awaitClose("acknowledged")
	c.Notify(transport.FinalAnswer{MessageID: 7, ID: "g", Outcome: transport.Failed})
	c.next("not answered")
	c.Stop()
	c.awaitClose("stopped")
	c.script.Compare(t, "notices.txt")
}
