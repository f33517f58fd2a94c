package transport

import "time"

// Message is a message as an upstream sends it. Its data is not copied; it must not change until the call has ended.
type Message struct {
	MessageID      uint64 // the event loop's number
	ID             string // the client's
	IdempotencyKey string // by which the endpoint recognises a repeat; empty if there is none
	Body           []byte
}

// Call is one call to an endpoint with one message or several.
type Call struct {
	EndpointID uint64 // the event loop's number: connections belong to it, even if another endpoint had its address before
	Address    string
	Messages   []Message
	Timeout    time.Duration // until the call is given up
}

// CallResult is the end of a call.
type CallResult struct {
	Call          *Call
	Codes         []ResultCode // one for each message
	Latency       time.Duration
	RetryAfter    float64 // seconds; 0 if not given
	ReportedLimit float64 // the reported limit in calls a second; 0 if not reported, below 0 if there is none
	ReportedShare float64 // the reported share of the limit that is left; 0 if not reported, below 0 if nothing is left
	Reason        string  // for the log: what was malformed, or why a connection failed
}

// ResultListener receives the results of calls. It must not block.
type ResultListener interface {
	// CallEnded reports the end of a call, once for each.
	CallEnded(CallResult)
}

// Upstream carries out calls and owns the connections for them.
type Upstream interface {
	// Send begins a call.
	Send(*Call)
	// CancelUnsent ends the calls to an endpoint of which nothing has been sent, as ResultCancelled.
	CancelUnsent(endpointID uint64)
	// CloseIdle closes the connections to an endpoint that carry no call.
	CloseIdle(endpointID uint64)
	// IdleConnections returns the number of connections that carry no call.
	IdleConnections() int
}
