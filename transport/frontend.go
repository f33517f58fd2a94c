package transport

import "time"

// Submission is a message as a client submits it. It owns its data: nothing in it is a slice of the frontend's buffer.
type Submission struct {
	Key            uint64 // ordering key
	ID             string
	Type           string
	IdempotencyKey string
	Destination    uint64
	SecondsLeft    float64 // until the message expires, at ReceivedAt
	ReceivedAt     time.Time
	Body           []byte
	Tenant         string // empty if not given
	UnknownOption  string // name of an option that is not known here, for the log; empty if there is none
}

// Request is one thing that a caller asks for: that a message be accepted, a sign of life, or, with Malformed, an
// answer to what could not be parsed. Every request gets one Reply.
type Request struct {
	From       Caller
	Submission *Submission
	Ping       bool   // asks for a sign of life from the event loop
	Malformed  string // what was wrong with what was received
	Close      bool   // the caller's connection ends after the reply
}

// Status is the kind of a Reply.
type Status uint8

// The statuses of replies.
const (
	StatusAccepted   Status = iota // the forwarder is responsible for the message from now on
	StatusOverloaded               // not accepted; submitting it again is harmless
	StatusInvalid                  // not accepted, with the reason
	StatusAlive                    // the event loop runs
	StatusMalformed                // the request could not be parsed
)

// Reply is the immediate answer to a request.
type Reply struct {
	Status     Status
	RetryAfter int    // with StatusOverloaded: milliseconds until the caller may submit again; 0 if not given
	Reason     string // with StatusInvalid and StatusMalformed
	Close      bool   // the connection ends after it
}

// Caller is a client's connection as the event loop sees it. Its methods must not block: a caller that does not read is
// the frontend's to limit.
type Caller interface {
	// Disconnected reports whether the caller can no longer receive an answer.
	Disconnected() bool
	// Answer replies to the caller's oldest open request. It reports whether the caller was still connected.
	Answer(Reply) bool
}

// WaitingCaller is a caller that receives the final answer itself, as its call stays open until then. If it
// disconnects, nobody receives the final answer of its message, which is withdrawn: a frontend reports it with
// Submitter.Withdraw, and a process that starts after another withdraws all messages of such callers.
type WaitingCaller interface {
	Caller
	// Complete gives the caller the final answer.
	Complete(FinalAnswer)
}

// Submitter takes the requests of a frontend's callers, in each caller's order. Submit may block while too many
// requests of that frontend are pending.
type Submitter interface {
	// Submit passes a request to the event loop.
	Submit(Request)
	// Withdraw reports that the WaitingCaller that submitted a message has disconnected.
	Withdraw(id string)
}

// ConnectionStats counts a frontend's connections since the start.
type ConnectionStats struct {
	Open, Peak, Accepted        int
	Refused                     int    // closed unread, as there were too many
	Evicted                     [3]int // closed for new ones: after the last answer, between requests, before the first
	NeverSent, Idle, Incomplete int    // closed after a timeout: without a request, between two, within one
}

// Frontend accepts callers.
type Frontend interface {
	// Addr returns the address on which the frontend listens.
	Addr() string
	// Stats returns the connection counts since the start.
	Stats() ConnectionStats
	// Clients returns the number of open connections.
	Clients() int
	// Drain closes each connection once it waits for no answer, so that callers go elsewhere.
	Drain()
	// Undrain keeps connections again after Drain.
	Undrain()
	// StopAccepting stops accepting new connections.
	StopAccepting()
	// StopReading reads nothing more. When it returns, whatever was read has been submitted; the last answers follow,
	// then Stop.
	StopReading()
	// Stop closes all connections and frees the address.
	Stop()
}
