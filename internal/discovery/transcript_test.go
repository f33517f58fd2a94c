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

// listener passes the reports of a client to the test, as text.
type listener struct{ reports chan string }

func (l listener) EndpointsUpdated(list *transport.EndpointList) {
	l.reports <- fmt.Sprint("list ", list.Revision)
}

func (l listener) WatchEnded(string, transport.WatchEnd, time.Time) { l.reports <- "watch ended" }

// expect waits for the given reports, in this order.
func (l listener) expect(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		require.Equal(t, w, peertest.Next(t, l.reports))
	}
}

// recordedClient is a client with an emulated discovery service and a transcript of its requests.
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
	answerList = "HTTP/1.1 200 OK\r\n\r\n"
	answerBusy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
)

func TestRequestsForEndpointList(t *testing.T) {
	c := newRecordedClient(t)
	c.Watch(0)
	first := c.next("nothing is known yet")
	first.Answer(answerList + `{"rev":41,"all":true,"targets":[]}` + "\n" + `{"rev":43,"all":false,"targets":[]}` + "\n")
	c.expect(t, "list 41", "list 43")
	first.Close()
	c.expect(t, "watch ended")
	c.awaitClose("the first watch ends")
	c.Watch(43)
	rejected := c.next("asked again after an index")
	rejected.Answer(answerBusy)
	c.expect(t, "watch ended")
	c.awaitClose("the question was turned away")
	c.Watch(9007199254740993)
	c.next("a large index")
	c.Watch(-1)
	c.awaitClose("a new question takes the place of the old one")
	c.next("an index below zero")
	c.Reconfigure(c.server.Addr, 44)
	c.awaitClose("moved to another address")
	c.next("asked again there")
	c.Stop()
	c.awaitClose("stopped")
	c.script.Compare(t, "list.txt")
}
