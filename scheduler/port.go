package scheduler

// Idempotency says what a second attempt of a message would do.
type Idempotency uint8

const (
	Idempotent        Idempotency = iota // may run again
	IdempotentWithKey                    // carries a mark by which a repeat is known
	AtMostOnce                           // must never run twice
)

// MessageType is what the terms say of one message type; times in seconds.
type MessageType struct {
	Idempotency                  Idempotency
	DeduplicatedPerZone          bool // numbered: only endpoints of one zone know the mark, not all of the destination
	InOrder                      bool
	LatencyObjective, TimeToLive float64
	Value                        float64 // of one message; types that state none are all worth the same
	LateValueShare               float64 // of the value that is left at expiry
	DeduplicationWindow          float64 // numbered: how long a mark is known, from the attempt on
}

// Settings are what a forwarder is told at its start; times in seconds, rates in calls a second.
type Settings struct {
	Types                           []MessageType
	TenantRate                      []float64 // messages a second, all forwarders together; empty without tenants
	KindBatchSize                   []int     // per kind of destination: messages in one call at most
	KindEndpointLimits              []bool    // per kind: endpoints are routes of their own
	Forwarders                      int
	ConcurrencyLimit, QueueCapacity int
	MaxAttempts                     int
	Zone                            int
	KeyCooldown                     float64
	SlowStartShare                  float64 // share of its capacity that a returning destination has at least
	SlowStartDuration               float64
	IdleTimeout                     float64 // how long an idle connection lasts
	OverloadMultiple                float64
	HalvingValue                    bool    // value falls by half with each further agreed time, to LateValueShare at most; else evenly
	MaxRetryAfter                   float64 // the longest time to come back that a rejection may name; 0: none
	PollEndpoints                   bool    // the list comes only after asking
	LocalAgent                      bool    // what is asked for lies with an agent: it counts as told from the start on, heard or not
	PollWithin                      float64 // the rules want a question for the list so often while it does not come; 0: not stated
	ListedRateTolerance             float64 // the listed rate may be this many times too high; 0: none is listed
	MaxStoredBytes                  int     // bytes of messages that can be kept beyond a restart; 0: no bound
	AwaitAcknowledgement            bool    // an answer is given only once NoticeAcknowledged says so
}

// RecoveredState is what an earlier process of this forwarder did with a message; times on the clock of SetTime.
type RecoveredState struct {
	Attempts   int     // attempts spent
	FirstRanAt float64 // begin of the first that may have run; 0: surely none ran
	Zone       int     // of its endpoint

	Answered   bool // it has its final answer, of which NoticeAcknowledged has not spoken yet
	CallerGone bool // its caller waited for the final answer, and went with that process
}

// Outcome is how an attempt ended.
type Outcome uint8

const (
	Delivered    Outcome = iota
	ServerError          // the destination's own error; may have run
	Overloaded           // turned away unseen
	TimedOut             // may have run, may still run
	NoConnection         // never ran
	Reset                // may have run, may still run
	Cancelled            // may have run, may still run
	NotSent              // not sent
)

// AttemptResult is the news of one attempt's end.
type AttemptResult struct {
	Outcome             Outcome
	Final               bool    // the message has its final answer
	Latency, RetryAfter float64 // RetryAfter: told to stay away so long, whatever the outcome; 0 if not told
	ReportedLimit       float64 // the reported limit in calls a second; 0 if nothing is told of it, under 0 if there is none
	ReportedShare       float64 // the reported share of that limit that is left just now; 0 if not told, under 0 if none is
}

// EndpointState is what the list says of an endpoint.
type EndpointState uint8

const (
	Ready EndpointState = iota
	Draining
	Removed
)

// EndpointUpdate is one line of the list.
type EndpointUpdate struct {
	Endpoint    *Endpoint
	Destination *Destination
	Kind        int
	Zone        int
	Rate        float64 // calls a second that the destination takes; 0 unknown
	State       EndpointState
	WarmingUp   bool // ready again after it was restarted: it is paced as one that returns from an outage
}

// Host carries out what a forwarder decides. All calls are made from within Reconcile.
type Host interface {
	Send(message *Message, endpoint *Endpoint, timeout float64)
	Reject(message *Message, comeBack float64)
	Fail(message *Message)
	CancelUnsent(endpoint *Endpoint) // ends the calls to an endpoint of which nothing has been sent, as NotSent
	CloseIdle(endpoint *Endpoint)
	ReleaseEndpoint(endpoint *Endpoint) // it is gone and nothing is heard of it any more
	Wake(in float64)
	WatchEndpoints()
	Log(line string)
}
