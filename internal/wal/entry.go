package wal

const (
	entryOverhead   = 104 // bytes that an entry takes in addition to body, idempotency key, id and type
	maxFrontendName = 64  // bytes
)

// Entry is a message that the forwarder has accepted and not finished. Times are in microseconds of the wall clock; 0
// means none.
type Entry struct {
	Seq              uint64 // sequence number in the order of acceptance
	Key              uint64
	Destination      uint64
	Tenant           int
	Type             string
	ID               string
	IdempotencyKey   string
	Expiry           int64
	Attempts         int   // number of attempts started
	FirstRanAt       int64 // start of the first attempt that may have run
	FirstRanZone     int
	AttemptStartedAt int64 // start of the attempt in flight
	AttemptZone      int
	Answer           Answer
	RetryAfter       int // for Rejected: milliseconds until the client may submit the message again
	Body             []byte
	Frontend         string // name of the frontend that accepted the message; empty for the platform's own frontend
	CallerWaits      bool   // the caller waits for the final answer

	segment int // number of the segment with the latest record
}

// Answer is the final answer of a message that is not delivered.
type Answer uint8

// The final answers. Records contain these values.
const (
	NoAnswer Answer = iota // no final answer yet
	Rejected
	Failed
)

// Size is the number of bytes of the log's capacity that an entry takes.
func (e *Entry) Size() int {
	size := len(e.Body) + len(e.IdempotencyKey) + len(e.ID) + len(e.Type) + entryOverhead
	if e.namesFrontend() {
		size += frontendHeader + len(e.Frontend)
	}
	return size
}

// namesFrontend reports whether an entry's record contains the frontend that accepted the message.
func (e *Entry) namesFrontend() bool { return e.Frontend != "" || e.CallerWaits }

func (e *Entry) attemptStarted(at int64, zone int) {
	e.Attempts++
	e.AttemptStartedAt, e.AttemptZone = at, zone
}

// AttemptEnd is how an attempt has ended that did not finish its message. The values are those of the records; a version
// that does not know AttemptUncounted takes it for AttemptNotRun.
type AttemptEnd uint8

// The ends of an attempt.
const (
	AttemptNotRun     AttemptEnd = iota // the message has not run
	AttemptMayHaveRun                   // the message may have run or may still run
	AttemptUncounted                    // the message has not run, and has as many attempts left as before
)

func (e *Entry) attemptEnded(end AttemptEnd) {
	switch {
	case end == AttemptMayHaveRun && e.FirstRanAt == 0:
		e.FirstRanAt, e.FirstRanZone = e.AttemptStartedAt, e.AttemptZone
	case end == AttemptUncounted:
		e.Attempts = max(0, e.Attempts-1)
	}
	e.AttemptStartedAt, e.AttemptZone = 0, 0
}

// The states of an entry, as commands print them and accept them in filters.
const (
	stateUntried    = "held"
	stateTried      = "tried"
	stateInFlight   = "out"
	stateMayHaveRun = "may-have-run"
	stateRejected   = "returned"
	stateFailed     = "abandoned"
)

// State returns the state of an entry, one of States.
func (e *Entry) State() string {
	switch {
	case e.Answer == Rejected:
		return stateRejected
	case e.Answer == Failed:
		return stateFailed
	case e.AttemptStartedAt > 0:
		return stateInFlight
	case e.FirstRanAt > 0:
		return stateMayHaveRun
	case e.Attempts > 0:
		return stateTried
	}
	return stateUntried
}

// States returns all states of entries.
func States() []string {
	return []string{stateUntried, stateTried, stateInFlight, stateMayHaveRun, stateRejected, stateFailed}
}
