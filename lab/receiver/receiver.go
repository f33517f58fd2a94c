// Package receiver models the endpoints of destinations: concurrency, queues, limits, outages, recovery and faults. It
// does no I/O and reads only the clock passed to it, so simulated runs and runs on real sockets share it.
package receiver

import (
	"math/rand/v2"
)

// Behavior describes how the endpoints of a destination behave without faults.
type Behavior struct {
	Service     Distribution // service time of a call
	Concurrency int          // number of calls that an endpoint executes at the same time
	Queue       int          // number of calls that an endpoint queues; it rejects further ones as overloaded

	Rate              float64 // rate limit in calls per second; 0 means none
	Burst             float64 // size of the rate limit's token bucket; 0 means 1
	WindowCalls       int     // limit of calls within any Window; 0 means none
	Window            float64 // seconds
	EndpointLimits    bool    // limits and overload outages are per endpoint instead of per destination
	ReportsRetryAfter bool    // calls rejected by a limit are answered with a Retry-After
	ReportsLimit      bool    // answers report the limit and its remaining share

	SlowStartFraction float64 // fraction of the capacity right after an outage
	SlowStartDuration float64 // seconds until the full capacity is reached again
	OverloadMultiple  float64 // an endpoint in slow start fails above this multiple of its present capacity
	OverloadWindow    float64 // seconds over which the calls in slow start are counted for OverloadMultiple
	OverloadDowntime  float64 // seconds for which an overloaded endpoint is down
}

// sustainedRate returns the long-term rate that the limits admit, in calls per second, or 0 if there is no limit.
func (b *Behavior) sustainedRate() float64 {
	rate := b.Rate
	if b.WindowCalls > 0 && (rate == 0 || float64(b.WindowCalls)/b.Window < rate) {
		rate = float64(b.WindowCalls) / b.Window
	}
	return rate
}

// Execution is a receiver's record of the execution of one message. Its times are those of the Clock.
type Execution struct {
	Message     Message
	Destination int
	Endpoint    int
	Forwarder   int     // number of the forwarder that sent the call
	ReceivedAt  float64 // arrival of the call's last byte
	StartedAt   float64
	EndedAt     float64
	Effect      bool // false if the idempotency key was already known
}

// Recorder records events at receivers, independently of what forwarders report. Destinations and endpoints are
// identified by number.
type Recorder interface {
	// CallReceived records that a call arrived completely, whether or not it is executed.
	CallReceived(destination, endpoint, forwarder int, messages []Message)
	// MessageExecuted records the execution of a message.
	MessageExecuted(Execution)
	// EndpointOverloaded records that an endpoint failed because it received too many calls in its slow start. informed
	// is the fraction of these calls that came from forwarders that had seen the outage.
	EndpointOverloaded(destination, endpoint int, informed float64)
	// RetryAfterSent records that a forwarder was answered with a Retry-After, in seconds.
	RetryAfterSent(destination, endpoint, forwarder int, seconds float64)
	// EndpointRecovered records that an endpoint begins its slow start after an outage.
	EndpointRecovered(destination, endpoint int)
}

// Destination models one destination with its endpoints. It is not safe for concurrent use.
type Destination struct {
	Number    int
	Behavior  Behavior
	Endpoints []*Endpoint

	clock         Clock
	recorder      Recorder
	random        *rand.Rand
	limit         rateLimiter
	recent        recentCalls
	deduplicators [2]deduplicator // by zone; the first one also holds the keys that are known in all zones
	informed      map[int]bool    // numbers of the forwarders that saw a call fail in the latest outage
}

// New returns a destination whose endpoints are spread evenly over the zones. The clock, the random number generator
// and the recorder may be shared with other destinations.
func New(number int, behavior Behavior, endpoints, zones int, clock Clock, random *rand.Rand, recorder Recorder) *Destination {
	d := &Destination{Number: number, Behavior: behavior, clock: clock, recorder: recorder, random: random}
	d.limit.reset(&behavior, clock.Now())
	for i := range endpoints {
		d.AddEndpoint(i % max(1, zones))
	}
	return d
}

// AddEndpoint adds an endpoint and gives it the next number of the destination.
func (d *Destination) AddEndpoint(zone int) *Endpoint {
	e := &Endpoint{Destination: d, Number: len(d.Endpoints), Zone: zone}
	e.limit.reset(&d.Behavior, d.clock.Now())
	d.Endpoints = append(d.Endpoints, e)
	return e
}

// ForwarderRestarted records that a forwarder was restarted and no longer knows of any outage.
func (d *Destination) ForwarderRestarted(forwarder int) {
	delete(d.informed, forwarder)
	for _, e := range d.Endpoints {
		delete(e.informed, forwarder)
	}
}

// capacity returns the calls per second that the given number of endpoints can execute at full capacity.
func (d *Destination) capacity(endpoints int) float64 {
	return float64(endpoints*d.Behavior.Concurrency) / d.Behavior.Service.Mean
}

// recordExecution records the execution of a message, and whether it had an effect or was a duplicate.
func (d *Destination) recordExecution(e *Endpoint, c *Call, message Message, startedAt float64) {
	now, zone := d.clock.Now(), 0
	if message.DeduplicatedPerZone {
		zone = e.Zone % len(d.deduplicators)
	}
	effect := true
	if message.IdempotencyKey != 0 && message.DeduplicationWindow > 0 {
		effect = d.deduplicators[zone].firstSeen(message.IdempotencyKey, c.receivedAt, now, message.DeduplicationWindow)
	}
	d.recorder.MessageExecuted(Execution{
		Message:     message,
		Destination: d.Number,
		Endpoint:    e.Number,
		Forwarder:   c.Forwarder,
		ReceivedAt:  c.receivedAt,
		StartedAt:   startedAt,
		EndedAt:     now,
		Effect:      effect,
	})
}
