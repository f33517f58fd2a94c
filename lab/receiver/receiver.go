// Package receiver is the model of a destination's endpoints: their concurrency and queues, limits, outages and
// recovery, and faults. It does no I/O and reads no clock but the one it is given, so that simulated runs and real
// sockets share it.
package receiver

import (
	"math/rand/v2"
)

// Behavior says how the endpoints of one destination behave.
type Behavior struct {
	Service     Distribution // time that one call takes
	Concurrency int          // calls that an endpoint executes at once
	Queue       int          // calls that wait at an endpoint beyond them; more are rejected as overload

	Rate              float64 // calls a second that the limit admits, 0: no such limit
	Burst             float64 // calls that it admits at once after a pause; 0: one
	WindowCalls       int     // calls admitted within any Window, 0: no such limit
	Window            float64 // seconds
	EndpointLimits    bool    // each endpoint has a limit and outages of its own; else the destination has them
	ReportsRetryAfter bool    // a call that the limit rejects is answered with the time to wait
	ReportsLimit      bool    // answers report the limit and what is left of it

	SlowStartFraction float64 // fraction of its capacity that an endpoint has right after an outage
	SlowStartDuration float64 // seconds until it has all of it again
	OverloadMultiple  float64 // an endpoint in slow start fails above this multiple of its present capacity,
	OverloadWindow    float64 // counted over any span of so many seconds,
	OverloadDowntime  float64 // and is down for so many seconds
}

// sustainedRate is the calls a second that the limits admit in the long run, 0 if there is no limit.
func (b *Behavior) sustainedRate() float64 {
	rate := b.Rate
	if b.WindowCalls > 0 && (rate == 0 || float64(b.WindowCalls)/b.Window < rate) {
		rate = float64(b.WindowCalls) / b.Window
	}
	return rate
}

// Execution is what a receiver records of one executed message of a call. Times are those of the Clock.
type Execution struct {
	Message     Message
	Destination int
	Endpoint    int
	Forwarder   int     // that sent the call
	ReceivedAt  float64 // when the call's last byte came
	StartedAt   float64
	EndedAt     float64
	Effect      bool // false: its idempotency key was known
}

// Recorder records what happens at receivers. Nothing of it comes from a forwarder. Destinations and endpoints are
// named by number.
type Recorder interface {
	// CallReceived says that a call came in full, whatever becomes of it.
	CallReceived(destination, endpoint, forwarder int, messages []Message)
	// MessageExecuted says that a message was executed.
	MessageExecuted(Execution)
	// EndpointOverloaded says that calls in its slow start made an endpoint fail; informed is the fraction of them that
	// came from forwarders which had seen the outage before.
	EndpointOverloaded(destination, endpoint int, informed float64)
	// RetryAfterSent says that a forwarder was sent a retry-after of so many seconds.
	RetryAfterSent(destination, endpoint, forwarder int, seconds float64)
	// EndpointRecovered says that an endpoint answers again after an outage.
	EndpointRecovered(destination, endpoint int)
}

// Destination is one destination with its endpoints.
type Destination struct {
	Number    int
	Behavior  Behavior
	Endpoints []*Endpoint

	clock         Clock
	recorder      Recorder
	random        *rand.Rand
	limit         rateLimiter
	recent        recentCalls
	deduplicators [2]deduplicator // by zone; keys that are known in all zones are in the first
	informed      map[int]bool    // forwarders that have seen a call fail in the latest outage
}

// New makes a destination whose endpoints are spread evenly over zones. The clock, the random numbers and the recorder
// may be shared with other destinations.
func New(number int, behavior Behavior, endpoints, zones int, clock Clock, random *rand.Rand, recorder Recorder) *Destination {
	d := &Destination{Number: number, Behavior: behavior, clock: clock, recorder: recorder, random: random}
	d.limit.reset(&behavior, clock.Now())
	for i := range endpoints {
		d.AddEndpoint(i % max(1, zones))
	}
	return d
}

// AddEndpoint adds an endpoint in a zone.
func (d *Destination) AddEndpoint(zone int) *Endpoint {
	e := &Endpoint{Destination: d, Number: len(d.Endpoints), Zone: zone}
	e.limit.reset(&d.Behavior, d.clock.Now())
	d.Endpoints = append(d.Endpoints, e)
	return e
}

// ForwarderRestarted says that a forwarder starts anew and has seen no outage.
func (d *Destination) ForwarderRestarted(forwarder int) {
	delete(d.informed, forwarder)
	for _, e := range d.Endpoints {
		delete(e.informed, forwarder)
	}
}

// capacity is the calls a second that so many of its endpoints execute at full capacity.
func (d *Destination) capacity(endpoints int) float64 {
	return float64(endpoints*d.Behavior.Concurrency) / d.Behavior.Service.Mean
}

// recordExecution records an executed message and tells the recorder whether it had an effect.
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
