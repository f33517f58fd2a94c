package transport

import "time"

// Submission is a message as submitted by a client. It owns its data and does not refer to the frontend's buffers.
type Submission struct {
	Key            uint64 // ordering key
	ID             string
	Type           string
	IdempotencyKey string
	Destination    uint64
	SecondsLeft    float64 // seconds from ReceivedAt until the message expires
	ReceivedAt     time.Time
	Body           []byte
	Tenant         string // empty if not given
	UnknownOption  string // name of an option that this version does not know, for the log; empty if there is none
}

// Request is one request of a caller: a submission, a ping, or input that could not be parsed (Malformed). Every
// request gets one Reply.
type Request struct {
	From       Caller
	Submission *Submission
	Ping       bool   // the request only checks that the event loop runs
	Malformed  string // why the input could not be parsed; empty if it could
	Close      bool   // the caller's connection is closed after the reply
	Connection uint64 // identifies the caller's connection in Submitter.ConnectionReset; 0 if the frontend does not call that
}

// Status is the kind of a Reply.
type Status uint8

// The statuses of replies.
const (
	StatusAccepted   Status = iota // the forwarder has taken responsibility for the message
	StatusOverloaded               // the message was not accepted; submitting it again is harmless
	StatusInvalid                  // the message was not accepted; Reply.Reason says why
	StatusAlive                    // answer to a ping: the event loop runs
	StatusMalformed                // the request could not be parsed
)

// Reply is the immediate answer to a request.
type Reply struct {
	Status     Status
	RetryAfter int    // with StatusOverloaded: milliseconds until the caller may submit again; 0 if not given
	Reason     string // with StatusInvalid and StatusMalformed
	Close      bool   // the connection is closed after the reply
}

// Caller is the event loop's view of a client's connection. Its methods must not block. The frontend has to limit
// callers that do not read their replies.
type Caller interface {
	// Disconnected reports whether the caller has ended its connection, and so does not receive an answer.
	Disconnected() bool
	// Answer replies to the caller's oldest open request. It reports whether the caller was still connected.
	Answer(Reply) bool
}

// WaitingCaller is a caller that receives the final answer itself, because its request stays open until then. If the
// caller disconnects, nobody can receive the final answer of its message, so the message is withdrawn: the frontend
// calls Submitter.Withdraw, and the next process withdraws all messages of such callers at its start.
type WaitingCaller interface {
	Caller
	// Complete sends the final answer to the caller.
	Complete(FinalAnswer)
}

// Submitter receives the requests of a frontend's callers. The requests of one caller must be submitted in their order.
// Submit may block while too many requests of that frontend are queued.
type Submitter interface {
	// Submit passes a request to the event loop.
	Submit(Request)
	// Withdraw reports that the WaitingCaller that submitted a message has disconnected.
	Withdraw(id string)
	// ConnectionReset reports that the client has reset a connection on which messages were accepted, so that it may not
	// have received the latest replies.
	ConnectionReset(connection uint64)
}

// ConnectionStats counts a frontend's connections since the start. Open is the current and Peak the highest number of
// open connections.
type ConnectionStats struct {
	Open, Peak, Accepted        int
	Refused                     int    // closed unread because there were too many connections
	Evicted                     [4]int // closed to admit others: after the last answer, between requests, before the first, busy
	NeverSent, Idle, Incomplete int    // closed after a timeout: without any request, between requests, within a request
}

// Frontend accepts the connections of callers and reads their requests.
type Frontend interface {
	// Addr returns the address on which the frontend listens.
	Addr() string
	// Stats returns the connection counts since the start.
	Stats() ConnectionStats
	// Clients returns the number of open connections.
	Clients() int
	// Drain closes each connection as soon as no answer is outstanding on it, so that callers connect to another
	// forwarder.
	Drain()
	// Undrain ends the effect of Drain: connections are kept again.
	Undrain()
	// StopAccepting stops accepting new connections.
	StopAccepting()
	// StopReading stops reading from all connections. When it returns, everything that was read has been submitted. The
	// remaining answers can still be sent until Stop is called.
	StopReading()
	// Stop closes all connections and frees the address.
	Stop()
}
