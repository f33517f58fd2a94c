package transport

import "spanflow/scheduler"

// ResultCode is the way in which a connection ended for one message: by an answer, or by what befell the connection.
type ResultCode uint8

const (
	ResultOK                ResultCode = iota // 200, or "ok"
	ResultServerError                         // 500, "error", or another answer after which it may have run
	ResultRetryAfter                          // 429, or "later" with a wait
	ResultOverloaded                          // 503, or "later"
	ResultNoSlot                              // 503 with X-Conn-StatusOverloaded: all slots of this forwarder are taken
	ResultAttemptsExhausted                   // 504, or "exhausted": no attempt is left, the end is still owed
	ResultGone                                // 410, or "gone": the message is over
	ResultBadRequest                          // 400 or 413: the call could not be read, nothing of it ran
	ResultConnectRefused                      // no connection: refused, unreachable, no descriptor
	ResultConnectTimeout                      // no connection in time
	ResultClosedBeforeSent                    // the connection ended before the call's last byte was written
	ResultClosed                              // the connection ended after that
	ResultMalformed                           // the answer cannot be read
	ResultTimeout                             // no answer in the time allowed, the call written whole
	ResultTimeoutBeforeSent                   // no answer in the time allowed, the call not written whole
	ResultNotStarted                          // the forwarder itself could not begin the call
	ResultCancelled                           // the scheduler took the call back before its first byte
)

var resultNames = [...]string{"took", "failed", "waiting", "turned away", "line busy", "spent", "gone", "unread", "refused",
	"never up", "broken early", "broken", "garbled", "given up", "given up early", "unsent", "recalled"}

func (e ResultCode) String() string { return resultNames[e] }

// MayHaveRun tells if the message may have run.
func (e ResultCode) MayHaveRun() bool {
	return e <= ResultServerError || e == ResultClosed || e == ResultMalformed || e == ResultTimeout
}

// Written tells if the call was written whole before the connection ended.
func (e ResultCode) Written() bool {
	switch e {
	case ResultConnectRefused, ResultConnectTimeout, ResultClosedBeforeSent, ResultTimeoutBeforeSent, ResultNotStarted, ResultCancelled:
		return false
	}
	return true
}

// Outcome is the one place where an end becomes a word of the scheduler; over: the message is over by it.
func (e ResultCode) Outcome() (o scheduler.Outcome, over bool) {
	switch e {
	case ResultOK:
		return scheduler.Delivered, true
	case ResultServerError, ResultMalformed: // who answers nonsense is there, and has run the call
		return scheduler.ServerError, false
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
