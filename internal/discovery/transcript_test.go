package discovery_test

import (
	"fmt"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/dial"
	"spanflow/internal/discovery"
	"spanflow/internal/peertest"
	"spanflow/internal/transcript"
	"spanflow/transport"
)

// listener records what a client reports.
type listener struct{ reports chan string }

func (l listener) EndpointsUpdated(list *transport.EndpointList) {
	l.reports <- fmt.Sprint("list ", list.Revision)
}

func (l listener) WatchEnded(string, transport.WatchEnd) { l.reports <- "watch ended" }

// expect waits for reports in their order.
func (l listener) expect(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		require.Equal(t, w, peertest.Next(t, l.reports))
	}
}

// recordedClient is a client of a discovery service, with the transcript of what it sends.
type recordedClient struct {
	*discovery.Client
	listener
	script transcript.Transcript
	server *transcript.Server
}

func newRecordedClient(t *testing.T) *recordedClient {
	t.Helper()
	dialer, err := dial.New("test", 8)
	require.NoError(t, err)
	t.Cleanup(dialer.Stop)
	c := &recordedClient{listener: listener{make(chan string, 9)}, server: transcript.NewServer(t, "127.5.0.2")}
	c.Client = discovery.New(dialer, c.server.Addr, time.Minute, c.listener)
	c.SetAfterFunc(startShortPauses)
	t.Cleanup(c.Stop)
	c.script.Mask(regexp.QuoteMeta(c.server.Addr), "DISCOVERY")
	return c
}

// startShortPauses starts timers of short pauses alone: no answer counts as late, however slow the machine is.
func startShortPauses(wait time.Duration, fire func()) *time.Timer {
	timer := time.AfterFunc(wait, fire)
	if wait > 60*time.Millisecond {
		timer.Stop()
	}
	return timer
}

// next adds the next request to the transcript.
func (c *recordedClient) next(comment string) *transcript.Request {
	request := c.server.Next()
	c.script.Note("%s, on connection %d", comment, request.Connection)
	c.script.Bytes("forwarder", request.Raw)
	return request
}

// ended adds the end of a connection to the transcript.
func (c *recordedClient) ended(reason string) {
	c.script.Note("%s: connection %d is closed", reason, c.server.Ended())
}

const (
	answerList = "HTTP/1.1 200 OK\r\n\r\n"
	answerBusy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
)

func TestRequestsForTheEndpointList(t *testing.T) {
	c := newRecordedClient(t)
	c.Watch(0)
	first := c.next("nothing is known yet")
	first.Answer(answerList + `{"rev":41,"all":true,"targets":[]}` + "\n" + `{"rev":43,"all":false,"targets":[]}` + "\n")
	c.expect(t, "list 41", "list 43")
	first.Close()
	c.expect(t, "watch ended")
	c.ended("the first watch ends")
	c.Watch(43)
	turnedAway := c.next("asked again after an index")
	turnedAway.Answer(answerBusy)
	c.expect(t, "watch ended")
	c.ended("the question was turned away")
	c.Watch(9007199254740993)
	c.next("a large index")
	c.Watch(-1)
	c.ended("a new question takes the place of the old one")
	c.next("an index below zero")
	c.Reconfigure(c.server.Addr, 44)
	c.ended("moved to another address")
	c.next("asked again there")
	c.Stop()
	c.ended("stopped")
	c.script.Compare(t, "list.txt")
}
