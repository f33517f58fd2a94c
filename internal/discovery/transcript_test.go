package discovery_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/dial"
	"spanflow/internal/discovery"
	"spanflow/internal/peertest"
	"spanflow/internal/transcript"
	"spanflow/transport"
)

// listener passes the reports of a client to the test, as text.
type listener struct{ reports peertest.Reports }

func (l listener) EndpointsUpdated(list *transport.EndpointList) {
	l.reports <- fmt.Sprint("list ", list.Revision)
}

func (l listener) WatchEnded(string, transport.WatchEnd, time.Time) { l.reports <- "watch ended" }

// recordedClient is a client with an emulated discovery service and a transcript of its requests.
type recordedClient struct {
	*discovery.Client
	*transcript.Recording
	reports peertest.Reports
}

func newRecordedClient(t *testing.T) *recordedClient {
	t.Helper()
	dialer, err := dial.New("test", 8)
	require.NoError(t, err)
	t.Cleanup(dialer.Stop)
	c := &recordedClient{Recording: transcript.NewRecording(t, "127.5.0.2", "DISCOVERY"), reports: peertest.NewReports()}
	c.Client = discovery.New(dialer, c.Server.Addr, time.Minute, listener{c.reports})
	c.SetAfterFunc(peertest.StartOnlyShortTimers)
	t.Cleanup(c.Stop)
	return c
}

const (
	answerList = "HTTP/1.1 200 OK\r\n\r\n"
	answerBusy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
)

func TestRequestsForEndpointList(t *testing.T) {
	c := newRecordedClient(t)
	c.Watch(0)
	first := c.Next("nothing is known yet")
	first.Answer(answerList + `{"rev":41,"all":true,"targets":[]}` + "\n" + `{"rev":43,"all":false,"targets":[]}` + "\n")
	c.reports.Expect(t, "list 41", "list 43")
	first.Close()
	c.reports.Expect(t, "watch ended")
	c.AwaitClose("the first watch ends")
	c.Watch(43)
	rejected := c.Next("asked again after an index")
	rejected.Answer(answerBusy)
	c.reports.Expect(t, "watch ended")
	c.AwaitClose("the question was turned away")
	c.Watch(9007199254740993)
	c.Next("a large index")
	c.Watch(-1)
	c.AwaitClose("a new question takes the place of the old one")
	c.Next("an index below zero")
	c.Reconfigure(c.Server.Addr, 44)
	c.AwaitClose("moved to another address")
	c.Next("asked again there")
	c.Stop()
	c.AwaitClose("stopped")
	c.Compare(t, "list.txt")
}
