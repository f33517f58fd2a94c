package respserver

import (
	"spanflow/internal/resp"
	"spanflow/transport"
)

var (
	taken = resp.SimpleString("OK")
	alive = resp.SimpleString("PONG")
)

// line is an answer as it goes over the wire.
func line(r transport.Reply) []byte {
	switch r.Status {
	case transport.StatusAccepted:
		return taken
	case transport.StatusAlive:
		return alive
	case transport.StatusOverloaded:
		return resp.BusyReply(r.RetryAfter)
	case transport.StatusInvalid:
		return resp.ErrorReply("ERR " + r.Reason)
	default:
		return resp.ErrorReply(r.Reason)
	}
}
