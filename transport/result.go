package transport

import "spanflow/scheduler"

// ResultCode says how a call ended for one of its messages: by an answer of the endpoint, or by a connection error, a
// timeout or a cancellation.
type ResultCode uint8

// The result codes.
const (
	ResultOK                ResultCode = iota // 200, or "ok"
	ResultServerError                         // 500, "error", or another answer after which the message may have run
	ResultRetryAfter                          // 429, or "later" with a Retry-After
	ResultOverloaded                          // 503, or "later"
	ResultNoSlot                              // 503 with X-Line-Busy: all of this forwarder's slots are in use
	ResultAttemptsExhausted                   // 504, or "exhausted": no attempt is left, but there is no final answer yet
	ResultGone                                // 410, or "gone": the message was withdrawn or has expired
	ResultBadRequest                          // 400: the endpoint could not parse the call; no message of it ran
	ResultConnectRefused                      // no connection: refused, unreachable, or no file descriptor
	ResultConnectTimeout                      // the connection was not established in time
	ResultClosedBeforeSent                    // the connection ended before the call's last byte was written
	ResultClosed                              // the connection ended after the call was written completely
	ResultMalformed                           // the answer cannot be parsed
	ResultTimeout                             // no answer in time; the call was written completely
	ResultTimeoutBeforeSent                   // no answer in time; the call was not written completely
	ResultNotStarted                          // the forwarder itself could not begin the call
	ResultCancelled                           // cancelled by the scheduler before the first byte was written
	ResultTooLarge                            // 413: the call was too large for the endpoint; no message of it ran
)

// resultNames are also values of metric labels and parts of log lines, where these older names must not change.
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
	ResultTooLarge:          "too large",
}

// String returns the code's name in metrics and logs.
func (c ResultCode) String() string { return resultNames[c] }

// MayHaveRun reports whether the endpoint may have run the message. If so, the message must not be sent again unless a
// repeat is safe.
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

// Outcome returns the scheduler's outcome for the code; no other code defines that mapping. If final is true, the
// message has its final answer and needs no further attempt.
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
	case ResultNoSlot, ResultAttemptsExhausted, ResultNotStarted:
		return scheduler.NotSent, false
	case ResultCancelled:
		return scheduler.NotBegun, false
	case ResultBadRequest:
		return scheduler.CallUnreadable, false
	case ResultTooLarge:
		return scheduler.CallTooLarge, false
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
