package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/forwarder"
	"spanflow/internal/emulator"
	"spanflow/internal/transcript"
)

// transcriptConfig is a configuration file with placeholders for the addresses of discovery, of operators, and of the
// endpoint in the last known list.
const transcriptConfig = `{"name":"n1","listen":"127.8.0.2:0","discovery":%q,"seed":"8c1f30d27a5be964","admin":%q,
"limits":{"cores":1,"memory_mb":192,"sockets":256,"disk_mb":3},
"known":{"rev":41,"all":true,"targets":[{"uid":"s1","endpoint":%q,"az":"a","model":"m","pod_group":7,"state":"active"}]},
"settings":{"Azs":["a"],"Kinds":["m"],
"Classes":[{"Name":"order","Idempotency":"fragile","Slo":3000,"HardLimit":24000},
{"Name":"update","Idempotency":"dedup","Group":"all","Sequential":true,"Slo":3000,"HardLimit":24000,"MemorySpan":15000},
{"Name":"status","Idempotency":"retryable","Slo":3000,"HardLimit":20000}],
"Extra":{"CallsOut":1,"KindBatch":[1]},"Guarantees":{"Cold":10000,"ColdFrom":0.17,"FallMultiple":2,"KeyRest":100},
"Limits":{"AttemptsCap":6,"MaxOpen":2,"RetryAfter":true,"MaxRetryAfter":1500,"ConnIdle":10000,"ConnectTimeout":1500},
"Discovery":"ask","NInstances":1}}`

const (
	transcriptList = `{"rev":43,"all":true,"targets":[{"uid":"s1","endpoint":%q,"az":"a","model":"m","pod_group":7,"state":"active"},
{"uid":"s2","endpoint":"127.8.0.4:9","az":"a","model":"m","pod_group":9,"state":"leaving"}]}`
	transcriptOK    = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	transcriptError = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
)

// wireFixture is a forwarder with a transcript of its connections. The test acts as its discovery service and endpoint.
type wireFixture struct {
	t                   *testing.T
	script              transcript.Transcript
	discovery, endpoint *transcript.Server
	listen, admin       string
	client              *emulator.Client
}

func newWireFixture(t *testing.T) *wireFixture {
	w := &wireFixture{
		t:         t,
		discovery: transcript.NewServer(t, "127.8.0.3"),
		endpoint:  transcript.NewServer(t, "127.8.0.4"),
	}
	unused, err := net.Listen("tcp", "127.8.0.5:0")
	require.NoError(t, err)
	w.admin = unused.Addr().String()
	require.NoError(t, unused.Close())
	w.script.Mask(regexp.QuoteMeta(w.discovery.Addr), "DISCOVERY")
	w.script.Mask(regexp.QuoteMeta(w.endpoint.Addr), "ENDPOINT")
	w.script.Mask(`X-Remaining-Ms: \d+`, "X-Remaining-Ms: MS")
	w.script.Mask(`Date: [^\r]*`, "Date: DATE")
	folder := t.TempDir()
	text := fmt.Sprintf(transcriptConfig, w.discovery.Addr, w.admin, w.endpoint.Addr)
	config, err := forwarder.ReadConfig([]byte(text), func(name string) string {
		return map[string]string{"PROXY_STATE": folder}[name]
	})
	require.NoError(t, err)
	var stop func()
	w.listen, stop = startForwarder(t, config, nil, emulator.NewLog())
	t.Cleanup(stop)
	w.connect()
	return w
}

// connect opens a new connection of the client.
func (w *wireFixture) connect() {
	w.t.Helper()
	client, err := emulator.NewClient(w.listen)
	require.NoError(w.t, err)
	w.t.Cleanup(func() { client.Close() })
	w.client = client
}

// sendCommand sends a command and adds it and its answer to the transcript.
func (w *wireFixture) sendCommand(note string, args ...string) {
	w.t.Helper()
	raw := transcript.Command(args...)
	answer, err := w.client.Send(raw)
	require.NoError(w.t, err)
	w.script.Note("%s", note)
	w.script.Bytes("client", []byte(raw))
	w.script.Bytes("forwarder", []byte(answer))
}

// submit submits a message for the endpoint's destination.
func (w *wireFixture) submit(note, id, options string) {
	w.t.Helper()
	w.sendCommand(note, "MSG.PUT", "0000000000000000", id, options, "a body")
}

// nextRequest waits for the next request to a server and adds it to the transcript.
func (w *wireFixture) nextRequest(name string, server *transcript.Server) *transcript.Request {
	w.t.Helper()
	request := server.Next()
	w.script.Note("%s gets a request on connection %d", name, request.Connection)
	w.script.Bytes("forwarder", request.Raw)
	return request
}

// adminAnswer sends a request to the admin address and returns the answer.
func (w *wireFixture) adminAnswer(request string) string {
	w.t.Helper()
	conn, err := net.Dial("tcp", w.admin)
	require.NoError(w.t, err)
	defer conn.Close()
	require.NoError(w.t, conn.SetDeadline(time.Now().Add(15*time.Second)))
	_, err = io.WriteString(conn, request+" HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(w.t, err)
	answer, err := io.ReadAll(conn)
	require.NoError(w.t, err)
	return string(answer)
}

// sendOperatorRequest sends a request to the admin address and adds it and its answer to the transcript.
func (w *wireFixture) sendOperatorRequest(note, request string) {
	w.t.Helper()
	answer := w.adminAnswer(request)
	w.script.Note("%s", note)
	w.script.Line("operator", request)
	w.script.Bytes("forwarder", []byte(answer))
}

// answerList answers a request for the list and waits until the forwarder has applied it.
func (w *wireFixture) answerList(question *transcript.Request) {
	w.t.Helper()
	question.Answer("HTTP/1.1 200 OK\r\n\r\n" + fmt.Sprintf(transcriptList, w.endpoint.Addr) + "\n")
	require.Eventually(w.t, func() bool {
		return strings.Contains(w.adminAnswer("GET /_vars"), "registry_entries:2|g")
	}, 15*time.Second, 5*time.Millisecond)
}

func TestClientTranscript(t *testing.T) {
	w := newWireFixture(t)
	question := w.nextRequest("discovery", w.discovery)
	w.sendCommand("a sign of life", "PING")
	w.submit("a destination that is not listed, before the list has come", "m1", "c=order,d=8000,dest=8")
	w.answerList(question)
	w.submit("a destination that is not listed", "m1", "c=order,d=8000,dest=8")
	w.submit("an unknown class", "m1", "c=other,d=8000,dest=7")
	w.submit("a message without the idempotency key that its class needs", "m1", "c=update,d=8000,dest=7")
	w.submit("no time left", "m1", "c=order,d=0,dest=7")
	w.submit("taken on", "m1", "c=update,d=8000,k=5c0f6e1a2b3d4c59,dest=7,r=1,again=1")
	first := w.nextRequest("the endpoint", w.endpoint)
	w.submit("the same id while the first is out", "m1", "c=update,d=8000,k=5c0f6e1a2b3d4c59,dest=7")
	w.submit("a second", "m2", "c=status,d=8000,dest=7")
	w.script.Note("it is returned, as the backlog is full")
	w.nextRequest("discovery", w.discovery).Answer("HTTP/1.1 204 No Content\r\n\r\n")
	first.Answer(transcriptOK)
	w.submit("the same id once the first is delivered", "m1", "c=update,d=8000,k=5c0f6e1a2b3d4c59,dest=7")
	w.sendCommand("an unknown command", "GET", "x")
	w.sendOperatorRequest("clients are sent away", "POST /_lameduck/on")
	w.connect()
	w.sendCommand("a sign of life while clients are sent away", "PING")
	w.script.Compare(t, "clients.txt")
}

func TestNoticeAndRetryTranscript(t *testing.T) {
	w := newWireFixture(t)
	w.answerList(w.nextRequest("discovery", w.discovery))
	w.submit("a message that may not run twice", "m1", "c=order,d=8000,dest=7")
	broken := w.nextRequest("the endpoint", w.endpoint)
	w.script.Note("its connection breaks")
	broken.Close()
	w.nextRequest("discovery", w.discovery).Answer("HTTP/1.1 204 No Content\r\n\r\n")
	w.submit("a message that may run twice with its idempotency key", "m2", "c=update,d=8000,k=5c0f6e1a2b3d4c59,dest=7")
	w.nextRequest("the endpoint", w.endpoint).Answer(transcriptError)
	w.script.Note("it has answered 500")
	w.nextRequest("the endpoint", w.endpoint).Answer(transcriptOK)
	w.script.Compare(t, "notices.txt")
}

func TestWatchContinuesAfterReceivedRevision(t *testing.T) {
	w := newWireFixture(t)
	question := w.nextRequest("discovery", w.discovery)
	w.answerList(question)
	w.script.Note("discovery has told version 43; the watch ends")
	question.Close()
	w.nextRequest("discovery", w.discovery)
	w.script.Compare(t, "list.txt")
}

func TestOperatorTranscript(t *testing.T) {
	w := newWireFixture(t)
	w.answerList(w.discovery.Next())
	for _, call := range []struct{ note, request string }{
		{"ready", "GET /_ready"},
		{"figures", "GET /_vars"},
		{"detach", "POST /_targets/detach?name=s1"},
		{"detach once more", "POST /_targets/detach?name=s1"},
		{"figures with an endpoint detached", "GET /_vars"},
		{"attach", "POST /_targets/attach?name=s1"},
		{"attach once more", "POST /_targets/attach?name=s1"},
		{"detach an unknown endpoint", "POST /_targets/detach?name=s9"},
		{"attach an unknown endpoint", "POST /_targets/attach?name=s9"},
		{"detach a name that cannot be kept", "POST /_targets/detach?name=a%0Ab"},
		{"attach a name that cannot be kept", "POST /_targets/attach?name=a%0Ab"},
		{"detach without a name", "POST /_targets/detach"},
		{"attach with an empty name", "POST /_targets/attach?name="},
		{"send clients away", "POST /_lameduck/on"},
		{"send clients away once more", "POST /_lameduck/on"},
		{"let clients in", "POST /_lameduck/off"},
		{"an unknown path", "GET /other"},
		{"the root", "GET /"},
		{"another method: ready", "POST /_ready"},
		{"another method: figures", "DELETE /_vars"},
		{"another method: detach", "GET /_targets/detach?name=s1"},
		{"another method: attach", "PUT /_targets/attach?name=s1"},
		{"another method: lameduck on", "GET /_lameduck/on"},
		{"another method: lameduck off", "GET /_lameduck/off"},
	} {
		w.sendOperatorRequest(call.note, call.request)
	}
	w.script.Compare(t, "operators.txt")
}
