package scheduler

import "iter"

// Message is one message held by a forwarder. The caller sets the exported fields, once, before Accept.
type Message struct {
	ID     uint64 // the adapter's identifier
	Tenant int
	Key    uint64 // ordering key; 0: none
	Dest   *Destination
	Size   int // bytes that it takes in the write-ahead log

	// AnsweredByNotice says that its final answer, unless it is delivered in time, is a notice to a client whose clock
	// may differ.
	AnsweredByNotice bool

	messageType   *MessageType
	deadline      float64
	lifetime      float64 // time to the deadline when it was accepted
	keyQueue      *keyQueue
	lane          *lane   // nil from its first call on
	call          *call   // the call that carries it now
	attempts      int     // made so far
	firstRanAt    float64 // begin of the first attempt that may have run; 0: surely never ran
	firstRanZone  int
	answered      bool // it has its final answer
	queued        bool // it waits for a call
	overQuota     bool // beyond its tenant's quota
	bytesReleased bool // its size is taken off storedBytes
	// its final answer is on its way
	awaitingAcknowledgement bool
	recoveredUntried        bool // an earlier process had accepted it and not tried it

	sequence                 uint64   // its number in the order of admission
	rank                     uint64   // its place among those that wait
	previous, next           *Message // in heldList
	shedClass                *shedClass
	shedPrevious, shedNext   *Message // in shedClass
	keyPrevious, keyNext     *Message // in keyQueue
	queuePosition            int32    // in the heap of its lane or of the retries
	urgencyPosition          int32    // in the heap of urgent retries
	deadlinePosition         int32    // in the heap of its stage
	timerPosition            int32    // in the heap of timers
	timer                    float64  // when it has to be looked at next
	stage                    stage
	keyExpiring, isCandidate bool

	action     action // what the host is to do with it
	reason     AnswerReason
	endpoint   *Endpoint
	timeout    float64
	retryAfter float64
}

// AwaitingAcknowledgement reports whether the message's final answer is on its way and not acknowledged.
func (m *Message) AwaitingAcknowledgement() bool { return m.awaitingAcknowledgement }

// Finished reports whether nothing more can happen to the message.
func (m *Message) Finished() bool { return m.answered && m.call == nil && !m.awaitingAcknowledgement }

// Queued reports whether the message waits for a call: Withdraw may then take it back without a trace.
func (m *Message) Queued() bool { return m.queued }

// AnswerReason says why the message has a final answer though it was not delivered, or not surely in time.
func (m *Message) AnswerReason() AnswerReason { return m.reason }

// NextOfKey returns the next unfinished message of the same ordering key in the order of admission; nil if there is
// none or the message's type does not keep the order of keys.
func (m *Message) NextOfKey() *Message { return m.keyNext }

// mayHaveRun reports whether an attempt of the message may have run.
func (m *Message) mayHaveRun() bool { return m.firstRanAt > 0 }

// hasUsedKey reports whether the destination may know the message's idempotency key.
func (m *Message) hasUsedKey() bool {
	return m.firstRanAt > 0 && m.messageType.Idempotency == IdempotentWithKey
}

// action is what the host is to do with a message; apply carries it out.
type action uint8

const (
	actionNone action = iota
	actionSend
	actionReject
	actionFail
)

// AnswerReason is why a message got a final answer by Host.Reject or Host.Fail.
type AnswerReason uint8

// The reasons of final answers.
const (
	NoReason            AnswerReason = iota
	OutOfTime                        // too little time is left for a call, or its endpoints are blocked for longer
	RepeatUnsafe                     // it may have run, and a further attempt could run a second time
	AttemptsExhausted                // it has had all its attempts
	LoadShed                         // the queue is nearly full
	AnsweredWithoutCall              // the adapter had it given up
	DeliveredLate                    // delivered so close to its deadline that its client may not count it
)

var answerReasonNames = [...]string{
	NoReason:            "none",
	OutOfTime:           "out of time",
	RepeatUnsafe:        "a repeat is not safe",
	AttemptsExhausted:   "no attempt left",
	LoadShed:            "load shed",
	AnsweredWithoutCall: "given up",
	DeliveredLate:       "delivered close to its deadline",
}

// String returns the reason as logs have it.
func (r AnswerReason) String() string { return answerReasonNames[r] }

// heldList is the messages of a forwarder that have no final answer, in the order of admission.
type heldList struct {
	first, last *Message
	count       int
}

func (l *heldList) add(message *Message) {
	message.previous = l.last
	if l.last == nil {
		l.first = message
	} else {
		l.last.next = message
	}
	l.last = message
	l.count++
}

func (l *heldList) remove(message *Message) {
	if message.previous == nil {
		l.first = message.next
	} else {
		message.previous.next = message.next
	}
	if message.next == nil {
		l.last = message.previous
	} else {
		message.next.previous = message.previous
	}
	message.previous, message.next = nil, nil
	l.count--
}

func (l *heldList) all() iter.Seq[*Message] {
	return func(yield func(*Message) bool) {
		for message := l.first; message != nil; message = message.next {
			if !yield(message) {
				return
			}
		}
	}
}
