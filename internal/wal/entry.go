package wal

const (
	entryOverhead   = 104 // bytes that a message takes beside its body, idempotency key, id and type
	maxFrontendName = 64  // bytes
)

// Entry is a message that the forwarder has accepted and not finished. Times are in microseconds of the wall
// clock, 0 for none.
type Entry struct {
	Seq              uint64 // number in the order of acceptance
	Key              uint64
	Destination      uint64
	Tenant           int
	Type             string
	ID               string
	IdempotencyKey   string
	Expiry           int64
	Attempts         int   // that have begun
	FirstRanAt       int64 // begin of the first attempt that may have run
	FirstRanZone     int
	AttemptStartedAt int64 // begin of the attempt in flight
	AttemptZone      int
	Answer           Answer
	RetryAfter       int // with Rejected: milliseconds until the client may submit it again
	Body             []byte
	Frontend         string // by which it came; empty for the platform's own
	CallerWaits      bool   // its caller waited for the final answer

	segment int // number of the segment with its record
}

// Answer is the final answer of a message that is not delivered.
type Answer uint8

// The final answers, as they are recorded.
const (
	NoAnswer Answer = iota // none is decided
	Rejected
	Failed
)

// Size is how many bytes of the log's capacity an entry takes.
func (e *Entry) Size() int {
	size := len(e.Body) + len(e.IdempotencyKey) + len(e.ID) + len(e.Type) + entryOverhead
	if e.namesFrontend() {
		size += frontendHeader + len(e.Frontend)
	}
	return size
}

// namesFrontend reports whether an entry's record names the frontend by which it came.
func (e *Entry) namesFrontend() bool { return e.Frontend != "" || e.CallerWaits }

func (e *Entry) attemptBegan(at int64, zone int) {
	e.Attempts++
	e.AttemptStartedAt, e.AttemptZone = at, zone
}

func (e *Entry) attemptEnded(ran bool) {
	if ran && e.FirstRanAt == 0 {
		e.FirstRanAt, e.FirstRanZone = e.AttemptStartedAt, e.AttemptZone
	}
	e.AttemptStartedAt, e.AttemptZone = 0, 0
}

// The states of an entry, as commands print them and take them in filters.
const (
	stateUntried    = "held"
	stateTried      = "tried"
	stateInFlight   = "out"
	stateMayHaveRun = "may-have-run"
	stateRejected   = "returned"
	stateFailed     = "abandoned"
)

// State is one of States: what an entry waits for.
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

// States are the states that an entry may be in.
func States() []string {
	return []string{stateUntried, stateTried, stateInFlight, stateMayHaveRun, stateRejected, stateFailed}
}
