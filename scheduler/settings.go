package scheduler

// Idempotency says whether a second attempt of a message is safe.
type Idempotency uint8

// The ways in which a destination treats a second attempt.
const (
	Idempotent        Idempotency = iota // the message may run more than once
	IdempotentWithKey                    // the destination recognizes a repeat by its idempotency key
	AtMostOnce                           // the message must never run twice
)

// MessageType holds the settings of one message type. Times are in seconds.
type MessageType struct {
	Idempotency                  Idempotency
	DeduplicatedPerZone          bool // with IdempotentWithKey: only the endpoints of one zone know the key
	InOrder                      bool // messages with the same ordering key are sent one after the other
	LatencyObjective, TimeToLive float64
	Value                        float64 // value of one message; all types without a stated value have the same value
	LateValueShare               float64 // share of the value that is left at the deadline
	DeduplicationWindow          float64 // with IdempotentWithKey: how long a key is known after the attempt began
}

// Settings configures a scheduler. Times are in seconds, rates in calls per second.
type Settings struct {
	Types                           []MessageType
	TenantRate                      []float64 // messages per second for all forwarders together; empty without tenants
	KindBatchSize                   []int     // per kind of destination: maximum number of messages in one call
	MaxCallBytes                    int       // limit of the body of a call with several messages; 0 means unlimited
	KindEndpointLimits              []bool    // per kind: whether each endpoint has its own route, hence its own limit
	Forwarders                      int       // number of forwarders that share the destinations
	ConcurrencyLimit, QueueCapacity int       // maximum number of calls in flight, and of messages held
	MaxAttempts                     int       // maximum number of attempts per message; 0 means unlimited
	Zone                            int       // zone of this forwarder; endpoints in the same zone are preferred
	KeyCooldown                     float64   // pause of an ordering key after an attempt that may still run
	SlowStartShare                  float64   // minimum share of its capacity that a recovering destination has
	SlowStartDuration               float64
	IdleTimeout                     float64 // how long an idle connection stays open
	OverloadMultiple                float64 // load that a recovering destination may get, as a multiple of its capacity
	HalvingValue                    bool    // value halves with each further LatencyObjective, down to LateValueShare
	MaxRetryAfter                   float64 // longest Retry-After of a rejection; 0 means no Retry-After
	PollEndpoints                   bool    // the endpoint list has to be requested; it does not arrive unasked
	LocalAgent                      bool    // a local agent has the list, which counts as known from the start
	PollWithin                      float64 // longest time between polls while no list arrives; 0 means not stated
	DrainGrace                      float64 // how long an endpoint that is known to drain may get calls; 0 means not stated
	ListedRateTolerance             float64 // factor by which a listed rate may be too high; 0 means no rate is listed
	MaxStoredBytes                  int     // bytes of messages that can be stored; 0 means unlimited
	AwaitAcknowledgement            bool    // a rejected or failed message is finished only after NoticeAcknowledged
}

// HasType reports whether n is a valid index into Settings.Types.
func (s *Scheduler) HasType(n int) bool { return n < len(s.settings.Types) }
