package transport

import "spanflow/scheduler"

// ResultCode is how a call ended for one of its messages: by an answer, or by what happened to the connection.
type ResultCode uint8

// The result codes.
const (
	ResultOK                ResultCode = iota // 200, or "ok"
	ResultServerError                         // 500, "error", or another answer after which it may have run
	ResultRetryAfter                          // 429, or "later" with a time to wait
	ResultOverloaded                          // 503, or "later"
	ResultNoSlot                              // 503 with X-Line-Busy: this forwarder's slots are all in use
	ResultAttemptsExhausted                   // 504, or "exhausted": no attempt is left, no final answer yet
	ResultGone                                // 410, or "gone": the message is withdrawn or out of time
	ResultBadRequest                          // 400 or 413: the call could not be parsed, nothing of it ran
	ResultConnectRefused                      // no connection: refused, unreachable, no descriptor
	ResultConnectTimeout                      // no connection in time
	ResultClosedBeforeSent                    // the connection ended before the call's last byte was written
	ResultClosed                              // the connection ended after that
	ResultMalformed                           // the answer cannot be parsed
	ResultTimeout                             // no answer in time, the call written completely
	ResultTimeoutBeforeSent                   // no answer in time, the call not written completely
	ResultNotStarted                          // the forwarder itself could not begin the call
	ResultCancelled                           // cancelled by the scheduler before its first byte
)

// resultNames are values of metric labels and parts of logs: they keep their wording, which is older than the names of
// the codes.
var resultNames = [...]string{
	ResultOK:                "took",
	ResultServerError:       "failed",
	ResultRetryAfter:        "waiting",
	ResultOverloaded:        "turned away",
	ResultNoSlot:            "line busy",
	ResultAttemptsExhausted: "spent",
	ResultGone:              "gone",
	ResultBadRequest:        "unread",
	ResultConnectRefused:    "refused",
	ResultConnectTimeout:    "never up",
	ResultClosedBeforeSent:  "broken early",
	ResultClosed:            "broken",
	ResultMalformed:         "garbled",
	ResultTimeout:           "given up",
	ResultTimeoutBeforeSent: "given up early",
	ResultNotStarted:        "unsent",
	ResultCancelled:         "recalled",
}

// String returns the code's name in metrics and logs.
func (c ResultCode) String() string { return resultNames[c] }

// MayHaveRun reports whether the endpoint may have run the message.
func (c ResultCode) MayHaveRun() bool {
	return c <= ResultServerError || c == ResultClosed || c == ResultMalformed || c == ResultTimeout
}

// Written reports whether the call was written completely before the connection ended.
func (c ResultCode) Written() bool {
	switch c {
	case ResultConnectRefused, ResultConnectTimeout, ResultClosedBeforeSent, ResultTimeoutBeforeSent, ResultNotStarted,
		ResultCancelled:
		return false
	}
	return true
}

// Outcome returns what the code means to the scheduler; it is the one table for that. final says that nothing more
// follows for the message.
func (c ResultCode) Outcome() (o scheduler.Outcome, final bool) {
	switch c {
	case ResultOK:
		return scheduler.Delivered, true
	case ResultServerError:
		return scheduler.ServerError, false
	case ResultMalformed:
		return scheduler.Malformed, false
	case ResultRetryAfter, ResultOverloaded:
		return scheduler.Overloaded, false
	case ResultNoSlot, ResultAttemptsExhausted, ResultBadRequest, ResultNotStarted, ResultCancelled:
		return scheduler.NotSent, false
	case ResultGone:
		return scheduler.NotSent, true
	case ResultConnectRefused, ResultConnectTimeout, ResultClosedBeforeSent, ResultTimeoutBeforeSent:
		return scheduler.NoConnection, false
	case ResultTimeout:
		return scheduler.TimedOut, false
	default:
		return scheduler.Reset, false
	}
}
