package discovery_test

import (
	"fmt"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/dial"
	"spanflow/internal/discovery"
	"spanflow/internal/transcript"
	"spanflow/transport"
)

// listener takes the news of discovery.
type listener struct {
	news chan string
}

func (l listener) EndpointsUpdated(list *transport.EndpointList) {
	l.news <- fmt.Sprint("list ", list.Revision)
}
func (l listener) WatchEnded(string, transport.WatchEnd) { l.news <- "watch ended" }
func (l listener) NoticesUnanswered(string)              { l.news <- "notices lost" }
func (l listener) NoticesAcknowledged(doors []uint64) {
	l.news <- fmt.Sprint("notices answered ", doors)
}
func (l listener) awaits(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		select {
		case got := <-l.news:
			require.Equal(t, w, got)
		case <-time.After(15 * time.Second):
			require.FailNow(t, "nothing came in place of "+w)
		}
	}
}

// discoveryServer is a client of a discovery service and the transcript of what it sends there.
type discoveryServer struct {
	*discovery.Client
	listener
	script transcript.Transcript
	server *transcript.Server
}

func newDiscovery(t *testing.T) *discoveryServer {
	dialer, err := dial.New("test", 8)
	require.NoError(t, err)
	t.Cleanup(dialer.Stop)
	d := &discoveryServer{listener: listener{make(chan string, 9)}, server: transcript.NewServer(t, "127.5.0.2")}
	d.Client = discovery.New(dialer, d.server.Addr, time.Minute, d.listener)
	d.SetAfterFunc(onlyPauses)
	t.Cleanup(d.Stop)
	d.script.Mask(regexp.QuoteMeta(d.server.Addr), "DISCOVERY")
	return d
}

// onlyPauses starts timers of short pauses alone: no answer counts as late, however slow the machine is.
func onlyPauses(wait time.Duration, fire func()) *time.Timer {
	timer := time.AfterFunc(wait, fire)
	if wait > 60*time.Millisecond {
		timer.Stop()
	}
	return timer
}

// next adds the next request to the transcript.
func (d *discoveryServer) next(what string) *transcript.Request {
	request := d.server.Next()
	d.script.Note("%s, on connection %d", what, request.Connection)
	d.script.Bytes("forwarder", request.Raw)
	return request
}

// ended adds the end of a connection to the transcript.
func (d *discoveryServer) ended(why string) {
	d.script.Note("%s: connection %d is closed", why, d.server.Ended())
}

const (
	answerList   = "HTTP/1.1 200 OK\r\n\r\n"
	answer204    = "HTTP/1.1 204 No Content\r\n\r\n"
	answer503    = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
	answerCloses = "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"
)

func TestRequestsForTheEndpointList(t *testing.T) {
	d := newDiscovery(t)
	d.Watch(0)
	first := d.next("nothing is known yet")
	first.Answer(answerList + `{"rev":41,"all":true,"targets":[]}` + "\n" + `{"rev":43,"all":false,"targets":[]}` + "\n")
	d.awaits(t, "list 41", "list 43")
	first.Close()
	d.awaits(t, "watch ended")
	d.ended("the first watch ends")
	d.Watch(43)
	turnedAway := d.next("asked again after an index")
	turnedAway.Answer(answer503)
	d.awaits(t, "watch ended")
	d.ended("the question was turned away")
	d.Watch(9007199254740993)
	d.next("a large index")
	d.Watch(-1)
	d.ended("a new question takes the place of the old one")
	d.next("an index below zero")
	d.Reconfigure(d.server.Addr, 44)
	d.ended("moved to another address")
	d.next("asked again there")
	d.Stop()
	d.ended("stopped")
	d.script.Compare(t, "list.txt")
}

func TestNoticesToThePlatform(t *testing.T) {
	d := newDiscovery(t)
	d.Notify(transport.FinalAnswer{MessageID: 1, ID: "9b1f03aa5c7e2d41", Outcome: transport.Failed})
	failed := d.next("failed")
	for n, notice := range []transport.FinalAnswer{
		{ID: "9b1f03aa5c7e2d42", Outcome: transport.Rejected, RetryAfterMs: 500},
		{ID: "9b1f03aa5c7e2d43", Outcome: transport.Rejected},
		{ID: `a"b\c<d>&e`, Outcome: transport.Failed, RetryAfterMs: 500},
		{ID: "9b1f03aa5c7e2d44", Outcome: transport.Delivered},
	} {
		notice.MessageID = uint64(n + 2)
		d.Notify(notice)
	}
	failed.Answer(answer204)
	d.awaits(t, "notices answered [1]")
	several := d.next("what came meanwhile, on the same connection: returned with and without a time, failed, delivered")
	several.Answer(answerCloses)
	d.awaits(t, "notices answered [2 3 4 5]")
	d.ended("the answer says that it closes")
	d.Notify(transport.FinalAnswer{MessageID: 6, ID: "f", Outcome: transport.Rejected, RetryAfterMs: 1})
	d.next("a new connection").Answer(answer503)
	d.awaits(t, "notices lost")
	d.ended("the notice was turned away")
	again := d.next("sent again on a new connection")
	again.Close()
	d.awaits(t, "notices lost")
	d.ended("that one broke")
	d.next("sent again on a new connection").Answer(answer204)
	d.awaits(t, "notices answered [6]")
	d.Stop()
	d.ended("stopped")
	d.script.Compare(t, "notices.txt")
}
