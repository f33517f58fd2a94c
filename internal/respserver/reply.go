package respserver

import (
	"spanflow/internal/resp"
	"spanflow/transport"
)

var (
	taken = resp.Simple("OK")
	alive = resp.Simple("PONG")
)

// line is an answer as it goes over the wire.
func line(r transport.Reply) []byte {
	switch r.Status {
	case transport.StatusAccepted:
		return taken
	case transport.StatusAlive:
		return alive
	case transport.StatusOverloaded:
		return resp.Busy(r.RetryAfter)
	case transport.StatusInvalid:
		return resp.Failure("ERR " + r.Reason)
	default:
		return resp.Failure(r.Reason)
	}
}
