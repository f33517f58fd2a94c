package respserver

import (
	"spanflow/internal/resp"
	"spanflow/transport"
)

var (
	replyOK   = resp.SimpleString("OK")
	replyPong = resp.SimpleString("PONG")
)

// encodeReply returns the RESP encoding of a reply.
func encodeReply(r transport.Reply) []byte {
	switch r.Status {
	case transport.StatusAccepted:
		return replyOK
	case transport.StatusAlive:
		return replyPong
	case transport.StatusOverloaded:
		return resp.BusyReply(r.RetryAfter)
	case transport.StatusInvalid:
		return resp.ErrorReply("ERR " + r.Reason)
	default:
		return resp.ErrorReply(r.Reason)
	}
}
