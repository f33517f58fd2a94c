package upstream_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/dial"
	"spanflow/internal/transcript"
	"spanflow/internal/upstream"
	"spanflow/transport"
)

// results receives the results of calls.
type results chan transport.CallResult

func (r results) CallEnded(e transport.CallResult) { r <- e }

const (
	answer200      = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	answer200Close = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	answer200Old   = "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"
	answerPartial  = "HTTP/1.1 503 Full\r\nContent-Length: 9\r\n\r\nx"
)

var timeLeft = regexp.MustCompile(`X-Remaining-Ms: (\d+)\r\n`)

// endpoint is an emulated endpoint with an upstream client that calls it. It records the client's requests in a
// transcript.
type endpoint struct {
	t       *testing.T
	script  transcript.Transcript
	server  *transcript.Server
	client  *upstream.Client
	results results
}

func newEndpoint(t *testing.T) *endpoint {
	dialer, err := dial.New("test", 8)
	require.NoError(t, err)
	t.Cleanup(dialer.Stop)
	e := &endpoint{t: t, server: transcript.NewServer(t, "127.4.0.2"), results: make(results, 9)}
	e.client = upstream.New(dialer, e.results, upstream.Settings{ConnectTimeout: time.Minute})
	e.script.Mask(regexp.QuoteMeta(e.server.Addr), "ENDPOINT")
	return e
}

// call sends one call and returns the request that the endpoint receives.
func (e *endpoint) call(description string, timeout time.Duration, messages ...transport.Message) *transcript.Request {
	e.t.Helper()
	e.script.Note("%s", description)
	sent := time.Now()
	e.client.Send(&transport.Call{EndpointID: 1, Address: e.server.Addr, Messages: messages, Timeout: timeout})
	request := e.server.Next()
	e.requireTimeLeft(request, timeout, time.Since(sent))
	e.script.Note("on connection %d", request.Connection)
	return request
}

// requireTimeLeft requires that a request tells what is left of its timeout after at most the given time, and replaces that by
// the timeout, which does not depend on the time that the connection took.
func (e *endpoint) requireTimeLeft(request *transcript.Request, timeout, passed time.Duration) {
	e.t.Helper()
	match := timeLeft.FindSubmatch(request.Raw)
	require.NotNil(e.t, match)
	told, err := strconv.ParseInt(string(match[1]), 10, 64)
	require.NoError(e.t, err)
	require.LessOrEqual(e.t, told, timeout.Milliseconds())
	require.GreaterOrEqual(e.t, told, (timeout - passed).Milliseconds())
	request.Raw = timeLeft.ReplaceAll(request.Raw, fmt.Appendf(nil, "X-Remaining-Ms: %d\r\n", timeout.Milliseconds()))
}

// answer answers a request and waits until its call has ended.
func (e *endpoint) answer(request *transcript.Request, raw string) {
	e.t.Helper()
	e.script.Bytes("upstream", request.Raw)
	request.Answer(raw)
	<-e.results
	e.awaitClose(request)
}

// awaitClose waits until the client closes the request's connection.
func (e *endpoint) awaitClose(request *transcript.Request) {
	e.t.Helper()
	ended := e.server.Ended()
	require.Equal(e.t, request.Connection, ended)
	e.script.Note("connection %d is closed", ended)
}

func TestRequestsToEndpoint(t *testing.T) {
	e := newEndpoint(t)
	body := []byte("a body\r\nof any bytes \x00\xff\n")
	e.answer(e.call("one message with an idempotency key", 1500*time.Millisecond,
		transport.Message{ID: "9b1f03aa5c7e2d41", IdempotencyKey: "5c0f6e1a2b3d4c59", Body: body}), answer200)
	e.answer(e.call("without a key; the time left in whole milliseconds", 1234567*time.Microsecond,
		transport.Message{ID: "9b1f03aa5c7e2d42", Body: body}), answer200)
	e.answer(e.call("without a body", time.Hour, transport.Message{ID: "9b1f03aa5c7e2d43"}), answer200)
	e.answer(e.call("a batch: with a key, without, without a body", 2*time.Second,
		transport.Message{ID: "9b1f03aa5c7e2d44", IdempotencyKey: "5c0f", Body: body},
		transport.Message{ID: "9b1f03aa5c7e2d45", Body: []byte("hello")},
		transport.Message{ID: "9b1f03aa5c7e2d46"}), answer200)
	e.answer(e.call("a batch whose ids and keys hold marks of JSON", 2*time.Second,
		transport.Message{ID: `a"b\c<d>&e`, IdempotencyKey: `"\<>&`}, transport.Message{ID: "f"}), answer200)
	e.answer(e.call("the same message once more, in a call of its own: id and key again", 1500*time.Millisecond,
		transport.Message{ID: "9b1f03aa5c7e2d41", IdempotencyKey: "5c0f6e1a2b3d4c59", Body: body}), answer200)
	largest := bytes.Repeat([]byte("0123456789abcdef"), 4096)
	large := e.call("the largest body, after its head", time.Minute, transport.Message{ID: "large", Body: largest})
	head, rest, _ := bytes.Cut(large.Raw, []byte("\r\n\r\n"))
	require.Len(t, rest, 64<<10)
	e.script.Note("%x is the body's SHA-256", sha256.Sum256(rest))
	large.Raw = append(head, "\r\n\r\n"...)
	e.answer(large, answer200)
	e.script.Compare(t, "requests.txt")
}

func TestConnectionsEndWithTheirCalls(t *testing.T) {
	e := newEndpoint(t)
	message := transport.Message{ID: "a", Body: []byte("b")}
	e.answer(e.call("a first call", time.Minute, message), answer200)
	e.answer(e.call("the answer says that it closes", time.Minute, message), answer200Close)
	e.answer(e.call("the answer is of HTTP/1.0", time.Minute, message), answer200Old)
	e.answer(e.call("an answer that cannot be read", time.Minute, message), "what is this\r\n")
	e.answer(e.call("an answer that stops within its body: the time is over", 300*time.Millisecond, message), answerPartial)
	e.answer(e.call("no answer: the time is over", 300*time.Millisecond, message), "")
	e.answer(e.call("two answers", time.Minute, message), answer200+answer200)
	e.answer(e.call("a last call", time.Minute, message), answer200)
	e.script.Compare(t, "connections.txt")
}
