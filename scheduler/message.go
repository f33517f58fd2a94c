package scheduler

import "iter"

// Message is one message held by a forwarder. The adapter sets the exported fields once, before Accept.
type Message struct {
	ID     uint64 // the adapter's identifier
	Tenant int
	Key    uint64 // ordering key; 0 means none
	Dest   *Destination
	Size   int // bytes in the write-ahead log

	// CallBytes is what the message takes of Settings.MaxCallBytes.
	CallBytes int

	// AnsweredByNotice says that the client gets a notice if the message is not delivered in time. The client's clock
	// may differ from this forwarder's clock.
	AnsweredByNotice bool

	messageType   *MessageType
	deadline      float64
	lifetime      float64 // time to the deadline when the message was accepted
	keyQueue      *keyQueue
	lane          *lane   // nil after the first call with the message began
	call          *call   // the call in flight that carries the message
	tooLarge      bool    // the destination has turned it away for its size, in a call of its own
	attempts      int     // number of attempts made
	firstRanAt    float64 // start of the first attempt that may have run; 0 means that no attempt ran
	firstRanZone  int     // zone of the endpoint of that attempt
	clientLeftAt  float64 // when its client left, perhaps without having read the reply; 0 if it did not
	answered      bool    // the message has its final answer
	queued        bool    // the message is queued for a call
	overQuota     bool    // the message exceeds its tenant's quota
	bytesReleased bool    // the message's size has been subtracted from storedBytes
	// the final answer has been given and its acknowledgement is outstanding
	awaitingAcknowledgement bool
	recoveredUntried        bool // accepted but not attempted by an earlier process

	sequence                 uint64   // position in the order of admission
	rank                     uint64   // position among the queued messages; renewed when the message becomes a retry
	previous, next           *Message // neighbors in heldList
	shedClass                *shedClass
	shedPrevious, shedNext   *Message // neighbors in shedClass
	keyPrevious, keyNext     *Message // neighbors in keyQueue
	queuePosition            int32    // position in the heap of its lane or of the retries
	urgencyPosition          int32    // position in the heap of urgent retries
	deadlinePosition         int32    // position in the heap of its stage
	timerPosition            int32    // position in the heap of timers
	timer                    float64  // time of the next deadline check of the message
	stage                    stage
	keyExpiring, isCandidate bool // whether listed in deadlineHeaps.keyExpiring, and in dueMessages.candidates

	action     action // what the host has to do with the message
	reason     AnswerReason
	endpoint   *Endpoint
	timeout    float64
	retryAfter float64
}

// AwaitingAcknowledgement reports whether the message has a final answer that is not acknowledged yet.
func (m *Message) AwaitingAcknowledgement() bool { return m.awaitingAcknowledgement }

// Finished reports whether nothing more can happen to the message.
func (m *Message) Finished() bool { return m.answered && m.call == nil && !m.awaitingAcknowledgement }

// InCall reports whether the message is in a call that has not ended.
func (m *Message) InCall() bool { return m.call != nil }

// InCallWith reports whether both messages are in one call that has not ended.
func (m *Message) InCallWith(other *Message) bool { return m.call != nil && m.call == other.call }

// Attempts returns the number of attempts that count towards Settings.MaxAttempts.
func (m *Message) Attempts() int { return m.attempts }

// Queued reports whether the message is queued for a call. As it is not in a call then, Withdraw removes it completely.
func (m *Message) Queued() bool { return m.queued }

// AnswerReason returns the reason for a final answer other than a delivery that is certain to be in time.
func (m *Message) AnswerReason() AnswerReason { return m.reason }

// NextOfKey returns the next unfinished message with the same ordering key in the order of admission. It returns nil if
// there is none or if messages of this type are not sent in order.
func (m *Message) NextOfKey() *Message { return m.keyNext }

// mayHaveRun reports whether an attempt of the message may have run.
func (m *Message) mayHaveRun() bool { return m.firstRanAt > 0 }

// hasUsedKey reports whether the destination may know the message's idempotency key.
func (m *Message) hasUsedKey() bool {
	return m.firstRanAt > 0 && m.messageType.Idempotency == IdempotentWithKey
}

// action is what the host has to do with a message. Scheduler.apply passes it to the host.
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
	OutOfTime                        // too little time is left for a call, or all endpoints are blocked for longer
	RepeatUnsafe                     // an attempt may have run, and a further attempt could run a second time
	AttemptsExhausted                // the maximum number of attempts has been made
	LoadShed                         // the queue was nearly full
	AnsweredWithoutCall              // the adapter called Scheduler.AnswerWithoutCall
	ReplyUnread                      // the client may not have received the reply, see Scheduler.ClientReset
	TooLarge                         // the destination takes no message of this size
	DeliveredLate                    // delivered so close to the deadline that it may be late by the client's clock
	AnswerInDoubt                    // the answer to its call came after another message of the call had ended
)

var answerReasonNames = [...]string{
	NoReason:            "none",
	OutOfTime:           "out of time",
	RepeatUnsafe:        "a repeat is not safe",
	AttemptsExhausted:   "no attempt left",
	LoadShed:            "load shed",
	AnsweredWithoutCall: "given up",
	ReplyUnread:         "the client has reset its connection",
	TooLarge:            "too large for the destination",
	DeliveredLate:       "delivered close to its deadline",
	AnswerInDoubt:       "answered after another message of its call had ended",
}

// String returns the text of the reason in logs.
func (r AnswerReason) String() string { return answerReasonNames[r] }

// heldList is a linked list of a forwarder's messages that have no final answer, in the order of admission.
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
