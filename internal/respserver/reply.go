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
	switch r.Word {
	case transport.Taken:
		return taken
	case transport.Alive:
		return alive
	case transport.Busy:
		return resp.Busy(r.Wait)
	case transport.Declined:
		return resp.Failure("ERR " + r.Why)
	default:
		return resp.Failure(r.Why)
	}
}
