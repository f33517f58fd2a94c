package admin_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"spanflow/internal/admin"
	"spanflow/internal/transcript"
)

// scriptedHandler answers requests with the response set by the test.
type scriptedHandler struct {
	ready    atomic.Bool
	response atomic.Pointer[admin.Response] // nil means that no response is sent
}

func (h *scriptedHandler) Ready() bool { return h.ready.Load() }

func (h *scriptedHandler) Handle(_ admin.Request, reply func(admin.Response)) {
	if r := h.response.Load(); r != nil {
		reply(*r)
	}
}

func TestResponsesOfAdminServer(t *testing.T) {
	const vars = "GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n"
	h := &scriptedHandler{}
	server, err := admin.Open("127.7.0.2:0", h)
	require.NoError(t, err)
	t.Cleanup(server.Stop)
	var script transcript.Transcript
	script.Mask(`Date: [^\r]*`, "Date: DATE")
	ask := func(description, request string) {
		conn, err := net.Dial("tcp", server.Addr())
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, conn.SetDeadline(time.Now().Add(15*time.Second)))
		_, err = io.WriteString(conn, request)
		require.NoError(t, err)
		answer, err := io.ReadAll(conn)
		require.NoError(t, err)
		script.Note("%s", description)
		script.Bytes("operator", []byte(request))
		script.Bytes("forwarder", answer)
	}
	ask("not ready", "GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
	ask("the owner does not answer in time", vars)
	for _, c := range []struct {
		description string
		answer      admin.Response
	}{
		{"yes", admin.Response{OK: true, Text: "a line"}},
		{"yes, with several lines", admin.Response{OK: true, Text: "a:1|c\nb:2|g\n"}},
		{"yes, without a text", admin.Response{OK: true}},
		{"no, with a status", admin.Response{Status: 503, Text: "why"}},
		{"no, without a status", admin.Response{Text: "why"}},
	} {
		h.response.Store(&c.answer)
		ask(c.description, vars)
	}
	h.ready.Store(true)
	ask("ready", "GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
	ask("HTTP/1.0", "GET /_ready HTTP/1.0\r\n\r\n")
	ask("a connection that is to be kept is closed", "GET /_ready HTTP/1.1\r\nHost: x\r\nConnection: keep-alive\r\n\r\n")
	ask("HEAD", "HEAD /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
	ask("not HTTP", "what is this\r\n\r\n")
	script.Compare(t, "answers.txt")
}
