package transcript

import (
	"regexp"
	"testing"
)

// Recording is a transcript of the requests that a client sends to an emulated server.
type Recording struct {
	Transcript
	Server *Server
}

// NewRecording starts a server on a free port of a host. The transcript has name in place of its address.
func NewRecording(tb testing.TB, host, name string) *Recording {
	r := &Recording{Server: NewServer(tb, host)}
	r.Mask(regexp.QuoteMeta(r.Server.Addr), name)
	return r
}

// Next returns the next request and adds it to the transcript.
func (r *Recording) Next(comment string) *Request {
	request := r.Server.Next()
	r.Note("%s, on connection %d", comment, request.Connection)
	r.Bytes("forwarder", request.Raw)
	return request
}

// AwaitClose waits for the end of a connection and adds it to the transcript.
func (r *Recording) AwaitClose(reason string) {
	r.Note("%s: connection %d is closed", reason, r.Server.Ended())
}
