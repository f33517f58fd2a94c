package transport

import "time"

// MaxBodyBytes is the limit of a body in the platform's protocol: of a message, of a call with several messages, and of a
// request with notices.
const MaxBodyBytes = 64 << 10

// Message is a message in a call. Its data is not copied and must not change until the call has ended.
type Message struct {
	MessageID      uint64 // number of the message in the event loop
	ID             string // the client's identifier of the message
	IdempotencyKey string // key by which the endpoint recognizes a repeat; empty if there is none
	Body           []byte
	BatchBytes     int       // what the message takes of MaxBodyBytes in a call with others, at most
	SendBefore     time.Time // from then on a call with the message must not begin; zero means that it may at any time
}

// Call is one call to an endpoint with one or more messages.
type Call struct {
	EndpointID uint64 // number of the endpoint in the event loop
	Address    string
	Messages   []Message
	Timeout    time.Duration // time after which the call is aborted
}

// CallResult is the end of a call, or of some of its messages.
type CallResult struct {
	Call          *Call
	Codes         []ResultCode // one for each message
	Latency       time.Duration
	SentAfter     time.Duration // from the start of the call until its first byte was sent; 0 if none was
	RetryAfter    float64       // seconds; 0 if not given
	ReportedLimit float64       // the reported limit in calls per second; 0 if not reported, below 0 if there is no limit
	ReportedShare float64       // the reported unused share of that limit; 0 if not reported, below 0 if nothing is left
	Reason        string        // for the log: what was malformed, or why a connection failed
	SurplusBytes  int           // bytes that arrived together with the end of the answer and are not part of it
}

// ResultListener receives the results of calls. It must not block.
type ResultListener interface {
	// CallEnded reports the end of a call. It is called once for each message.
	CallEnded(CallResult)
}

// Upstream carries out calls and owns the connections for them. It may use a connection for another call only if its
// protocol names in each answer the call that it belongs to; otherwise bytes that arrive late could be taken for the
// answer to the other call.
type Upstream interface {
	// Send begins a call. Messages whose SendBefore has passed when its first byte could be sent are left out of it: they end
	// with ResultCancelled, maybe in a result of their own.
	Send(*Call)
	// CancelMessage takes a message out of the call that carries it, unless the call's first byte has been sent, and reports
	// whether it did. Then no result is reported for the message, and none for a call without a message left.
	CancelMessage(messageID uint64) bool
	// CancelUnsent cancels those calls to an endpoint whose first byte has not been sent yet. They end with
	// ResultCancelled.
	CancelUnsent(endpointID uint64)
}
