package transport

import "spanflow/scheduler"

// End is the way in which a connection ended for one document: by an answer, or by what befell the connection.
type End uint8

const (
	Took         End = iota // 200, or "ok"
	Failed                  // 500, "error", or another answer after which it may have run
	Waiting                 // 429, or "later" with a wait
	TurnedAway              // 503, or "later"
	LineBusy                // 503 with X-Line-Busy: all slots of this forwarder are taken
	Spent                   // 504, or "exhausted": no transmission is left, the end is still owed
	Gone                    // 410, or "gone": the document is over
	Unread                  // 400 or 413: the call could not be read, nothing of it ran
	Refused                 // no connection: refused, unreachable, no descriptor
	NeverUp                 // no connection in time
	BrokenEarly             // the connection ended before the call's last byte was written
	Broken                  // the connection ended after that
	Garbled                 // the answer cannot be read
	GivenUp                 // no answer in the time allowed, the call written whole
	GivenUpEarly            // no answer in the time allowed, the call not written whole
	Unsent                  // the forwarder itself could not begin the call
	Recalled                // the module took the call back before its first byte
)

var names = [...]string{"took", "failed", "waiting", "turned away", "line busy", "spent", "gone", "unread", "refused",
	"never up", "broken early", "broken", "garbled", "given up", "given up early", "unsent", "recalled"}

func (e End) String() string { return names[e] }

// Ran tells if the document may have run.
func (e End) Ran() bool { return e <= Failed || e == Broken || e == Garbled || e == GivenUp }

// Written tells if the call was written whole before the connection ended.
func (e End) Written() bool {
	switch e {
	case Refused, NeverUp, BrokenEarly, GivenUpEarly, Unsent, Recalled:
		return false
	}
	return true
}

// Outcome is the one place where an end becomes a word of the module; over: the document is over by it.
func (e End) Outcome() (o scheduler.Outcome, over bool) {
	switch e {
	case Took:
		return scheduler.Delivered, true
	case Failed, Garbled: // who answers nonsense is there, and has run the call
		return scheduler.ServerError, false
	case Waiting, TurnedAway:
		return scheduler.Overloaded, false
	case LineBusy, Spent, Unread, Unsent, Recalled:
		return scheduler.NotSent, false
	case Gone:
		return scheduler.NotSent, true
	case Refused, NeverUp, BrokenEarly, GivenUpEarly:
		return scheduler.NoConnection, false
	case GivenUp:
		return scheduler.TimedOut, false
	default:
		return scheduler.Reset, false
	}
}
