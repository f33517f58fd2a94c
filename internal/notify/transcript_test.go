package notify_test

import (
	"fmt"
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
type listener struct{ reports peertest.Reports }

func (l listener) NoticesUnanswered(string) { l.reports <- "notices unanswered" }

func (l listener) NoticesAcknowledged(ids []uint64) {
	l.reports <- fmt.Sprint("notices acknowledged ", ids)
}

// recordedClient is a client with an emulated receiver of notices and a transcript of its requests.
type recordedClient struct {
	*notify.Client
	*transcript.Recording
	reports peertest.Reports
}

func newRecordedClient(t *testing.T) *recordedClient {
	t.Helper()
	dialer, err := dial.New("test", 8)
	require.NoError(t, err)
	t.Cleanup(dialer.Stop)
	c := &recordedClient{Recording: transcript.NewRecording(t, "127.5.0.4", "DISCOVERY"), reports: peertest.NewReports()}
	c.Client = notify.New(dialer, c.Server.Addr, time.Minute, listener{c.reports})
	c.SetAfterFunc(peertest.StartOnlyShortTimers)
	t.Cleanup(c.Stop)
	return c
}

const (
	answerNoContent = "HTTP/1.1 204 No Content\r\n\r\n"
	answerCloses    = "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"
	answerBusy      = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
)

func TestRequestsWithNotices(t *testing.T) {
	c := newRecordedClient(t)
	c.Notify(transport.FinalAnswer{MessageID: 1, ID: "9b1f03aa5c7e2d41", Outcome: transport.Failed})
	failed := c.Next("failed")
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
	c.reports.Expect(t, "notices acknowledged [1]")
	c.AwaitClose("acknowledged")
	several := c.Next("what came meanwhile: returned with and without a time, failed, delivered")
	several.Answer(answerCloses)
	c.reports.Expect(t, "notices acknowledged [2 3 4 5]")
	c.AwaitClose("acknowledged, with the word that the connection closes")
	c.Notify(transport.FinalAnswer{MessageID: 6, ID: "f", Outcome: transport.Rejected, RetryAfterMs: 1})
	c.Next("a new connection").Answer(answerBusy)
	c.reports.Expect(t, "notices unanswered")
	c.AwaitClose("the notice was turned away")
	again := c.Next("sent again on a new connection")
	again.Close()
	c.reports.Expect(t, "notices unanswered")
	c.AwaitClose("that one broke")
	c.Next("sent again on a new connection").Answer(answerNoContent)
	c.reports.Expect(t, "notices acknowledged [6]")
	c.AwaitClose("acknowledged")
	c.Notify(transport.FinalAnswer{MessageID: 7, ID: "g", Outcome: transport.Failed})
	c.Next("not answered")
	c.Stop()
	c.AwaitClose("stopped")
	c.Compare(t, "notices.txt")
}
