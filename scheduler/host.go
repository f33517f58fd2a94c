package scheduler

// Host carries out the decisions of a scheduler. Reconcile calls its methods. They must not call event methods of the
// scheduler: the host reports results as later events.
type Host interface {
	// Send begins an attempt of a message. The host reports the end of the attempt with AttemptEnded, at the latest
	// after timeout seconds. The first byte must not be sent after Message.LatestStart.
	Send(message *Message, endpoint *Endpoint, timeout float64)
	// Reject gives a message the final answer "rejected": it was not delivered, and may be submitted again after
	// retryAfter seconds.
	Reject(message *Message, retryAfter float64)
	// Fail gives a message the final answer "failed": it may or may not have run, and must not be repeated.
	Fail(message *Message)
	// CancelUnsent cancels those calls to an endpoint whose first byte has not been sent yet. Their outcome is NotBegun.
	CancelUnsent(endpoint *Endpoint)
	// CancelAttempt takes a message out of the call that carries it, unless the call's first byte has been sent, and reports
	// whether it did. The end of that attempt is not reported then. The call goes on with its other messages, if any.
	CancelAttempt(message *Message) bool
	// CloseIdle closes the idle connections to an endpoint.
	CloseIdle(endpoint *Endpoint)
	// ReleaseEndpoint frees an endpoint that was removed from the list. The scheduler no longer uses it.
	ReleaseEndpoint(endpoint *Endpoint)
	// Wake requests a call of Scheduler.TimerFired after the given number of seconds.
	Wake(in float64)
	// WatchEndpoints requests the endpoint list and its changes.
	WatchEndpoints()
	// Log writes one line to the operators' log.
	Log(line string)
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	Delivered      Outcome = iota
	ServerError            // the destination answered with an error; the message may have run
	Overloaded             // the destination rejected the message before processing it
	TimedOut               // no answer in time; the message may have run or may still run
	NoConnection           // no connection was established; the message never ran
	Reset                  // the connection was lost; the message may have run or may still run
	Cancelled              // the call was cancelled; the message may have run or may still run
	NotSent                // nothing was sent; the message never ran
	Malformed              // the answer cannot be parsed and the call was aborted; the message may have run or may still run
	CallUnreadable         // the destination could not read the call; none of its messages ran
	CallTooLarge           // the call was too large for the destination; none of its messages ran
	NotBegun               // cancelled before the first byte was sent; the message never ran, and the attempt does not count
)

// mayStillRun reports whether the destination may still be processing the message.
func (o Outcome) mayStillRun() bool {
	return o == TimedOut || o == Reset || o == Cancelled || o == Malformed
}

// isError reports whether the destination answered, but neither delivered nor rejected the message. Such a destination
// is up.
func (o Outcome) isError() bool { return o == ServerError || o == Malformed }

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	Outcome             Outcome
	Final               bool    // the message has its final answer
	Latency, RetryAfter float64 // seconds; RetryAfter is possible with any outcome, 0 means none
	ReportedLimit       float64 // calls per second; 0 means not reported, below 0 means there is no limit
	ReportedShare       float64 // unused share of that limit; 0 means not reported, below 0 means nothing is left
}

// ReportedValue converts a reported number to the form of AttemptResult.ReportedLimit and AttemptResult.ReportedShare.
// A reported 0 (no limit, or nothing left) becomes negative there, because 0 means that nothing was reported.
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
	Draining               // gets no new calls
	Removed                // no longer listed
)

// EndpointUpdate is one entry of the endpoint list. The adapter creates Endpoint and Destination, and always uses the
// same pointer for the same endpoint or destination.
type EndpointUpdate struct {
	Endpoint    *Endpoint
	Destination *Destination
	Kind        int     // kind of the destination: index into the per-kind settings
	Zone        int     // zone of the endpoint
	Rate        float64 // calls per second that the destination can take; 0 means unknown
	State       EndpointState
	Readdressed bool // the endpoint's address has changed; calls not sent yet would go to the former one
	WarmingUp   bool // the endpoint was restarted and is ready again; it gets a slow start, as after an outage
}

// RecoveredState is the history of a message in an earlier process of this forwarder. Times are on the clock of
// SetTime.
type RecoveredState struct {
	Attempts   int     // attempts made
	FirstRanAt float64 // start of the first attempt that may have run; 0 means that no attempt ran
	Zone       int     // zone of the endpoint of that attempt

	Answered   bool // the message has its final answer, for which NoticeAcknowledged has not been called yet
	CallerGone bool // the message's caller waited for the final answer and was disconnected when that process ended
}
