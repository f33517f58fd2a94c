package transport

// Outcome is what became of a message.
type Outcome uint8

// The outcomes of messages.
const (
	Delivered Outcome = iota
	Rejected          // may be submitted again
	Failed            // may have run, or can no longer be delivered
)

// outcomeNames are also values of metric labels and parts of logs, which keep their wording.
var outcomeNames = [...]string{"delivered", "returned", "abandoned"}

// String returns the outcome's name in metrics and logs.
func (o Outcome) String() string { return outcomeNames[o] }

// FinalAnswer tells a client what became of its message.
type FinalAnswer struct {
	MessageID    uint64 // the event loop's number
	ID           string // the client's
	Outcome      Outcome
	RetryAfterMs int // with Rejected: until it may be submitted again; 0 if not given
}

// Notifier delivers the final answers of messages that were not delivered and for which no caller waits. It repeats
// each until it is acknowledged.
type Notifier interface {
	// Notify takes a final answer to deliver.
	Notify(FinalAnswer)
}

// NoticeListener receives what became of notices. It must not block.
type NoticeListener interface {
	// NoticesUnanswered reports that notices could not be delivered, with the reason for the log.
	NoticesUnanswered(why string)
	// NoticesAcknowledged reports the messages whose final answers were received.
	NoticesAcknowledged(messageIDs []uint64)
}
