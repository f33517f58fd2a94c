// Package transport is where frontends and upstreams meet the event loop of the scheduler. A frontend turns its protocol
// into messages handed in and tells each caller the answer at the door and, where the caller waits for it, the final
// one. An upstream carries out calls to endpoints and reports one End for each message. A source brings the list of
// endpoints, a teller takes the final answers that no caller waits for. NoAnswer of them knows another, and none
// chooses.
package transport

import "time"

// Message is a message as it travels. Its parts are not copied; they must last until the call has ended.
type Message struct {
	MessageID      uint64 // the event loop's number
	ID             string
	IdempotencyKey string // by which a repeat is known
	Body           []byte
}

// Submission is a message handed in. It holds a copy of what was read: it outlives the frontend's buffer.
type Submission struct {
	Key            uint64
	ID             string
	Type           string
	IdempotencyKey string
	Destination    uint64
	SecondsLeft    float64 // seconds, at the time of coming
	ReceivedAt     time.Time
	Body           []byte

	Tenant string // empty if none is told

	UnknownOption string // a name among those with values that is not known here
}

// Request is one thing that a caller wants: a message taken on, a sign of life, or, with Why, an answer to what could
// not be understood.
type Request struct {
	From       Caller
	Submission *Submission // a message handed in
	Ping       bool        // asks for a sign of life from the event loop
	Malformed  string      // what was wrong with anything else that came
	Close      bool        // after the answer the caller's connection ends
}

// Status is what an answer at the door says.
type Status uint8

const (
	StatusAccepted   Status = iota // the message is owed from now on
	StatusOverloaded               // not taken on; coming again is harmless
	StatusInvalid                  // not taken on, with the reason
	StatusAlive                    // the event loop turns
	StatusMalformed                // what came could not be understood
)

// Reply is the answer at the door.
type Reply struct {
	Status     Status
	RetryAfter int    // with StatusOverloaded: milliseconds until the caller may come again; 0 if not told
	Reason     string // with StatusInvalid and StatusMalformed
	Close      bool   // the connection ends after it
}

// Caller is who handed a message in. Its methods are called by the event loop and must not block: a caller that does
// not read is the frontend's to bound.
type Caller interface {
	Disconnected() bool // does not hear an answer any more
	Answer(Reply) bool  // answers its oldest open request; false if nobody hears it
}

// WaitingCaller is a caller that is told the final answer itself, as its call stays open for it. Reason became of a
// message whose WaitingCaller is gone is told to nobody: it is withdrawn. A frontend says so by Submitter.Withdraw, a
// process that starts after another finds it so for all that came by such callers.
type WaitingCaller interface {
	Caller
	Complete(FinalAnswer)
}

// Outcome is a final answer.
type Outcome uint8

const (
	Delivered Outcome = iota
	Rejected          // may be handed in again
	Failed            // may have run, or can not be delivered any more
)

func (o Outcome) String() string { return [...]string{"delivered", "returned", "abandoned"}[o] }

// FinalAnswer is a message's final answer.
type FinalAnswer struct {
	MessageID    uint64
	ID           string
	Outcome      Outcome
	RetryAfterMs int // with Rejected: until the caller may come again; 0 if not told
}

// Submitter is where a frontend leaves what its callers want, in each one's order. Ask may block while too much of that
// frontend waits there.
type Submitter interface {
	Submit(Request)
	Withdraw(id string) // the WaitingCaller that handed a message in has gone
}

// ConnectionStats tells what became of a frontend's connections since the start.
type ConnectionStats struct {
	Open, Peak, Accepted        int
	Refused                     int    // away unread, for want of room
	Evicted                     [3]int // closed to make room: after the last answer, between requests, before the first
	NeverSent, Idle, Incomplete int    // closed after waiting: without a request, between two, within one
}

// Frontend listens for callers.
type Frontend interface {
	Addr() string
	Stats() ConnectionStats
	Clients() int
	Drain()         // ends each connection once it waits for no answer, so that callers go elsewhere
	Undrain()       // keeps connections again after Drain
	StopAccepting() // takes no new connections
	// StopReading reads nothing more. When it returns, whatever was read is at the desk: the last answers follow, then Stop.
	StopReading()
	Stop() // ends all
}

// Request is one call to an endpoint with one paper or several.
type Call struct {
	EndpointID uint64 // the event loop's number of the endpoint: connections are its own, also where another had its address
	Address    string // its address
	Messages   []Message
	Timeout    time.Duration
}

// AttemptEnded is the news of a call's end, one end for each paper.
type CallResult struct {
	Call          *Call
	Codes         []ResultCode
	Latency       time.Duration
	RetryAfter    float64 // seconds to stay away; 0 if not told
	ReportedLimit float64 // the reported limit in calls a second; 0 if nothing is told of it, under 0 if there is none
	ReportedShare float64 // the reported share of the limit that is left; 0 if nothing is told of it, under 0 if none is
	Reason        string  // for the log: what could not be read, or why a connection failed
}

// ResultListener is where an upstream leaves the ends of calls. It never blocks.
type ResultListener interface {
	CallEnded(CallResult)
}

// Upstream carries out calls.
type Upstream interface {
	Send(*Call)
	CancelUnsent(target uint64) // ends the calls to an endpoint of which nothing has been sent, as ResultCancelled
	CloseIdle(target uint64)
	IdleConnections() int // connections without a call
}

// UpdateEndpoints is what a source says of endpoints: all of them, or changes.
type EndpointList struct {
	Revision  int64      `json:"rev"`
	Complete  bool       `json:"all"`
	Endpoints []Endpoint `json:"targets"`
}

// Address is one line of the list, in the form that discovery gives it.
type Endpoint struct {
	UID         string  `json:"uid"`
	Address     string  `json:"endpoint"`
	Zone        string  `json:"az"`
	Kind        string  `json:"model"`
	Destination uint64  `json:"pod_group"`
	State       string  `json:"state"`
	Rate        float64 `json:"capacity_hint"`
}

// EndpointListener is where a source leaves the list.
type EndpointListener interface {
	EndpointsUpdated(*EndpointList)
	WatchEnded(why string, how WatchEnd)
}

// WatchEnd is how a watch on the list ended.
type WatchEnd int

const (
	WatchTimeout WatchEnd = iota // no answer in time: the source has more questions than it can answer
	WatchSilent                  // it had told something, and fell silent
	WatchBroken                  // any other end: the source is down, out of reach, or what it told cannot be read
)

// EndpointSource brings the list.
type EndpointSource interface {
	Watch(rev int64) // brings what changed after that version, and from then on each change
	Stop()
}

// Reconfigurable is a source or a teller that can leave its address for another.
type Reconfigurable interface {
	Reconfigure(addr string, rev int64)
}

// NoticeListener is where a teller says which final answers were heard.
type NoticeListener interface {
	NoticesUnanswered(why string)
	NoticesAcknowledged(doors []uint64)
}

// Notifier takes the final answers of messages that were not delivered and whose callers do not wait for them. It tells
// each again and again until it is heard.
type Notifier interface {
	Notify(FinalAnswer)
}

// Recorder counts what a forwarder does. Its methods are called by the event loop and must not block.
type Recorder interface {
	SubmissionAnswered(front string, word Status)       // a message's answer at the door
	AttemptEnded(end ResultCode, took time.Duration)    // an attempt
	FinalAnswered(outcome Outcome, after time.Duration) // a final answer, so long after the message was handed in
	LoopTurn(news int, took time.Duration)              // a turn of the event loop
	Addr() string                                       // where the figures are served
	Stop()
}

// Gauge is a figure that is read when it is asked for; Read is safe to call from any goroutine.
type Gauge struct {
	Name   string
	Labels []string // names and values in turn, beside the forwarder's; values from short lists
	Read   func() float64
}
