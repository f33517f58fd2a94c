package intake

import (
	"spanflow/internal/resp"
	"spanflow/seam"
)

var (
	taken = resp.Simple("OK")
	alive = resp.Simple("PONG")
)

// line is an answer as it goes over the wire.
func line(r seam.Reply) []byte {
	switch r.Word {
	case seam.Taken:
		return taken
	case seam.Alive:
		return alive
	case seam.Busy:
		return resp.Busy(r.Wait)
	case seam.Declined:
		return resp.Failure("ERR " + r.Why)
	default:
		return resp.Failure(r.Why)
	}
}
