package transport

// Outcome says how a message ended.
type Outcome uint8

// The outcomes of messages.
const (
	Delivered Outcome = iota
	Rejected          // the message may be submitted again
	Failed            // the message may have run, or can no longer be delivered
)

// outcomeNames are also values of metric labels and parts of log lines, where these older names must not change.
var outcomeNames = [...]string{"delivered", "returned", "abandoned"}

// String returns the outcome's name in metrics and logs.
func (o Outcome) String() string { return outcomeNames[o] }

// FinalAnswer notifies a client how its message ended.
type FinalAnswer struct {
	MessageID    uint64 // number of the message in the event loop
	ID           string // the client's identifier of the message
	Outcome      Outcome
	RetryAfterMs int // with Rejected: milliseconds until the message may be submitted again; 0 if not given
}

// Notifier sends clients notices: the final answers of messages that were not delivered and for which no caller waits.
// It repeats each notice until it is acknowledged.
type Notifier interface {
	// Notify queues a final answer to be sent as a notice.
	Notify(FinalAnswer)
}

// NoticeListener is informed about the results of notices. It must not block.
type NoticeListener interface {
	// NoticesUnanswered reports that notices could not be delivered; reason is for the log.
	NoticesUnanswered(reason string)
	// NoticesAcknowledged reports the messages whose notices were acknowledged.
	NoticesAcknowledged(messageIDs []uint64)
}
