package scheduler

// Host carries out what a scheduler decides. All methods are called from within Reconcile: a host reports results as
// later events, not from within these methods.
type Host interface {
	// Send begins an attempt of a message. The host reports its end by AttemptEnded, after timeout seconds at the
	// latest.
	Send(message *Message, endpoint *Endpoint, timeout float64)
	// Reject gives a message its final answer: it was not delivered, and may be submitted again after retryAfter
	// seconds.
	Reject(message *Message, retryAfter float64)
	// Fail gives a message its final answer: it may have run or not, and must not be repeated.
	Fail(message *Message)
	// CancelUnsent ends the calls to an endpoint of which nothing has been sent, as NotSent.
	CancelUnsent(endpoint *Endpoint)
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(endpoint *Endpoint)
	// ReleaseEndpoint lets go of an endpoint that was removed; the scheduler does not use it any more.
	ReleaseEndpoint(endpoint *Endpoint)
	// Wake asks for a call of Scheduler.TimerFired in so many seconds.
	Wake(in float64)
	// WatchEndpoints asks for the endpoint list and its changes.
	WatchEndpoints()
	// Log takes one line for the operators' log.
	Log(line string)
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Delivered    Outcome = iota
	ServerError          // the destination's own error; the message may have run
	Overloaded           // rejected before it was processed
	TimedOut             // may have run, may still run
	NoConnection         // never ran
	Reset                // may have run, may still run
	Cancelled            // may have run, may still run
	NotSent              // not sent
	Malformed            // an answer that cannot be read, so that the call was given up; may have run, may still run
)

// mayStillRun reports whether the destination may still be processing the message.
func (o Outcome) mayStillRun() bool {
	return o == TimedOut || o == Reset || o == Cancelled || o == Malformed
}

// isError reports whether the destination answered, and with anything but a delivery or a rejection: it is up.
func (o Outcome) isError() bool { return o == ServerError || o == Malformed }

// AttemptResult is the event that an attempt ended.
type AttemptResult struct {
	Outcome             Outcome
	Final               bool    // the message has its final answer
	Latency, RetryAfter float64 // seconds; RetryAfter may come with any outcome, 0: none
	ReportedLimit       float64 // the reported limit in calls a second; 0: not reported, below 0: there is none
	ReportedShare       float64 // reported share of that limit that is left; 0: not reported, below 0: nothing is left
}

// ReportedValue converts a reported figure to the form of AttemptResult.ReportedLimit and
// AttemptResult.ReportedShare, where a reported 0 (no limit, nothing left) is negative.
func ReportedValue(reported float64) float64 {
	if reported == 0 {
		return -1
	}
	return reported
}

// EndpointState is the state of an endpoint according to the endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	Ready    EndpointState = iota
	Draining               // gets no new call
	Removed                // not listed any more
)

// EndpointUpdate is one entry of the endpoint list. The adapter owns the identity of Endpoint and Destination: the same
// endpoint always has the same pointer.
type EndpointUpdate struct {
	Endpoint    *Endpoint
	Destination *Destination
	Kind        int     // of the destination: index into the settings that are stated per kind
	Zone        int     // of the endpoint
	Rate        float64 // calls a second that the destination takes; 0: unknown
	State       EndpointState
	WarmingUp   bool // ready again after it was restarted: it gets a slow start, as after an outage
}

// RecoveredState is the history of a message under an earlier process of this forwarder; times are on the clock of
// SetTime.
type RecoveredState struct {
	Attempts   int     // attempts made
	FirstRanAt float64 // begin of the first that may have run; 0: surely none ran
	Zone       int     // of its endpoint

	Answered   bool // it has its final answer, for which NoticeAcknowledged has not been called yet
	CallerGone bool // its caller waited for the final answer, and was disconnected when that process ended
}
