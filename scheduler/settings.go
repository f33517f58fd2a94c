package scheduler

// Idempotency says whether a second attempt of a message is safe.
type Idempotency uint8

// The ways in which a destination treats a second attempt.
const (
	Idempotent        Idempotency = iota // it may run again
	IdempotentWithKey                    // it carries an idempotency key by which the destination recognizes a repeat
	AtMostOnce                           // it must never run twice
)

// MessageType is the settings of one message type; times in seconds.
type MessageType struct {
	Idempotency                  Idempotency
	DeduplicatedPerZone          bool // IdempotentWithKey: only endpoints of one zone know the key, not all
	InOrder                      bool // messages with the same ordering key are sent one after the other
	LatencyObjective, TimeToLive float64
	Value                        float64 // of one message; types that state none are all worth the same
	LateValueShare               float64 // share of the value that is left at the deadline
	DeduplicationWindow          float64 // IdempotentWithKey: how long a key is known, from the attempt on
}

// Settings configures a scheduler; times in seconds, rates in calls a second.
type Settings struct {
	Types                           []MessageType
	TenantRate                      []float64 // messages a second, of all forwarders together; empty without tenants
	KindBatchSize                   []int     // per kind of destination: most messages in one call
	KindEndpointLimits              []bool    // per kind: each endpoint is a route of its own
	Forwarders                      int       // number of forwarders that share the destinations
	ConcurrencyLimit, QueueCapacity int       // most calls in flight, most messages held
	MaxAttempts                     int       // for one message; 0: no bound
	Zone                            int       // of this forwarder; endpoints of the same zone are preferred
	KeyCooldown                     float64   // pause of an ordering key after an attempt that may still run
	SlowStartShare                  float64   // share of its capacity that a recovering destination has at least
	SlowStartDuration               float64
	IdleTimeout                     float64 // how long an idle connection lasts
	OverloadMultiple                float64 // how many times its capacity a recovering destination may be offered
	HalvingValue                    bool    // value halves with each further LatencyObjective, down to LateValueShare
	MaxRetryAfter                   float64 // longest Retry-After that a rejection may name; 0: none
	PollEndpoints                   bool    // the endpoint list arrives only after it was requested
	LocalAgent                      bool    // a local agent has the list: it counts as known from the start on
	PollWithin                      float64 // longest time between polls while the list does not arrive; 0: not stated
	ListedRateTolerance             float64 // a listed rate may be this many times too high; 0: none is listed
	MaxStoredBytes                  int     // bytes of messages that can be stored; 0: no bound
	AwaitAcknowledgement            bool    // a rejected or failed message is finished only after NoticeAcknowledged
}

// HasType reports whether the settings define message type n.
func (s *Scheduler) HasType(n int) bool { return n < len(s.settings.Types) }
